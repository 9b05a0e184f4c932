#pragma once

namespace cyclamenspool::http {
class Server;
class Responder;
class Client;
} // namespace cyclamenspool::http
