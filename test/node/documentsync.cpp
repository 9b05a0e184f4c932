#include <catch2/catch.hpp>

#include <cyclamenspool/node/documentsync.h>

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <cstdint>
#include <limits>
#include <string>

using namespace cyclamenspool;
using namespace std::chrono_literals;

namespace {

/** @brief Document synchronisation that never runs its context: it sends nothing. */
struct IdleSync {
    boost::asio::io_context context;
    config::Settings settings;
    config::DocumentStore store{settings.documents};
    wire::PeerConnectionPool peers{context, {}};
    node::DocumentSync sync{context, settings, store, peers, [] {}};
};

std::string pushWithServiceAge(std::int64_t age)
{
    wire::DocumentPush push;
    auto *state = push.add_have();
    state->set_name("table");
    state->set_service_age_ms(age);
    return push.SerializeAsString();
}

} // namespace

TEST_CASE("before the first contact with the services, their state counts as old, however long the VM has been up", "[node]")
{
    IdleSync idle;
    CHECK(idle.sync.timeSinceServiceContact() > 24h);
}

TEST_CASE("a peer's malformed time of its last service contact neither lies in the future nor overflows", "[node]")
{
    for (const std::int64_t age : {std::int64_t{-3600000}, std::numeric_limits<std::int64_t>::min(), std::numeric_limits<std::int64_t>::max()}) {
        CAPTURE(age);
        IdleSync idle;
        static_cast<void>(idle.sync.handlePush(pushWithServiceAge(age)));
        CHECK(idle.sync.timeSinceServiceContact() >= 0ms);
        CHECK(idle.sync.timeSinceServiceContact() <= 24h * 366);
    }
}

TEST_CASE("a peer's contact with the services is adopted with its age", "[node]")
{
    IdleSync idle;
    static_cast<void>(idle.sync.handlePush(pushWithServiceAge(700)));
    CHECK(idle.sync.timeSinceServiceContact() >= 700ms);
    CHECK(idle.sync.timeSinceServiceContact() < 1700ms);
}
