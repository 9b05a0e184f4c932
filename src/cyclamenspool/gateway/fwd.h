#pragma once

namespace cyclamenspool::gateway {
class RouteTable;
class Fleet;
class ServerState;
class Shares;
class Dispatcher;
class Ticket;
class Exchange;
class CallerSession;
class BackendCall;
class BackendPool;
class PeerNews;
class GatewayNode;
struct Job;
} // namespace cyclamenspool::gateway
