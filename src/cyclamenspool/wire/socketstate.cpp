#include <cyclamenspool/wire/socketstate.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>

#include <linux/sockios.h>
#include <sys/ioctl.h>

namespace cyclamenspool::wire {

namespace internal {

/** @brief Looks at the next byte without removing it. @return Result of the call; no error if there is one. */
boost::system::error_code peek(boost::asio::ip::tcp::socket &socket)
{
    boost::system::error_code error;
    socket.non_blocking(true, error);
    if (!error) {
        char byte = 0;
        socket.receive(boost::asio::buffer(&byte, 1), boost::asio::socket_base::message_peek, error);
    }
    return error;
}

} // namespace internal

bool isQuiet(boost::asio::ip::tcp::socket &socket)
{
    return internal::peek(socket) == boost::asio::error::would_block;
}

bool isClosedByPeer(boost::asio::ip::tcp::socket &socket)
{
    const auto error = internal::peek(socket);
    return error && error != boost::asio::error::would_block;
}

std::size_t unacknowledgedBytes(boost::asio::ip::tcp::socket &socket)
{
    int count = 0;
    const bool isKnown = ::ioctl(socket.native_handle(), SIOCOUTQ, &count) == 0; // NOLINT(cppcoreguidelines-pro-type-vararg)
    return isKnown && count > 0 ? static_cast<std::size_t>(count) : 0;
}

} // namespace cyclamenspool::wire
