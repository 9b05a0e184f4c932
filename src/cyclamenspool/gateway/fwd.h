#pragma once

namespace cyclamenspool::gateway {
class RouteTable;
class Fleet;
class LimitSplitter;
class Dispatcher;
class InFlightRequest;
class Exchange;
class CallerSession;
class BackendCall;
class BackendConnectionPool;
class PeerGossip;
class GatewayNode;
struct Admission;
struct ServerState;
} // namespace cyclamenspool::gateway
