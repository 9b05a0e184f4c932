#include <catch2/catch.hpp>

#include <cyclamenspool/gateway/serverpresence.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>

using namespace cyclamenspool;
using namespace std::chrono_literals;
using boost::asio::ip::tcp;

namespace {

/** @brief A listening socket, and the result of a check of it. */
class Check
{
public:
    Check()
        : acceptor(context, {boost::asio::ip::make_address("127.0.0.1"), 0})
    {
    }

    /** @brief Runs the check. @param delay Time after which an action happens. @param action Action. @return Whether the server is present. */
    bool run(std::chrono::milliseconds delay, const std::function<void()> &action)
    {
        std::optional<bool> result;
        const auto presence = std::make_shared<gateway::ServerPresence>(context, [&result](bool isPresent) {
            result = isPresent;
        });
        presence->start("127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()));
        boost::asio::steady_timer timer(context, delay);
        timer.async_wait([&action](const boost::system::error_code &) {
            action();
        });
        context.run();
        REQUIRE(result);
        return *result;
    }

    boost::asio::io_context context;
    tcp::acceptor acceptor;
};

} // namespace

TEST_CASE("a server that listens is present", "[gateway][answerends]")
{
    Check check;
    CHECK(check.run(10ms, [] {}));
}

TEST_CASE("a server whose process closes its listening socket only after its connections is not present", "[gateway][answerends]")
{
    // The kernel still accepts connections while it closes the sockets of a killed process one by one.
    Check check;
    CHECK_FALSE(check.run(20ms, [&check] {
        check.acceptor.close();
    }));
}

TEST_CASE("a server that resets connections above its limit is present", "[gateway][answerends]")
{
    Check check;
    CHECK(check.run(10ms, [&check] {
        tcp::socket socket(check.context);
        check.acceptor.accept(socket);
        socket.set_option(boost::asio::socket_base::linger(true, 0));
    }));
}
