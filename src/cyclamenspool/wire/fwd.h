#pragma once

namespace cyclamenspool::wire {
class Session;
class ServerStream;
class ClientStream;
class PeerPool;
class PeerServer;
} // namespace cyclamenspool::wire
