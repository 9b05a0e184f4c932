#pragma once

namespace cyclamenspool::gateway {
class RouteTable;
class Fleet;
class Shares;
class Dispatcher;
class Ticket;
class Exchange;
class CallerSession;
class BackendCall;
class BackendPool;
class PeerNews;
class GatewayNode;
struct Admission;
struct ServerState;
} // namespace cyclamenspool::gateway
