#include <catch2/catch.hpp>

#include <fault/matrixfleet.h>

#include <memory>
#include <string>
#include <utility>

using namespace cyclamenspool;
using core::ErrorKind;
using core::Milliseconds;
using core::RunState;
using fault::MatrixFleet;
using fault::RequestKind;

TEST_CASE("requests of a workspace over its limit are rejected immediately and other workspaces are unaffected", "[router]")
{
    MatrixFleet matrix;
    auto &fleet = *matrix.fleet;
    for (int i = 0; i < 40; ++i) {
        const auto number = std::to_string(i);
        auto limited = fault::makeRequest(RequestKind::Chat, "s" + number, "");
        limited.workspace = "small";
        fleet.sendRequest(i % 2 == 0 ? "router-0" : "router-1", limited);
        fleet.sendRequest("router-0", fault::makeRequest(RequestKind::Chat, "d" + number, ""));
        fleet.run(Milliseconds(25));
    }
    fleet.run(Milliseconds(2000));
    int admitted = 0;
    for (int i = 0; i < 40; ++i) {
        const auto number = std::to_string(i);
        CHECK(fleet.responseTo("d" + number).isComplete);
        const auto &answer = fleet.responseTo("s" + number);
        admitted += answer.isComplete ? 1 : 0;
        if (!answer.isComplete) {
            CHECK(answer.errorKind == ErrorKind::WorkspaceLimit);
            CHECK(answer.runState == RunState::NotRun);
            CHECK(answer.retryAfter.count() > 0);
            CHECK(answer.endedAt == answer.sentAt);
        }
    }
    // The workspace may send 4 requests per second and a burst of one second; the requests are sent within one second.
    CHECK(admitted <= 4 * 2 + 2);
    CHECK(admitted >= 4);
}

TEST_CASE("a request is rejected immediately as not run if the home of its idempotency key is down", "[router]")
{
    MatrixFleet matrix;
    auto &fleet = *matrix.fleet;
    for (const std::string server : {"booking-0", "booking-1", "booking-2"}) {
        fleet.kill("vm-" + server);
    }
    fleet.sendRequest("router-0", fault::makeRequest(RequestKind::CallerKey, "r", "some-key"));
    fleet.run(Milliseconds(10));
    const auto &answer = fleet.responseTo("r");
    REQUIRE(answer.final);
    CHECK(answer.errorKind == ErrorKind::HomeDown);
    CHECK(answer.runState == RunState::NotRun);
    CHECK(answer.retryAfter.count() > 0);
}

TEST_CASE("a failure after an attempt that may have run reports an unknown run state", "[router]")
{
    MatrixFleet matrix;
    auto &fleet = *matrix.fleet;
    fleet.sendRequest("router-0", fault::makeRequest(RequestKind::Chat, "r", ""));
    REQUIRE(fleet.runUntil("first_byte", Milliseconds(1000)));
    for (const std::string server : {"engine-0", "engine-1", "engine-2"}) {
        fleet.kill("vm-" + server);
    }
    fleet.run(Milliseconds(5000));
    const auto &answer = fleet.responseTo("r");
    REQUIRE(answer.final);
    CHECK_FALSE(answer.isComplete);
    CHECK(answer.runState == RunState::Unknown);
    CHECK(matrix.runRecord->runsByRequest["r"] == 1);
}

TEST_CASE("duplicate replies from agents do not change the response", "[router]")
{
    MatrixFleet matrix;
    auto &fleet = *matrix.fleet;
    fleet.duplicateReplies(4);
    fleet.sendRequest("router-0", fault::makeRequest(RequestKind::Chat, "r", ""));
    fleet.run(Milliseconds(100));
    wire::Submit submit;
    submit.set_request_id("r");
    CHECK(fleet.responseTo("r").isComplete);
    CHECK(fleet.responseTo("r").body == fault::expectedResponse(submit));
}

TEST_CASE("a response that ends short of its total length fails as answer_cut", "[router]")
{
    auto table = std::make_shared<config::Table>();
    table->apply(config::parseRows(fault::matrixTable({}), "table"));
    table->apply(config::parseRows(fault::matrixVms(), "vms"));
    const auto now = core::Now::read();
    router::RouterCore router("router-0", {}, 1);
    static_cast<void>(router.onView(std::make_shared<const member::FleetView>(table, 1), now));
    const auto actions = router.onRequest(fault::makeRequest(RequestKind::Chat, "r", ""), now);
    const auto attemptId = std::get<router::SendAttempt>(actions.back()).attemptId;
    wire::Reply reply;
    reply.set_request_id("r");
    reply.set_attempt(attemptId);
    reply.mutable_begin()->set_status(200);
    REQUIRE(router.onReply(attemptId, reply, now).size() == 1);
    reply.mutable_chunk()->set_data("half");
    REQUIRE(router.onReply(attemptId, reply, now).size() == 1);
    reply.mutable_end()->set_total(8);
    const auto endActions = router.onReply(attemptId, reply, now);
    const auto *failure = std::get_if<router::ResponseFailure>(&endActions.back());
    REQUIRE(failure != nullptr);
    CHECK(failure->kind == ErrorKind::AnswerCut);
    CHECK(failure->runState == RunState::Unknown);
}

namespace {

/** @brief Router core with the matrix's view; answers each attempt as the test says. */
struct RouterWithView {
    RouterWithView()
    {
        auto table = std::make_shared<config::Table>();
        table->apply(config::parseRows(fault::matrixTable({}), "table"));
        table->apply(config::parseRows(fault::matrixVms(), "vms"));
        static_cast<void>(router.onView(std::make_shared<const member::FleetView>(table, 1), now));
    }

    /** @brief Rejects each attempt for lack of capacity until none is sent any more. @param actions Actions of the request. @param candidate Backend server
     * that the first rejection names. @return Number of attempts sent. */
    std::size_t rejectAll(router::Actions actions, const std::string &candidate)
    {
        std::size_t sent = 0;
        for (bool isSent = true; isSent;) {
            isSent = false;
            for (const auto &action : std::exchange(actions, {})) {
                const auto *attempt = std::get_if<router::SendAttempt>(&action);
                if (attempt == nullptr) {
                    continue;
                }
                isSent = true;
                wire::Reply reply;
                reply.set_request_id("r");
                reply.set_attempt(attempt->attemptId);
                reply.mutable_failed()->set_kind(static_cast<int>(ErrorKind::Overloaded));
                reply.mutable_failed()->set_load(1.0);
                reply.mutable_failed()->set_candidate(++sent == 1 ? candidate : "");
                actions = router.onReply(attempt->attemptId, reply, now);
            }
        }
        return sent;
    }

    core::Now now = core::Now::read();
    router::RouterCore router{"router-0", {}, 1};
};

} // namespace

TEST_CASE("a retry round sends the request once for each backend server that rejected it", "[router]")
{
    RouterWithView fixture;
    // Three engines reject it, then the first round begins at once; the second one waits.
    CHECK(fixture.rejectAll(fixture.router.onRequest(fault::makeRequest(RequestKind::Chat, "r", ""), fixture.now), "") == 3 + 3);
}

TEST_CASE("only attempts that are sent are counted", "[router]")
{
    RouterWithView fixture;
    const auto sent = fixture.rejectAll(fixture.router.onRequest(fault::makeRequest(RequestKind::Chat, "r", ""), fixture.now), "engine-that-is-not-listed");
    CHECK(fixture.router.counts().attempts == sent);
}

TEST_CASE("a request to suspended backend servers fails at its deadline with an unknown run state", "[router]")
{
    MatrixFleet matrix;
    auto &fleet = *matrix.fleet;
    for (const std::string server : {"booking-0", "booking-1", "booking-2"}) {
        fleet.freeze(server);
    }
    const auto request = fault::makeRequest(RequestKind::RouterKey, "r", "");
    fleet.sendRequest("router-0", request);
    fleet.run(request.timeout + Milliseconds(100));
    REQUIRE(fleet.responseTo("r").final);
    CHECK(fleet.responseTo("r").errorKind == ErrorKind::DeadlineAfterSend);
    CHECK(fleet.responseTo("r").runState == RunState::Unknown);
}

TEST_CASE("an invalid request is rejected as not run with the matching error kind", "[router]")
{
    MatrixFleet matrix;
    auto &fleet = *matrix.fleet;
    auto request = fault::makeRequest(RequestKind::Chat, "r", "");
    ErrorKind expected = ErrorKind::Internal;
    SECTION("unknown workspace")
    {
        request.workspace = "nobody";
        expected = ErrorKind::UnknownWorkspace;
    }
    SECTION("unknown pool")
    {
        request.pool = "nothing";
        expected = ErrorKind::UnknownPool;
    }
    SECTION("idempotency key for a pool without support for keys")
    {
        request.idempotencyKey = "k";
        expected = ErrorKind::BadKey;
    }
    fleet.sendRequest("router-0", request);
    fleet.run(Milliseconds(10));
    REQUIRE(fleet.responseTo("r").final);
    CHECK(fleet.responseTo("r").errorKind == expected);
    CHECK(fleet.responseTo("r").runState == RunState::NotRun);
}

TEST_CASE("all requests of a chat are served by the same backend server", "[router]")
{
    MatrixFleet matrix;
    auto &fleet = *matrix.fleet;
    std::map<std::string, std::string> serverByChat;
    for (int turn = 0; turn < 5; ++turn) {
        for (int chat = 0; chat < 20; ++chat) {
            const auto id = "t" + std::to_string(turn) + "c" + std::to_string(chat);
            auto request = fault::makeRequest(RequestKind::Chat, id, "");
            request.chat = "chat-" + std::to_string(chat);
            fleet.sendRequest(turn % 2 == 0 ? "router-0" : "router-1", request);
            fleet.run(Milliseconds(200));
            REQUIRE(fleet.responseTo(id).isComplete);
            const auto entry = serverByChat.emplace(request.chat, fleet.responseTo(id).server);
            CHECK(entry.first->second == fleet.responseTo(id).server);
        }
    }
}
