#pragma once

namespace cyclamenspool::router {
struct CallerRequest;
class RouterCore;
class RouterNode;
} // namespace cyclamenspool::router
