#pragma once

namespace cyclamenspool::wire {
class Session;
class ServerStream;
class ClientStream;
class PeerConnectionPool;
class PeerServer;
class Listener;
class OpenConnections;
} // namespace cyclamenspool::wire
