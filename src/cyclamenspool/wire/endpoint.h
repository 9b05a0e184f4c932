#pragma once

#include <cyclamenspool/config/settings.h>

#include <boost/asio/ip/tcp.hpp>

#include <string>

namespace cyclamenspool::wire {

/** @brief Reads an address. @param address IP number and port. @return Endpoint. @throws std::invalid_argument If it is malformed. */
[[nodiscard]] inline boost::asio::ip::tcp::endpoint endpointOf(const std::string &address)
{
    const auto [host, port] = config::splitAddress(address);
    return {boost::asio::ip::make_address(host), port};
}

} // namespace cyclamenspool::wire
