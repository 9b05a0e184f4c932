#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/basic_parser.hpp>

#include <stdexcept>

namespace cyclamenspool::http {

/** @brief Thrown if the head of a response is invalid. */
class InvalidHead : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/**
 * @brief Reads the head of a response into a parser, within the stream's present time limit.
 * @param stream Connection.
 * @param buffer Bytes read but not parsed; those behind the head stay there.
 * @param parser New parser.
 * @throws boost::system::system_error If the connection fails or ends, or the parser does not accept the head.
 * @throws InvalidHead If headFault() finds a fault.
 */
[[nodiscard]] boost::asio::awaitable<void> readHead(boost::beast::tcp_stream &stream,
                                                    boost::beast::flat_buffer &buffer,
                                                    boost::beast::http::basic_parser<false> &parser);

} // namespace cyclamenspool::http
