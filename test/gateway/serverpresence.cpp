#include <catch2/catch.hpp>

#include <cyclamenspool/gateway/serverpresence.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <memory>
#include <optional>

using namespace cyclamenspool;
using namespace std::chrono_literals;
using boost::asio::ip::tcp;

namespace {

std::optional<bool> findPresence(boost::asio::io_context &context, const std::string &address)
{
    std::optional<bool> seen;
    const auto check = std::make_shared<gateway::ServerPresence>(context, [&seen](bool isPresent) {
        seen = isPresent;
    });
    check->start(address);
    const auto limit = std::chrono::steady_clock::now() + 2s;
    while (!seen && std::chrono::steady_clock::now() < limit) {
        context.run_one_for(100ms);
    }
    check->cancel();
    return seen;
}

std::string addressOf(const tcp::acceptor &acceptor)
{
    return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
}

} // namespace

TEST_CASE("a server is present exactly as long as it accepts connections", "[gateway]")
{
    boost::asio::io_context context{1};
    tcp::acceptor acceptor(context, {boost::asio::ip::address_v4::loopback(), 0});
    const auto address = addressOf(acceptor);
    CHECK(findPresence(context, address) == true);
    acceptor.close();
    CHECK(findPresence(context, address) == false);
}

// Guards against a result that reaches a request which has ended.
TEST_CASE("a cancelled check of a server's presence has no result", "[gateway]")
{
    boost::asio::io_context context{1};
    tcp::acceptor acceptor(context, {boost::asio::ip::address_v4::loopback(), 0});
    bool isCalled = false;
    const auto check = std::make_shared<gateway::ServerPresence>(context, [&isCalled](bool /*isPresent*/) {
        isCalled = true;
    });
    check->start(addressOf(acceptor));
    check->cancel();
    context.run_for(300ms);
    CHECK_FALSE(isCalled);
}
