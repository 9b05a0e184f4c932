#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/local/stream_protocol.hpp>

#include <cstddef>
#include <string>
#include <vector>

namespace cyclamenspool::harness {

/**
 * @brief Loopback ports that belong to one owner alone among all tests on the machine.
 *
 * Between the check that a port is free and the start of the process that listens there, another program could choose the same port. Therefore an owner first
 * claims a block of ports: it binds an abstract Unix socket named after the block. The kernel allows this once, and ends the claim with the owner and its child
 * processes.
 */
class PortBlocks
{
public:
    /** @brief Returns a free loopback address (IP address and port). @throws std::runtime_error If no port is free. */
    [[nodiscard]] std::string findFreeAddress();

private:
    using Claim = boost::asio::local::stream_protocol::acceptor;

    bool claimBlock();

    boost::asio::io_context context_;
    std::vector<Claim> claims_;
    std::vector<std::size_t> blocks_;
    std::size_t next_ = 0; /* index into the ports of all blocks */
};

/** @brief Returns a free loopback address (IP address and port), outside the kernel's default range of ephemeral ports and never one of a test that runs at the
 * same time, so that neither takes it before the process under test listens there. @throws std::runtime_error If no port is free. */
[[nodiscard]] std::string findFreeAddress();

} // namespace cyclamenspool::harness
