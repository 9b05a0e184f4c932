#pragma once

namespace cyclamenspool::agent {
class AgentCore;
class AgentNode;
class BackendLink;
} // namespace cyclamenspool::agent
