#pragma once

namespace cyclamenspool::core {
enum class ErrorKind : int;
enum class RunState : int;
struct ErrorRule;
class Error;
struct Now;
class RandomSource;
} // namespace cyclamenspool::core
