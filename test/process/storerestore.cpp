#include <catch2/catch.hpp>

#include <harness/gatewayfleet.h>
#include <harness/localfleet.h>

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <atomic>
#include <functional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

using namespace cyclamenspool;
using namespace std::chrono_literals;
using harness::FakeBackendServer;
using harness::FakeStore;
using harness::GatewayFleet;
using harness::LocalFleet;

namespace {

constexpr auto changeBound = 2000ms; /* default of configuration_ms and leave_ms */
constexpr auto rewriteDelay = 1500ms; /* runners and operator write again within two seconds of the store's return */
constexpr auto settleTime = 1500ms; /* every gateway watches both sections */
constexpr auto absenceTime = 1000ms;
constexpr int lostWrites = 20;

/** @brief How the store is away before it returns from a copy. */
enum class Absence { Refusing, Silent };

/** @brief Returns whether a gateway accepts requests with an API key. */
bool isKeyAccepted(const GatewayFleet &fleet, const std::string &key, std::size_t gateway)
{
    auto call = fleet.makeRequest("probe", "/again/x", gateway);
    call.headers[3].second = "Bearer " + key;
    return sendRequest(call).status == 200;
}

/** @brief Waits until all gateways accept an API key or all refuse it. @return False if some do not within 2 s. */
bool waitForKeyEverywhere(const GatewayFleet &fleet, const std::string &key, bool isExpected = true)
{
    const auto isKeyAsExpected = [&] {
        for (std::size_t i = 0; i < fleet.gateways.size(); ++i) {
            if (isKeyAccepted(fleet, key, i) != isExpected) {
                return false;
            }
        }
        return true;
    };
    return LocalFleet::waitUntil(isKeyAsExpected, changeBound);
}

/** @brief Sends a request every 20 ms to each gateway until it is destroyed, and counts the statuses. */
class Prober
{
public:
    /** @brief Starts one thread for each gateway. @param name Part of the request ids. @param key API key. */
    Prober(const GatewayFleet &fleet, const std::string &name, const std::string &key)
    {
        for (std::size_t i = 0; i < fleet.gateways.size(); ++i) {
            threads_.emplace_back([this, &fleet, name, key, i] {
                for (int number = 0; !isOver_; ++number) {
                    auto call = fleet.makeRequest(name + "-" + std::to_string(i) + "-" + std::to_string(number), "/once/x", i);
                    call.headers[3].second = "Bearer " + key;
                    const int status = sendRequest(call).status;
                    ++(status == 200 ? accepted_ : failed_);
                    std::this_thread::sleep_for(20ms);
                }
            });
        }
    }

    ~Prober()
    {
        isOver_ = true;
        for (auto &thread : threads_) {
            thread.join();
        }
    }

    Prober(const Prober &) = delete;
    Prober &operator=(const Prober &) = delete;

    /** @brief Returns the number of requests that were answered with 200. */
    [[nodiscard]] int accepted() const noexcept
    {
        return accepted_;
    }

    /** @brief Returns the number of requests with any other outcome. */
    [[nodiscard]] int failed() const noexcept
    {
        return failed_;
    }

private:
    std::atomic<bool> isOver_{false};
    std::atomic<int> accepted_{0};
    std::atomic<int> failed_{0};
    std::vector<std::thread> threads_;
};

/** @brief Returns a server's entry. @param sequence Number of orders that it has accepted. @param born Unix millisecond of its start. */
std::string entryOf(const FakeBackendServer &server, int sequence, const std::string &state = "ready", const std::string &zone = "az-a", int born = 1000)
{
    auto entry = boost::json::parse(server.listEntry("pool", state)).as_object();
    entry["zone"] = zone;
    entry["sequence"] = sequence;
    entry["born"] = born;
    return boost::json::serialize(entry);
}

/** @brief Changes the entry of a server of another service, so that the store's revision rises. */
void writeOthers(FakeStore &store, int count = lostWrites)
{
    for (int i = 0; i < count; ++i) {
        const auto other = R"({"service":"other","address":"127.0.0.1:9","zone":"az-a","slots":8,"state":"ready","cold_remaining_ms":)";
        store.put("servers/other", other + std::to_string(i) + R"(,"sequence":)" + std::to_string(i) + "}");
    }
}

/**
 * @brief Takes the store's first address away and brings it back from a copy.
 * @param copy Copy that the store returns from; it is restored as often as @p times says.
 * @param writes Writes that the store acknowledges before any gateway has called it again.
 */
void restore(
    FakeStore &store,
    const FakeStore::Copy &copy,
    Absence absence,
    int times = 1,
    const std::function<void()> &writes = [] {})
{
    const auto setAway = [&](bool isAway) {
        if (absence == Absence::Silent) {
            store.setSilent(isAway);
        } else {
            store.setStatus(isAway ? 503 : 200);
        }
    };
    setAway(true);
    std::this_thread::sleep_for(absenceTime);
    for (int i = 0; i < times; ++i) {
        store.restore(copy);
    }
    writes();
    setAway(false);
}

/** @brief Number of zones and kind of absence under which a case is played. */
std::pair<int, Absence> generateCase()
{
    return GENERATE(std::pair(1, Absence::Silent), std::pair(3, Absence::Refusing));
}

/** @brief Publishes version 2 with key-old, copies the store and publishes version 3, which revokes the key and is lost with the later writes.
 * @return Copy without version 3; all gateways refuse the key by now. */
FakeStore::Copy loseRevocation(GatewayFleet &fleet)
{
    std::this_thread::sleep_for(settleTime);
    fleet.publishRouting(2, "pool", {"key-1", "key-old"});
    REQUIRE(waitForKeyEverywhere(fleet, "key-old"));
    auto copy = fleet.store.copy();
    fleet.publishRouting(3, "pool", {"key-1"});
    writeOthers(fleet.store);
    REQUIRE(waitForKeyEverywhere(fleet, "key-old", false));
    return copy;
}

/** @brief Writes the lost version 3 again, and version 4 with key-4. */
void publishNext(GatewayFleet &fleet)
{
    fleet.publishRouting(3, "pool", {"key-1"});
    fleet.publishRouting(4, "pool", {"key-1", "key-4"});
}

/** @brief Waits until runners and operator write again; meanwhile the store's revision passes the lost ones. */
void passLostRevisions(FakeStore &store)
{
    std::this_thread::sleep_for(rewriteDelay / 2);
    writeOthers(store, 2 * lostWrites);
    std::this_thread::sleep_for(rewriteDelay / 2);
}

/** @brief Writes that the server i-0 leaves. @param isRemoved True if its entry is removed, false if it drains. */
void leave(GatewayFleet &fleet, bool isRemoved)
{
    if (isRemoved) {
        fleet.store.remove("servers/i-0");
    } else {
        fleet.store.put("servers/i-0", entryOf(*fleet.backendServers[0], 3, "draining"));
    }
}

/** @brief Copies the store and lets the server i-0 leave, which is lost with the later writes. @param isRemoved As in leave(). @return Copy with the server. */
FakeStore::Copy loseLeaving(GatewayFleet &fleet, bool isRemoved)
{
    fleet.store.put("servers/i-0", entryOf(*fleet.backendServers[0], 2));
    std::this_thread::sleep_for(settleTime);
    auto copy = fleet.store.copy();
    leave(fleet, isRemoved);
    writeOthers(fleet.store);
    return copy;
}

/** @brief Returns whether a gateway's copies are those of an era of the store. */
bool isOfEra(const GatewayFleet::Gateway &gateway, int era)
{
    harness::HttpRequest call;
    call.address = gateway.metricsAddress;
    call.target = "/metrics";
    const auto metrics = harness::sendRequest(call).body;
    const auto isNamed = [&metrics, era](const std::string &section) {
        return metrics.find("cyclamenspool_store_era{section=\"" + section + "\"} " + std::to_string(era) + '\n') != std::string::npos;
    };
    return isNamed("op/") && isNamed("servers/");
}

/** @brief Waits until the copies of all gateways are of an era of the store. @return False if some are not within 10 s. */
bool waitForEra(const GatewayFleet &fleet, int era)
{
    return LocalFleet::waitUntil([&] {
        return std::all_of(fleet.gateways.begin(), fleet.gateways.end(), [era](const auto &gateway) {
            return isOfEra(gateway, era);
        });
    });
}

/** @brief Kills gateways, starts them again and waits until they are ready. @param indices Indices of the gateways. */
void killAndStart(GatewayFleet &fleet, const std::vector<std::size_t> &indices)
{
    for (const auto i : indices) {
        fleet.gateways[i].process.kill();
    }
    for (const auto i : indices) {
        fleet.start(fleet.gateways[i]);
    }
    REQUIRE(LocalFleet::waitUntil([&] {
        return std::all_of(indices.begin(), indices.end(), [&fleet](std::size_t i) {
            return GatewayFleet::isReady(fleet.gateways[i]);
        });
    }));
}

/** @brief Returns the number of requests that reach a server during a time. */
int countRuns(GatewayFleet &fleet, std::size_t server, std::chrono::milliseconds time)
{
    const int before = fleet.backendServers[server]->totalRunCount();
    std::this_thread::sleep_for(time);
    return fleet.backendServers[server]->totalRunCount() - before;
}

} // namespace

// Guards against a version that is dropped because its revision is below one of the lost history.
TEST_CASE("a store restored from an older copy: the next version is in force everywhere within two seconds", "[process][gateway][store]")
{
    const auto [zones, absence] = generateCase();
    const auto delay = GENERATE(0ms, 1500ms);
    CAPTURE(zones, delay.count());
    GatewayFleet fleet(3, 1, zones);
    const auto copy = loseRevocation(fleet);
    const Prober valid(fleet, "valid", "key-1");
    restore(fleet.store, copy, absence);
    std::this_thread::sleep_for(delay);
    publishNext(fleet);
    CHECK(waitForKeyEverywhere(fleet, "key-4"));
    CHECK(valid.failed() == 0);
}

// Guards against the restored version 2, which allows a key that version 3 has revoked: at the restore, and once the revisions have passed the lost ones.
TEST_CASE("a store restored from an older copy: no request is handled by an earlier version than one in force before", "[process][gateway][store]")
{
    const auto [zones, absence] = generateCase();
    CAPTURE(zones);
    GatewayFleet fleet(3, 1, zones);
    const auto copy = loseRevocation(fleet);
    const Prober revoked(fleet, "revoked", "key-old");
    restore(fleet.store, copy, absence);
    std::this_thread::sleep_for(500ms);
    writeOthers(fleet.store, 2 * lostWrites);
    std::this_thread::sleep_for(rewriteDelay);
    fleet.publishRouting(3, "pool", {"key-1"});
    std::this_thread::sleep_for(500ms);
    fleet.publishRouting(4, "pool", {"key-1", "key-4"});
    CHECK(waitForKeyEverywhere(fleet, "key-4"));
    CHECK(revoked.accepted() == 0);
}

// Guards against a watch that goes on from a revision of the lost history, which the store has given out again for another change.
TEST_CASE("a store restored from an older copy that has passed the gateways' revision again: a version written before is in force within two seconds",
          "[process][gateway][store]")
{
    const auto [zones, absence] = generateCase();
    CAPTURE(zones);
    GatewayFleet fleet(3, 1, zones);
    const auto copy = loseRevocation(fleet);
    const Prober revoked(fleet, "revoked", "key-old");
    restore(fleet.store, copy, absence, 1, [&fleet] {
        publishNext(fleet);
        writeOthers(fleet.store, 2 * lostWrites);
    });
    CHECK(waitForKeyEverywhere(fleet, "key-4"));
    CHECK(revoked.accepted() == 0);
}

// As above, for the list of servers.
TEST_CASE("a store restored from an older copy that has passed the gateways' revision again: a server that leaves before gets nothing two seconds later",
          "[process][gateway][store]")
{
    const auto [zones, absence] = generateCase();
    CAPTURE(zones);
    GatewayFleet fleet(3, 2, zones);
    std::this_thread::sleep_for(settleTime);
    const auto copy = fleet.store.copy();
    writeOthers(fleet.store);
    std::this_thread::sleep_for(changeBound);
    const Prober valid(fleet, "valid", "key-1");
    restore(fleet.store, copy, absence, 1, [&fleet] {
        fleet.store.put("servers/i-0", entryOf(*fleet.backendServers[0], 2, "draining"));
        writeOthers(fleet.store, 2 * lostWrites);
    });
    std::this_thread::sleep_for(changeBound);
    CHECK(countRuns(fleet, 0, 500ms) == 0);
    CHECK(valid.failed() == 0);
}

// Guards against a server that gets requests again because the copy still lists it: as ready before it drained, or at all before it was removed.
TEST_CASE("a store restored from an older copy: a server that left or was removed in the lost seconds gets nothing until that is written again",
          "[process][gateway][store]")
{
    const auto [zones, absence] = generateCase();
    const bool isRemoved = GENERATE(false, true);
    CAPTURE(zones, isRemoved);
    GatewayFleet fleet(3, 2, zones);
    const auto copy = loseLeaving(fleet, isRemoved);
    const Prober valid(fleet, "valid", "key-1");
    std::this_thread::sleep_for(changeBound);
    const int before = fleet.backendServers[0]->totalRunCount();
    restore(fleet.store, copy, absence);
    passLostRevisions(fleet.store);
    leave(fleet, isRemoved);
    std::this_thread::sleep_for(changeBound);
    CHECK(fleet.backendServers[0]->totalRunCount() == before);
    CHECK(valid.failed() == 0);
}

// Guards against a server that stays unused for what the lost history said of its earlier start.
TEST_CASE("a store restored from an older copy: a server that left in the lost seconds and has started again since is used within two seconds",
          "[process][gateway][store]")
{
    const auto [zones, absence] = generateCase();
    const bool isRemoved = GENERATE(false, true);
    CAPTURE(zones, isRemoved);
    GatewayFleet fleet(3, 2, zones);
    const auto copy = loseLeaving(fleet, isRemoved);
    std::this_thread::sleep_for(changeBound);
    restore(fleet.store, copy, absence);
    std::this_thread::sleep_for(rewriteDelay);
    fleet.store.put("servers/i-0", entryOf(*fleet.backendServers[0], 1, "ready", "az-a", 2000));
    fleet.store.put("servers/i-1", entryOf(*fleet.backendServers[1], 2, "draining"));
    std::this_thread::sleep_for(changeBound);
    const Prober valid(fleet, "valid", "key-1");
    CHECK(countRuns(fleet, 0, 500ms) > 0);
    CHECK(valid.failed() == 0);
}

// Guards against servers that are dropped because the copy is older than their registration.
TEST_CASE("a store restored from an older copy: servers registered in the lost seconds stay in use until they are written again", "[process][gateway][store]")
{
    const auto [zones, absence] = generateCase();
    CAPTURE(zones);
    GatewayFleet fleet(3, 2, zones);
    for (const auto &server : fleet.backendServers) {
        fleet.store.remove("servers/" + server->id());
    }
    std::this_thread::sleep_for(settleTime);
    const auto copy = fleet.store.copy();
    const auto writeServers = [&fleet](int sequence) {
        for (const auto &server : fleet.backendServers) {
            fleet.store.put("servers/" + server->id(), entryOf(*server, sequence));
        }
    };
    writeServers(1);
    writeOthers(fleet.store);
    REQUIRE(waitForKeyEverywhere(fleet, "key-1"));
    const Prober valid(fleet, "valid", "key-1");
    restore(fleet.store, copy, absence);
    passLostRevisions(fleet.store);
    writeServers(2);
    std::this_thread::sleep_for(changeBound);
    CHECK(valid.failed() == 0);
    CHECK(valid.accepted() > 0);
}

// Guards against a second era that is taken for the first one.
TEST_CASE("a store restored from an older copy twice: the next version is in force everywhere within two seconds", "[process][gateway][store]")
{
    const auto [zones, absence] = generateCase();
    const bool isDuringOneAbsence = GENERATE(false, true);
    CAPTURE(zones, isDuringOneAbsence);
    GatewayFleet fleet(3, 1, zones);
    const auto copy = loseRevocation(fleet);
    const Prober revoked(fleet, "revoked", "key-old");
    restore(fleet.store, copy, absence, isDuringOneAbsence ? 2 : 1);
    if (!isDuringOneAbsence) {
        fleet.publishRouting(3, "pool", {"key-1"});
        writeOthers(fleet.store, 2 * lostWrites);
        std::this_thread::sleep_for(500ms);
        restore(fleet.store, copy, absence);
    }
    std::this_thread::sleep_for(500ms);
    publishNext(fleet);
    CHECK(waitForKeyEverywhere(fleet, "key-4"));
    CHECK(revoked.accepted() == 0);
}

// Guards against a peer that speaks of the lost history with higher revisions, and against one that it keeps from the new era.
TEST_CASE("a store restored from an older copy that turns one gateway away: that gateway learns the next version from its peers within two seconds",
          "[process][gateway][store]")
{
    const auto [zones, absence] = generateCase();
    CAPTURE(zones);
    GatewayFleet fleet(3, 2, zones);
    fleet.useSecondStoreAddress(2);
    const auto copy = loseRevocation(fleet);
    const Prober revoked(fleet, "revoked", "key-old");
    if (absence == Absence::Silent) {
        fleet.store.setLosingSecondResponses(true);
    } else {
        fleet.store.setSecondStatus(503);
    }
    restore(fleet.store, copy, absence);
    std::this_thread::sleep_for(500ms);
    publishNext(fleet);
    fleet.store.put("servers/i-0", entryOf(*fleet.backendServers[0], 2, "draining"));
    CHECK(waitForKeyEverywhere(fleet, "key-4"));
    std::this_thread::sleep_for(changeBound);
    {
        const Prober valid(fleet, "valid", "key-1");
        CHECK(countRuns(fleet, 0, 500ms) == 0);
    }
    fleet.store.setLosingSecondResponses(false);
    fleet.store.setSecondStatus(200);
    std::this_thread::sleep_for(changeBound);
    CHECK(waitForKeyEverywhere(fleet, "key-4"));
    CHECK(revoked.accepted() == 0);
}

// Guards against a gateway that starts with the copy's version 2 while its peers have version 3 in force.
TEST_CASE("a store restored from an older copy: a gateway that starts right after handles no request by a version that its peers have left behind",
          "[process][gateway][store]")
{
    const auto [zones, absence] = generateCase();
    CAPTURE(zones);
    GatewayFleet fleet(3, 1, zones);
    const auto copy = loseRevocation(fleet);
    const Prober revoked(fleet, "revoked", "key-old");
    restore(fleet.store, copy, absence);
    killAndStart(fleet, {2});
    std::this_thread::sleep_for(rewriteDelay);
    publishNext(fleet);
    CHECK(waitForKeyEverywhere(fleet, "key-4"));
    CHECK(revoked.accepted() == 0);
}

// As above, once no copy of the fleet holds version 3 any more; one gateway that has it in force is left.
TEST_CASE("a store restored from an older copy: gateways that start once all copies are restored handle no request by a version that a peer has left behind",
          "[process][gateway][store]")
{
    const auto [zones, absence] = generateCase();
    CAPTURE(zones);
    GatewayFleet fleet(3, 1, zones);
    const auto copy = loseRevocation(fleet);
    const Prober revoked(fleet, "revoked", "key-old");
    restore(fleet.store, copy, absence);
    REQUIRE(waitForEra(fleet, 2));
    killAndStart(fleet, {1, 2});
    CHECK(waitForKeyEverywhere(fleet, "key-1"));
    // The gateways that have learned it can pass it on in their turn.
    killAndStart(fleet, {0});
    CHECK(waitForKeyEverywhere(fleet, "key-1"));
    CHECK(revoked.accepted() == 0);
    fleet.publishRouting(4, "pool", {"key-1", "key-4"});
    CHECK(waitForKeyEverywhere(fleet, "key-4"));
    CHECK(revoked.accepted() == 0);
}

// Guards against a gateway that starts with the copy's entry of a server that its peers know to have left or been removed.
TEST_CASE("a store restored from an older copy: a gateway that starts sends nothing to a server that left or was removed in the lost seconds",
          "[process][gateway][store]")
{
    const auto [zones, absence] = generateCase();
    const bool isRemoved = GENERATE(false, true);
    CAPTURE(zones, isRemoved);
    GatewayFleet fleet(3, 2, zones);
    const auto copy = loseLeaving(fleet, isRemoved);
    std::this_thread::sleep_for(changeBound);
    const int before = fleet.backendServers[0]->totalRunCount();
    restore(fleet.store, copy, absence);
    REQUIRE(waitForEra(fleet, 2));
    {
        const Prober valid(fleet, "valid", "key-1");
        killAndStart(fleet, {1, 2});
        killAndStart(fleet, {0});
        std::this_thread::sleep_for(rewriteDelay);
        CHECK(valid.accepted() > 0);
    }
    CHECK(fleet.backendServers[0]->totalRunCount() == before);
    // What is written again counts everywhere.
    fleet.store.put("servers/i-0", entryOf(*fleet.backendServers[0], 1, "ready", "az-a", 2000));
    fleet.store.put("servers/i-1", entryOf(*fleet.backendServers[1], 2, "draining"));
    std::this_thread::sleep_for(changeBound);
    const Prober valid(fleet, "again", "key-1");
    CHECK(countRuns(fleet, 0, 500ms) > 0);
    CHECK(valid.failed() == 0);
}

// Guards against gateways that wait for each other's word on a version that none of them has in force any more.
TEST_CASE("a store restored from an older copy: gateways that all start after it serve by the restored version within two seconds", "[process][gateway][store]")
{
    const auto [zones, absence] = generateCase();
    CAPTURE(zones);
    GatewayFleet fleet(3, 1, zones);
    const auto copy = loseRevocation(fleet);
    restore(fleet.store, copy, absence);
    const auto killed = std::chrono::steady_clock::now();
    killAndStart(fleet, {0, 1, 2});
    CHECK(waitForKeyEverywhere(fleet, "key-old"));
    CHECK(std::chrono::steady_clock::now() - killed < changeBound);
}

// Guards against an evacuation that ends because the copy lacks it, and against one that does not end any more.
TEST_CASE("a store restored from an older copy: an evacuation begun in the lost seconds stays in force and ends when it is removed",
          "[process][gateway][store]")
{
    const auto [zones, absence] = generateCase();
    CAPTURE(zones);
    GatewayFleet fleet(3, 2, zones);
    fleet.store.put("servers/i-1", entryOf(*fleet.backendServers[1], 2, "ready", "az-b"));
    std::this_thread::sleep_for(settleTime);
    const auto copy = fleet.store.copy();
    fleet.store.put("op/evacuate/az-a", "{}");
    writeOthers(fleet.store);
    std::this_thread::sleep_for(changeBound);
    const Prober valid(fleet, "valid", "key-1");
    const int before = fleet.backendServers[0]->totalRunCount();
    restore(fleet.store, copy, absence);
    passLostRevisions(fleet.store);
    fleet.store.put("op/evacuate/az-a", "{}");
    std::this_thread::sleep_for(changeBound);
    CHECK(fleet.backendServers[0]->totalRunCount() == before);
    fleet.store.remove("op/evacuate/az-a");
    std::this_thread::sleep_for(changeBound);
    CHECK(countRuns(fleet, 0, 500ms) > 0);
    CHECK(valid.failed() == 0);
}
