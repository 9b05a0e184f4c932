#include <cyclamenspool/wire/tcpkeepalive.h>

#include <netinet/tcp.h>

namespace cyclamenspool::wire {

namespace internal {

template<int Name>
using TcpOption = boost::asio::detail::socket_option::integer<IPPROTO_TCP, Name>;

} // namespace internal

void setTcpKeepAlive(boost::asio::ip::tcp::socket &socket, const TcpKeepAlive &keepAlive)
{
    // Setting an option fails on a connection that was reset in the meantime; the next read reports the error.
    boost::system::error_code ignored;
    const auto period = static_cast<int>(keepAlive.probeInterval.count());
    socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
    socket.set_option(boost::asio::socket_base::keep_alive(true), ignored);
    socket.set_option(internal::TcpOption<TCP_KEEPIDLE>(period), ignored);
    socket.set_option(internal::TcpOption<TCP_KEEPINTVL>(period), ignored);
    socket.set_option(internal::TcpOption<TCP_KEEPCNT>(keepAlive.maxProbes), ignored);
    setUserTimeout(socket, keepAlive.userTimeout);
}

void setUserTimeout(boost::asio::ip::tcp::socket &socket, std::chrono::milliseconds timeout)
{
    boost::system::error_code ignored;
    socket.set_option(internal::TcpOption<TCP_USER_TIMEOUT>(static_cast<int>(timeout.count())), ignored);
}

} // namespace cyclamenspool::wire
