#include <catch2/catch.hpp>

#include <fault/matrixfleet.h>

using namespace cyclamenspool;
using core::ErrorKind;
using core::Milliseconds;
using core::RunState;
using fault::MatrixFleet;
using fault::RequestMode;

TEST_CASE("a workspace over its limit is refused at once and others are not", "[router]")
{
    MatrixFleet matrix;
    auto &fleet = *matrix.fleet;
    for (int i = 0; i < 40; ++i) {
        const auto number = std::to_string(i);
        auto surging = fault::makeRequest(RequestMode::Chat, "s" + number, "");
        surging.workspace = "small";
        fleet.ask(i % 2 == 0 ? "router-0" : "router-1", surging);
        fleet.ask("router-0", fault::makeRequest(RequestMode::Chat, "d" + number, ""));
        fleet.run(Milliseconds(25));
    }
    fleet.run(Milliseconds(2000));
    int admitted = 0;
    for (int i = 0; i < 40; ++i) {
        const auto number = std::to_string(i);
        CHECK(fleet.answer("d" + number).whole);
        const auto &answer = fleet.answer("s" + number);
        admitted += answer.whole ? 1 : 0;
        if (!answer.whole) {
            CHECK(answer.kind == ErrorKind::WorkspaceLimit);
            CHECK(answer.runState == RunState::NotRun);
            CHECK(answer.retryAfter.count() > 0);
            CHECK(answer.answered == answer.asked);
        }
    }
    CHECK(admitted <= 4 * 2 + 2);
    CHECK(admitted >= 4);
}

TEST_CASE("a key whose home is down is refused at once as not run", "[router]")
{
    MatrixFleet matrix;
    auto &fleet = *matrix.fleet;
    for (const std::string server : {"booking-0", "booking-1", "booking-2"}) {
        fleet.kill("vm-" + server);
    }
    fleet.ask("router-0", fault::makeRequest(RequestMode::CallerKey, "r", "some-key"));
    fleet.run(Milliseconds(10));
    const auto &answer = fleet.answer("r");
    REQUIRE(answer.final);
    CHECK(answer.kind == ErrorKind::HomeDown);
    CHECK(answer.runState == RunState::NotRun);
    CHECK(answer.retryAfter.count() > 0);
}

TEST_CASE("a refusal after an attempt that may have run does not say not run", "[router]")
{
    MatrixFleet matrix;
    auto &fleet = *matrix.fleet;
    fleet.ask("router-0", fault::makeRequest(RequestMode::Chat, "r", ""));
    REQUIRE(fleet.runTo("first_byte", Milliseconds(1000)));
    for (const std::string server : {"engine-0", "engine-1", "engine-2"}) {
        fleet.kill("vm-" + server);
    }
    fleet.run(Milliseconds(5000));
    const auto &answer = fleet.answer("r");
    REQUIRE(answer.final);
    CHECK_FALSE(answer.whole);
    CHECK(answer.runState == RunState::Unknown);
    CHECK(matrix.ledger->runsByRequest["r"] == 1);
}

TEST_CASE("doubled replies do not spoil an answer", "[router]")
{
    MatrixFleet matrix;
    auto &fleet = *matrix.fleet;
    fleet.duplicateReplies(4);
    fleet.ask("router-0", fault::makeRequest(RequestMode::Chat, "r", ""));
    fleet.run(Milliseconds(100));
    wire::Submit shape;
    shape.set_request_id("r");
    CHECK(fleet.answer("r").whole);
    CHECK(fleet.answer("r").body == fault::expectedAnswer(shape));
}

TEST_CASE("an answer that ends before its whole length is cut, not whole", "[router]")
{
    auto table = std::make_shared<config::Table>();
    table->apply(config::parseRows(fault::matrixTable({}), "table"));
    table->apply(config::parseRows(fault::matrixVms(), "vms"));
    const auto now = core::Now::read();
    router::RouterCore router("router-0", {}, 1);
    static_cast<void>(router.onView(std::make_shared<const member::FleetView>(table, 1), now));
    const auto sent = router.onRequest(fault::makeRequest(RequestMode::Chat, "r", ""), now);
    const auto attempt = std::get<router::SendAttempt>(sent.back()).attempt;
    wire::Reply reply;
    reply.set_request_id("r");
    reply.set_attempt(attempt);
    reply.mutable_begin()->set_status(200);
    REQUIRE(router.onReply(attempt, reply, now).size() == 1);
    reply.mutable_chunk()->set_data("half");
    REQUIRE(router.onReply(attempt, reply, now).size() == 1);
    reply.mutable_end()->set_total(8);
    const auto ended = router.onReply(attempt, reply, now);
    const auto *failure = std::get_if<router::AnswerFailure>(&ended.back());
    REQUIRE(failure != nullptr);
    CHECK(failure->kind == ErrorKind::AnswerCut);
    CHECK(failure->runState == RunState::Unknown);
}

TEST_CASE("a booking at a frozen service is answered at its deadline", "[router]")
{
    MatrixFleet matrix;
    auto &fleet = *matrix.fleet;
    for (const std::string server : {"booking-0", "booking-1", "booking-2"}) {
        fleet.freeze(server);
    }
    const auto request = fault::makeRequest(RequestMode::RouterKey, "r", "");
    fleet.ask("router-0", request);
    fleet.run(request.deadline + Milliseconds(100));
    REQUIRE(fleet.answer("r").final);
    CHECK(fleet.answer("r").kind == ErrorKind::DeadlineAfterSend);
    CHECK(fleet.answer("r").runState == RunState::Unknown);
}

TEST_CASE("bad requests get their kind from the table", "[router]")
{
    MatrixFleet matrix;
    auto &fleet = *matrix.fleet;
    auto request = fault::makeRequest(RequestMode::Chat, "r", "");
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
    SECTION("a key for a pool that keeps none")
    {
        request.key = "k";
        expected = ErrorKind::BadKey;
    }
    fleet.ask("router-0", request);
    fleet.run(Milliseconds(10));
    REQUIRE(fleet.answer("r").final);
    CHECK(fleet.answer("r").kind == expected);
    CHECK(fleet.answer("r").runState == RunState::NotRun);
}

TEST_CASE("a returning chat is sent where its history is warm", "[router]")
{
    MatrixFleet matrix;
    auto &fleet = *matrix.fleet;
    std::map<std::string, std::string> places;
    for (int turn = 0; turn < 5; ++turn) {
        for (int chat = 0; chat < 20; ++chat) {
            const auto id = "t" + std::to_string(turn) + "c" + std::to_string(chat);
            auto request = fault::makeRequest(RequestMode::Chat, id, "");
            request.chat = "chat-" + std::to_string(chat);
            fleet.ask(turn % 2 == 0 ? "router-0" : "router-1", request);
            fleet.run(Milliseconds(200));
            REQUIRE(fleet.answer(id).whole);
            const auto known = places.emplace(request.chat, fleet.answer(id).server);
            CHECK(known.first->second == fleet.answer(id).server);
        }
    }
}
