#pragma once

#include <string>

namespace cyclamenspool::harness {

/** @brief Finds a free loopback address whose port the kernel gives to no outgoing connection. @return IP number and port. @throws std::runtime_error If none
 * is free. */
[[nodiscard]] std::string freeAddress();

} // namespace cyclamenspool::harness
