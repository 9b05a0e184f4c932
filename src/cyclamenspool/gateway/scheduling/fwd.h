#pragma once

namespace cyclamenspool::gateway::scheduling {

class ConcurrencyLimit;
class MachinePace;
class PendingPrompts;
class PromptRate;
class RecentDemand;
class ServerCapacity;
class ServiceCapacity;
class ServiceQueue;
class SpentTimeEstimator;
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
