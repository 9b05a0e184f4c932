#pragma once

#include <string>

namespace cyclamenspool::harness {

/** @brief Returns a free loopback address (IP address and port) outside the kernel's default range of ephemeral ports, so that no outgoing connection takes it
 * before the process under test listens there. @throws std::runtime_error If no port is free. */
[[nodiscard]] std::string findFreeAddress();

} // namespace cyclamenspool::harness
