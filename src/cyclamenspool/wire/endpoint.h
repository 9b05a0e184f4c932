#pragma once

#include <cyclamenspool/config/settings.h>

#include <boost/asio/ip/tcp.hpp>

#include <string>

namespace cyclamenspool::wire {

/**
 * @brief Parses an IP address with a port.
 * @param address Text of the form "address:port".
 * @return Endpoint.
 * @throws std::invalid_argument If the port or the separator is missing or malformed.
 * @throws boost::system::system_error If the part before the port is not an IP address.
 */
[[nodiscard]] inline boost::asio::ip::tcp::endpoint parseEndpoint(const std::string &address)
{
    const auto [host, port] = config::splitAddress(address);
    return {boost::asio::ip::make_address(host), port};
}

} // namespace cyclamenspool::wire
