#pragma once

namespace cyclamenspool::world {
struct Workspace;
struct Pool;
struct BackendServerGroup;
struct Vm;
struct LeavingMark;
} // namespace cyclamenspool::world
