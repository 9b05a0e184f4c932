#pragma once

namespace cyclamenspool::gateway::scheduling {

class CallerPatience;
class ConcurrencyLimit;
class MachinePace;
class PendingPrompts;
class PromptRate;
class ServerCapacity;
class ServiceCapacity;
class ServiceQueue;
class WaitingRoom;
class WorkspaceUsage;
struct Decision;
struct FirstEventDemand;
struct FirstEventEstimate;
struct LoadSample;
struct PromptSum;
struct PromptWork;
struct QueueVerdict;
struct QueuedRequest;
struct SentPrompt;
struct ServerOccupancy;
struct ServiceLoad;

} // namespace cyclamenspool::gateway::scheduling
