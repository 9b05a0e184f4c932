#include <catch2/catch.hpp>

#include <cyclamenspool/gateway/watchpolicy.h>

#include <algorithm>
#include <vector>

using namespace cyclamenspool;
using namespace std::chrono_literals;
using core::Milliseconds;
using gateway::WatchBounds;

namespace {

/** @brief Plays the watches of one gateway on a list or configuration that changes at given times. */
struct Watches {
    int calls = 0;
    Milliseconds longestDelay{0}; /* from a change until it was read */
};

Watches playConfiguration(const std::vector<Milliseconds> &changes, Milliseconds end)
{
    Watches result;
    auto now = Milliseconds(0);
    auto changedAt = -Milliseconds(1h);
    std::size_t read = 0;
    while (now < end) {
        now += std::max(gateway::configurationPause(WatchBounds(), now - changedAt), Milliseconds(0));
        ++result.calls;
        const auto timeout = now + gateway::configurationWatchTime();
        if (read < changes.size() && changes[read] <= timeout) {
            now = std::max(now, changes[read]);
            for (; read < changes.size() && changes[read] <= now; ++read) {
                result.longestDelay = std::max(result.longestDelay, now - changes[read]);
            }
            changedAt = now;
        } else {
            now = timeout;
        }
    }
    return result;
}

/** @brief Counts the calls of a zone's gateways while the list does not change. */
int callsOnQuietList(int gateways, Milliseconds end)
{
    int calls = 0;
    for (int gateway = 0; gateway < gateways; ++gateway) {
        const bool isWatcher = gateway == 0;
        auto now = Milliseconds(0);
        while (now < end) {
            now += std::max(gateway::listPause(WatchBounds(), isWatcher, Milliseconds(0)), Milliseconds(0));
            now += gateway::listWatchTime(isWatcher);
            ++calls;
        }
    }
    return calls;
}

} // namespace

TEST_CASE("configuration storm: changes that follow closely are read together, each within the bound, and the first one at once", "[gateway][watches]")
{
    std::vector<Milliseconds> changes;
    for (int i = 0; i < 50; ++i) {
        changes.push_back(1000ms + i * 80ms);
    }
    const auto storm = playConfiguration(changes, 5000ms);
    CHECK(storm.calls <= 2 + 4000 / 400); /* 50 with a watch for each change */
    CHECK(storm.longestDelay <= WatchBounds().configuration / 2);
    const auto single = playConfiguration({1000ms}, 5000ms);
    CHECK(single.longestDelay == 0ms);
}

TEST_CASE("quiet list at 103 gateways in 4 zones: one call in 20 s of a gateway, and one in 5 s of a watcher", "[gateway][watches]")
{
    constexpr auto day = 60000ms;
    const int perZone = callsOnQuietList(26, day);
    CHECK(perZone <= 25 * (60 / 20 + 1) + 60 / 5 + 1);
}

TEST_CASE("a leaving server is noticed within half of its bound, also when the zone's watcher has stopped", "[gateway][watches]")
{
    const WatchBounds bounds{3000ms, 2000ms};
    CHECK(gateway::listPause(bounds, true, 0ms) <= bounds.leaving / 2);
    CHECK(gateway::listPause(bounds, false, 0ms) <= bounds.leaving / 2);
    CHECK(gateway::listPause(bounds, false, 0ms) > gateway::listPause(bounds, true, 0ms));
    CHECK(gateway::listPause(bounds, false, bounds.leaving) <= 0ms);
}

TEST_CASE("slow link: a watch may return one version of every item and any small response, but not two versions of a large one", "[gateway][slowlink]")
{
    constexpr std::uint64_t configurationBytes = 664'000;
    CHECK(gateway::maxWatchBytes(configurationBytes) > configurationBytes);
    CHECK(gateway::maxWatchBytes(configurationBytes) < 2 * configurationBytes);
    CHECK(gateway::maxWatchBytes(0) == gateway::maxWatchBytes(1000));
    CHECK(gateway::maxWatchBytes(0) > 20 * 5000);
}
