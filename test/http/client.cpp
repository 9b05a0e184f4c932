#include <catch2/catch.hpp>

#include <harness/brokenoffserver.h>

#include <cyclamenspool/http/client.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>

#include <exception>
#include <optional>

using namespace cyclamenspool;
using namespace std::chrono_literals;
using harness::BreakOff;
using harness::BrokenOffServer;

namespace {

/** @brief Result of a fetch. */
struct Fetched {
    std::optional<http::ClientResponse> response; /* empty: it failed */
    bool mayHaveBeenSent = false;
    std::string error;
};

/** @brief Fetches a response that its server breaks off. */
Fetched fetchBrokenOff(const harness::BrokenOffConnection &connection)
{
    boost::asio::io_context context(1);
    BrokenOffServer server(context);
    server.serve(connection);
    http::ClientRequest request;
    request.address = server.address();
    request.timeout = 2s;
    Fetched fetched;
    bool isEnded = false;
    boost::asio::co_spawn(context, http::fetch(request), [&](const std::exception_ptr &failure, http::ClientResponse response) {
        isEnded = true;
        if (!failure) {
            fetched.response = std::move(response);
            return;
        }
        try {
            std::rethrow_exception(failure);
        } catch (const http::ClientError &error) {
            fetched.mayHaveBeenSent = error.mayHaveBeenSent();
            fetched.error = error.what();
        }
    });
    context.run_for(3s);
    REQUIRE(isEnded);
    return fetched;
}

} // namespace

// Guards against a model engine's or configuration service's response that ends early and is returned as complete.
TEST_CASE("a fetched response that is cut after any byte is returned only if its framing says that it is complete", "[http][answerends]")
{
    const auto end = GENERATE(BreakOff::Fin, BreakOff::Reset);
    const bool isBytewise = GENERATE(false, true);
    for (const auto &response : harness::wireResponses()) {
        // The client takes no response whose body ends with the connection.
        const bool isReadable = !response.isUnframed;
        for (std::size_t cut = 0; cut <= response.bytes().size(); ++cut) {
            const auto fetched = fetchBrokenOff({"", response.bytes().substr(0, cut), end, isBytewise});
            INFO(response.name << ", bytes " << cut << " of " << response.bytes().size() << ", error " << fetched.error);
            CHECK(fetched.response.has_value() == (isReadable && response.isComplete(cut, end)));
            CHECK((!fetched.response || fetched.response->head.status == static_cast<int>(response.status)));
            CHECK((!fetched.response || fetched.response->body == response.content));
            CHECK((fetched.response || fetched.mayHaveBeenSent));
        }
    }
}
