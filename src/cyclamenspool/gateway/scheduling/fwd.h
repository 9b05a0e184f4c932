#pragma once

namespace cyclamenspool::gateway::scheduling {

struct Decision;

} // namespace cyclamenspool::gateway::scheduling
