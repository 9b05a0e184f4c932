#include <catch2/catch.hpp>

#include <cyclamenspool/core/random.h>
#include <cyclamenspool/gateway/fleet.h>
#include <cyclamenspool/gateway/limitsplitter.h>
#include <cyclamenspool/gateway/placement.h>
#include <cyclamenspool/platform/headers.h>

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

using namespace cyclamenspool;
using namespace std::chrono_literals;
using gateway::Availability;
using gateway::Fleet;
using gateway::LimitSplitter;
using gateway::ServerStatements;
using platform::ServerStatement;

namespace {

const core::MonotonicTime start = core::MonotonicTime() + 1h;

ServerStatement limitOf(double perSecond)
{
    ServerStatement statement;
    statement.limit = perSecond;
    return statement;
}

/** @brief Result of a play of limited servers. */
struct LimitedPlay {
    std::size_t worst = 0; /* greatest number of requests in 4 s at a server, from 3 s after its first statement */
    double used = 0; /* part of the limits that was used, of all servers, from then on */
    double away = 0; /* part of the requests at servers without a limit that did not go to the server which most of their history went to */
    int refused = 0;
    int sent = 0;
};

/** @brief Load on a pool of which the first servers name a limit. */
struct LimitedLoad {
    int gateways = 3;
    int servers = 10;
    int limited = 7;
    double limit = 2.0; /* requests per second of each limited server */
    double requestsPerSecond = 40;
    bool isEnforced = true;
    bool isRestarting = false; /* one gateway loses its state each 5 s */
};

/** @brief One gateway with its own view of the fleet. */
struct Gateway {
    explicit Gateway(const LimitedLoad &load, int index)
        : splitter("gateway-" + std::to_string(index), 1)
    {
        for (int i = 0; i < load.servers; ++i) {
            world::BackendServer entry;
            entry.id = "s" + std::to_string(i);
            entry.service = "pool";
            entry.zone = "az-a";
            entry.slots = 8;
            fleet.onServerListed(entry, start);
        }
    }

    Fleet fleet;
    LimitSplitter splitter;
};

/** @brief Plays 30 s of requests with 200 histories, each answered after 0.3 s; gateways report statements to each other after 0.3 s. */
LimitedPlay play(const LimitedLoad &load)
{
    struct Response {
        core::MonotonicTime at;
        core::MonotonicTime sentAt;
        std::size_t gateway;
        gateway::ServerPtr server;
    };
    core::RandomSource random(7);
    std::vector<std::unique_ptr<Gateway>> gateways;
    for (int i = 0; i < load.gateways; ++i) {
        gateways.push_back(std::make_unique<Gateway>(load, i));
    }
    std::vector<std::vector<core::MonotonicTime>> arrivals(static_cast<std::size_t>(load.servers));
    std::deque<Response> responses;
    std::map<std::uint64_t, std::map<int, int>> unlimitedSends; /* by history and server */
    LimitedPlay result;
    gateway::PlacementLimits limits;
    limits.zone = "az-a";
    limits.maxConnections = 100000;
    constexpr auto duration = 30s;
    constexpr auto step = 5ms;
    double due = 0;
    auto reportAt = start;
    auto restartAt = start + 5s;
    for (auto now = start; now < start + duration; now += step) {
        while (!responses.empty() && responses.front().at <= now) {
            const auto response = responses.front();
            responses.pop_front();
            --response.server->outstanding;
            const int index = std::stoi(response.server->entry.id.substr(1));
            const bool isLimited = load.isEnforced && index < load.limited;
            static_cast<void>(response.server->statements.onResponse(isLimited ? limitOf(load.limit) : ServerStatement(), response.sentAt, now));
        }
        if (now >= reportAt) {
            reportAt = now + 300ms;
            for (auto &each : gateways) {
                for (int other = 0; other < load.gateways; ++other) {
                    each->splitter.onGatewaySeen("gateway-" + std::to_string(other), now);
                }
            }
            // Two random peers each stand for the updates within a zone and between zones.
            for (auto &each : gateways) {
                for (const auto &report : each->fleet.statements(now)) {
                    gateways[random.index(gateways.size())]->fleet.onPeerStatement(report);
                    gateways[random.index(gateways.size())]->fleet.onPeerStatement(report);
                }
            }
        }
        if (load.isRestarting && now >= restartAt) {
            restartAt = now + 5s;
            gateways[0] = std::make_unique<Gateway>(load, 0);
        }
        for (due += load.requestsPerSecond * 0.005; due >= 1; due -= 1) {
            const auto index = random.index(gateways.size());
            auto &each = *gateways[index];
            const auto history = 100 + random.index(200);
            const gateway::PlacementQuery query{"pool", history, 2000, {}, {}};
            const auto placement = gateway::place(each.fleet, each.splitter, query, limits, now);
            if (placement.server == nullptr) {
                ++result.refused;
                continue;
            }
            ++result.sent;
            ++placement.server->outstanding;
            placement.server->statements.onSent(now);
            const int server = std::stoi(placement.server->entry.id.substr(1));
            arrivals[static_cast<std::size_t>(server)].push_back(now);
            if (server >= load.limited && now > start + 3500ms) {
                ++unlimitedSends[history][server];
            }
            responses.push_back({now + 300ms, now, index, placement.server});
        }
    }
    double total = 0;
    double away = 0;
    for (const auto &[history, sends] : unlimitedSends) {
        int most = 0;
        for (const auto &[server, count] : sends) {
            total += count;
            away += count;
            most = std::max(most, count);
        }
        away -= most;
    }
    result.away = away / std::max(total, 1.0);
    double inWindow = 0;
    for (int server = 0; server < load.limited; ++server) {
        const auto &times = arrivals[static_cast<std::size_t>(server)];
        for (std::size_t first = 0; first < times.size(); ++first) {
            if (times[first] < start + 3500ms) {
                continue;
            }
            inWindow += 1;
            const auto last = std::lower_bound(times.begin(), times.end(), times[first] + 4s);
            result.worst = std::max(result.worst, static_cast<std::size_t>(last - times.begin()) - first);
        }
    }
    result.used = inWindow / (load.limit * load.limited * 26.5);
    return result;
}

std::size_t allowedInFourSeconds(double limit)
{
    return static_cast<std::size_t>(1.5 * 4 * limit + 5);
}

} // namespace

TEST_CASE("some servers limited: none gets more than it allows, the limits are used, and the others serve the rest", "[gateway][statements]")
{
    for (const int gateways : {1, 3, 24}) {
        LimitedLoad load;
        load.gateways = gateways;
        const auto result = play(load);
        INFO(gateways << " gateways: worst " << result.worst << ", used " << result.used << ", refused " << result.refused);
        CHECK(result.worst <= allowedInFourSeconds(load.limit));
        CHECK(result.used > 0.3);
        CHECK(result.refused == 0);
        load.isEnforced = false;
        CHECK(play(load).worst > allowedInFourSeconds(load.limit));
    }
}

TEST_CASE("most servers limited under a high load: histories stay together at the servers that take them", "[gateway][statements]")
{
    LimitedLoad load;
    load.requestsPerSecond = 160;
    const auto result = play(load);
    INFO("away " << result.away << ", refused " << result.refused);
    CHECK(result.away < 0.15);
    CHECK(result.refused == 0);
}

TEST_CASE("all servers limited below the demand: the limits are kept and the rest is refused at once", "[gateway][statements]")
{
    for (const int gateways : {1, 3, 24, 300}) {
        LimitedLoad load;
        load.gateways = gateways;
        load.limited = load.servers;
        load.limit = 1.8;
        const auto result = play(load);
        INFO(gateways << " gateways: worst " << result.worst << ", used " << result.used << ", refused " << result.refused << ", sent " << result.sent);
        CHECK(result.worst <= allowedInFourSeconds(load.limit));
        CHECK(result.refused > result.sent / 2);
        CHECK((gateways > 24 || result.used > 0.6));
    }
}

TEST_CASE("limits that gateways learn anew after restarts are kept", "[gateway][statements]")
{
    LimitedLoad load;
    load.isRestarting = true;
    load.limit = 3.8;
    const auto result = play(load);
    INFO("worst " << result.worst << ", used " << result.used);
    CHECK(result.worst <= allowedInFourSeconds(load.limit));
}

TEST_CASE("the latest statement about a limit holds, not the latest response", "[gateway][statements]")
{
    ServerStatements statements;
    CHECK(statements.onResponse(limitOf(2), start, start + 1s));
    CHECK(statements.limit(start + 1s) == 2.0);
    // The request was sent before the limit was heard of: its response says nothing newer.
    CHECK_FALSE(statements.onResponse(ServerStatement(), start + 500ms, start + 1100ms));
    CHECK(statements.limit(start + 1200ms) == 2.0);
    ServerStatement malformed;
    malformed.isLimitMalformed = true;
    CHECK_FALSE(statements.onResponse(malformed, start + 1300ms, start + 1400ms));
    CHECK(statements.limit(start + 1400ms) == 2.0);
    statements.onReportedLimit({4.0, start + 500ms});
    CHECK(statements.limit(start + 1400ms) == 2.0);
    statements.onReportedLimit({4.0, start + 1500ms});
    CHECK(statements.limit(start + 1500ms) == 4.0);
    CHECK(statements.onResponse(ServerStatement(), start + 1600ms, start + 1700ms));
    CHECK_FALSE(statements.limit(start + 1700ms));
    statements.onReportedLimit({2.0, start + 1650ms});
    CHECK_FALSE(statements.limit(start + 1700ms));
    CHECK(statements.onResponse(limitOf(1), start + 1700ms, start + 2s));
    CHECK_FALSE(statements.limit(start + 33s));
}

TEST_CASE("a server that says that it leaves or wants no requests gets none, and a limit of zero allows none", "[gateway][statements]")
{
    LimitedLoad load;
    load.servers = 3;
    Gateway each(load, 0);
    const auto serverAt = [&each](const char *id) -> gateway::ServerState & {
        return *each.fleet.find(id);
    };
    ServerStatement leaving;
    leaving.isLeaving = true;
    static_cast<void>(serverAt("s0").statements.onResponse(leaving, start, start));
    ServerStatement backingOff;
    backingOff.retryAfter = 5s;
    static_cast<void>(serverAt("s1").statements.onResponse(backingOff, start, start));
    static_cast<void>(serverAt("s2").statements.onResponse(limitOf(0), start, start));
    CHECK(each.fleet.availabilityOf(serverAt("s0"), start + 1min) == Availability::Leaving);
    CHECK(each.fleet.availabilityOf(serverAt("s1"), start + 4900ms) == Availability::BackingOff);
    CHECK(each.fleet.availabilityOf(serverAt("s1"), start + 5s) == Availability::Usable);
    const auto refused = gateway::place(each.fleet, each.splitter, {"pool", 0, 0, {}, {}}, {}, start + 1s);
    CHECK(refused.server == nullptr);
    CHECK(refused.refusal == core::ErrorKind::NoCandidate);
    CHECK(refused.availableIn == 1s); /* the limit of zero is asked again; the other server is back in 4 s */
}

TEST_CASE("a restarted server under the same id is not bound by what its earlier process said", "[gateway][statements]")
{
    LimitedLoad load;
    load.servers = 1;
    Gateway each(load, 0);
    each.fleet.onPeerStatement({"s0", 77, true, {}});
    CHECK(each.fleet.availabilityOf(*each.fleet.find("s0"), start) == Availability::Usable);
    each.fleet.onPeerStatement({"s0", 0, true, {}});
    CHECK(each.fleet.availabilityOf(*each.fleet.find("s0"), start) == Availability::Leaving);
    auto entry = each.fleet.find("s0")->entry;
    entry.startedUnixMs = 78;
    each.fleet.onServerListed(entry, start);
    CHECK(each.fleet.availabilityOf(*each.fleet.find("s0"), start) == Availability::Usable);
}

TEST_CASE("statements in headers: malformed, negative and huge numbers, and other statuses", "[gateway][statements]")
{
    const auto read = [](unsigned status, const std::string &name, const std::string &value) {
        platform::Fields fields;
        fields.set(name, value);
        return platform::readResponseHead(status, fields).statement;
    };
    CHECK(read(200, "Server-Limit", "1.75").limit == 1.75);
    CHECK(read(200, "Server-Limit", "0").limit == 0.0);
    CHECK(read(200, "Server-Limit", "1" + std::string(400, '0')).limit == 1e6);
    for (const std::string value : {"-1", "nan", "inf", "two", "1,5", "1.5 x"}) {
        CHECK_FALSE(read(200, "Server-Limit", value).limit);
        CHECK(read(200, "Server-Limit", value).isLimitMalformed);
    }
    CHECK_FALSE(read(421, "Server-Limit", "2").limit);
    CHECK(read(200, "Server-Leaving", "1").isLeaving);
    CHECK_FALSE(read(200, "Server-Leaving", "0").isLeaving);
    CHECK(read(503, "Retry-After", "1.5").retryAfter == 1500ms);
    CHECK_FALSE(read(429, "Retry-After", "1.5").retryAfter);
    CHECK_FALSE(read(503, "Retry-After", "Wed, 21 Oct 2026 07:28:00 GMT").retryAfter);
    CHECK(read(503, "Retry-After", "99999999").retryAfter == 600s);
}
