#pragma once

namespace cyclamenspool::gateway::scheduling {

class CallerPatience;
class ConcurrencyLimit;
class ServiceQueue;
class WaitingRoom;
class WorkspaceUsage;
struct Decision;
struct QueueVerdict;
struct QueuedRequest;
struct ServiceLoad;

} // namespace cyclamenspool::gateway::scheduling
