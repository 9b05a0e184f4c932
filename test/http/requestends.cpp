#include <catch2/catch.hpp>

#include <cyclamenspool/http/server.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <string>
#include <vector>

using namespace cyclamenspool;
using namespace std::chrono_literals;
using boost::asio::ip::tcp;

namespace {

/** @brief Server whose handler records the bodies of its requests. */
class RecordingServer
{
public:
    /** @brief Sends bytes on a new connection, ends it, and waits for the server to end it as well. @return What the server has sent. */
    std::string exchange(const std::string &bytes, bool isReset)
    {
        tcp::socket socket(context);
        socket.connect(server.endpoint());
        boost::asio::write(socket, boost::asio::buffer(bytes));
        std::string received;
        if (isReset) {
            context.run_for(1ms);
            socket.set_option(boost::asio::socket_base::linger(true, 0));
            socket.close();
            context.run_for(1ms);
            return "";
        }
        socket.shutdown(tcp::socket::shutdown_send);
        bool isEnded = false;
        boost::asio::async_read(socket, boost::asio::dynamic_buffer(received), [&isEnded](const boost::system::error_code &, std::size_t) {
            isEnded = true;
        });
        const auto limit = std::chrono::steady_clock::now() + 2s;
        while (!isEnded && std::chrono::steady_clock::now() < limit) {
            context.run_one_for(100ms);
        }
        REQUIRE(isEnded);
        return received;
    }

    boost::asio::awaitable<void> record(const http::Request &request, http::Responder &responder)
    {
        bodies.push_back(request.body());
        co_await responder.send(200, {}, "");
    }

    static boost::asio::awaitable<void> refuse(http::Responder &responder)
    {
        co_await responder.send(400, {}, "");
    }

    boost::asio::io_context context{1};
    std::vector<std::string> bodies;
    http::Server server{context,
                        "127.0.0.1:0",
                        http::ServerLimits(),
                        [this](const http::Request &request, http::Responder &responder) {
                            return record(request, responder);
                        },
                        [](core::ErrorKind, const std::string &, http::Responder &responder) {
                            return refuse(responder);
                        }};
};

} // namespace

// Guards against a caller's request that ends early and is handled as complete.
TEST_CASE("a request that is cut after any byte is handled only if it is complete", "[http][answerends]")
{
    RecordingServer recording;
    const bool isReset = GENERATE(false, true);
    const std::string start = "POST /x HTTP/1.1\r\nHost: desk.example\r\n";
    const std::string length = start + "Content-Length: 13\r\n\r\nthe whole one";
    const std::string chunks = start + "Transfer-Encoding: chunked\r\n\r\n6;a=b\r\nthe wh\r\n7\r\nole one\r\n0\r\nX-Trailer: t\r\n\r\n";
    std::vector<std::string> handled;
    for (const auto &request : {length, chunks}) {
        for (std::size_t cut = 0; cut < request.size(); ++cut) {
            INFO("bytes " << cut << " of " << request.size() << ", reset " << isReset);
            const auto received = recording.exchange(request.substr(0, cut), isReset);
            CHECK(recording.bodies == handled);
            CHECK((isReset || cut == 0 || received.find("HTTP/1.1 400") == 0));
        }
        handled.emplace_back("the whole one");
        CHECK(recording.exchange(request, false).find("HTTP/1.1 200") == 0);
        CHECK(recording.bodies == handled);
    }
}
