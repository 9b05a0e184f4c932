#include "ports.h"

#include <boost/asio/ip/tcp.hpp>

#include <unistd.h>

#include <stdexcept>

namespace cyclamenspool::harness {

namespace asio = boost::asio;

namespace {

/* The range ends below the kernel's default range of ephemeral ports, which starts at 32768. */
constexpr std::size_t firstPort = 15000;
constexpr std::size_t blockSize = 250;
constexpr std::size_t blockCount = 68;
constexpr std::size_t maxOwnBlocks = 4; /* then an owner uses its ports again */

bool isFree(unsigned short port)
{
    asio::io_context context;
    asio::ip::tcp::acceptor acceptor(context);
    boost::system::error_code error;
    acceptor.open(asio::ip::tcp::v4(), error);
    acceptor.bind({asio::ip::make_address("127.0.0.1"), port}, error);
    return !error;
}

} // namespace

std::string PortBlocks::findFreeAddress()
{
    for (std::size_t attempt = 0; attempt < blockCount * blockSize; ++attempt) {
        const bool isUsedUp = next_ == blocks_.size() * blockSize;
        if (isUsedUp && !(blocks_.size() < maxOwnBlocks && claimBlock())) {
            next_ = 0;
        }
        if (blocks_.empty()) {
            break;
        }
        const auto port = static_cast<unsigned short>(firstPort + blocks_[next_ / blockSize] * blockSize + next_ % blockSize);
        ++next_;
        if (isFree(port)) {
            return "127.0.0.1:" + std::to_string(port);
        }
    }
    throw std::runtime_error("no free port on 127.0.0.1");
}

bool PortBlocks::claimBlock()
{
    // Processes start at different blocks, so that a port is not used again at once.
    const auto first = static_cast<std::size_t>(getpid());
    for (std::size_t i = 0; i < blockCount; ++i) {
        const auto block = (first + i) % blockCount;
        Claim claim(context_);
        boost::system::error_code error;
        claim.open(asio::local::stream_protocol(), error);
        claim.bind(std::string(1, '\0') + "cyclamenspool-test-ports-" + std::to_string(block), error);
        if (!error) {
            claims_.push_back(std::move(claim));
            blocks_.push_back(block);
            return true;
        }
    }
    return false;
}

std::string findFreeAddress()
{
    static PortBlocks blocks;
    return blocks.findFreeAddress();
}

} // namespace cyclamenspool::harness
