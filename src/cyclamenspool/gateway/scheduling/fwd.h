#pragma once

namespace cyclamenspool::gateway::scheduling {

struct Decision;
struct FirstEventEstimate;
struct FirstEventDemand;
struct LoadSample;
struct PromptSum;
struct PromptWork;
struct SentPrompt;
struct ServerOccupancy;
class MachinePace;
class PendingPrompts;
class PromptRate;
class ServerCapacity;
class ServiceCapacity;

} // namespace cyclamenspool::gateway::scheduling
