#include "ports.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <unistd.h>

#include <stdexcept>

namespace cyclamenspool::harness {

namespace {

/* The range ends below the kernel's default range of ephemeral ports, which starts at 32768. */
constexpr unsigned firstPort = 15000;
constexpr unsigned portCount = 17000;
constexpr unsigned processStride = 149; /* gives test programs that run concurrently different first ports */

bool isFree(unsigned short port)
{
    boost::asio::io_context context;
    boost::asio::ip::tcp::acceptor acceptor(context);
    boost::system::error_code error;
    acceptor.open(boost::asio::ip::tcp::v4(), error);
    acceptor.bind({boost::asio::ip::make_address("127.0.0.1"), port}, error);
    return !error;
}

} // namespace

std::string findFreeAddress()
{
    static unsigned next = static_cast<unsigned>(getpid()) * processStride;
    for (unsigned attempt = 0; attempt < portCount; ++attempt) {
        const auto port = static_cast<unsigned short>(firstPort + next++ % portCount);
        if (isFree(port)) {
            return "127.0.0.1:" + std::to_string(port);
        }
    }
    throw std::runtime_error("no free port on 127.0.0.1");
}

} // namespace cyclamenspool::harness
