#include <catch2/catch.hpp>

#include <cyclamenspool/gateway/catalog.h>
#include <cyclamenspool/gateway/fleet.h>
#include <cyclamenspool/gateway/peermessages.h>

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

using namespace cyclamenspool;
using namespace std::chrono_literals;
using gateway::Availability;
using gateway::Fleet;

namespace {

const core::MonotonicTime start = core::MonotonicTime() + 1h;
const core::MonotonicTime restored = start + 60s;
constexpr std::uint64_t born = 1700000000000;

/** @brief An entry of s0; each write of one process has the next sequence, and the store gives it a revision. */
world::BackendServer entryOf(std::uint64_t sequence, std::uint64_t revision, bool isLeaving = false)
{
    world::BackendServer entry;
    entry.id = "s0";
    entry.service = "pool";
    entry.address = "10.0.0.1:80";
    entry.zone = "az-a";
    entry.slots = 8;
    entry.leaving = isLeaving;
    entry.startedUnixMs = born;
    entry.sequence = sequence;
    entry.revision = revision;
    return entry;
}

/** @brief A fleet whose store has answered without a gap until it was restored. */
struct RestoredFleet : Fleet {
    void restore(core::MonotonicTime at = restored)
    {
        for (auto answer = start; answer <= at; answer += 1s) {
            onStoreAvailable(answer);
        }
        onStoreRestored(at);
    }

    [[nodiscard]] Availability availability(core::MonotonicTime now) const
    {
        const auto server = find("s0");
        return server == nullptr ? Availability::Count : availabilityOf(*server, now);
    }

    [[nodiscard]] bool isUsed(core::MonotonicTime now) const
    {
        const auto is = availability(now);
        return is == Availability::Usable || is == Availability::Cold;
    }
};

} // namespace

// Guards against requests to a server that was known to leave, at an address or for a service that it had before.
TEST_CASE("store restored: an entry with a lower sequence of the same process changes nothing", "[gateway][restore]")
{
    RestoredFleet fleet;
    fleet.onServerListed(entryOf(9, 90, true), start);
    fleet.restore();
    auto older = entryOf(8, 80);
    older.address = "10.0.0.7:80";
    older.service = "other";
    CHECK_FALSE(fleet.onServerListed(older, restored));
    CHECK(fleet.availability(restored) == Availability::Leaving);
    CHECK(fleet.find("s0")->entry == entryOf(9, 90, true));
    CHECK(fleet.find("s0")->reportedAt == start);
    CHECK(fleet.serversOf("other").empty());
    older.revision = 95;
    CHECK_FALSE(fleet.onServerListed(older, restored + 1s));
    CHECK(fleet.availability(restored + 1s) == Availability::Leaving);
}

// Guards against a living server that stays at what it said before the restore.
TEST_CASE("store restored: the next entry of a living server is applied", "[gateway][restore]")
{
    RestoredFleet fleet;
    fleet.onServerListed(entryOf(9, 90), start);
    fleet.restore();
    fleet.onServerListed(entryOf(8, 80), restored);
    CHECK(fleet.isUsed(restored));
    fleet.onServerListed(entryOf(10, 85, true), restored + 1s);
    CHECK(fleet.availability(restored + 1s) == Availability::Leaving);
    CHECK(fleet.find("s0")->reportedAt == restored + 1s);
}

// Guards against the entry of an earlier process in place of the one that runs.
TEST_CASE("store restored: an entry of an earlier process of the server changes nothing, one of a later process is applied", "[gateway][restore]")
{
    RestoredFleet fleet;
    fleet.onServerListed(entryOf(2, 90), start);
    const auto running = fleet.find("s0");
    fleet.restore();
    auto earlier = entryOf(500, 80);
    earlier.startedUnixMs = born - 5000;
    CHECK_FALSE(fleet.onServerListed(earlier, restored));
    CHECK(fleet.find("s0") == running);
    auto later = entryOf(1, 81);
    later.startedUnixMs = born + 5000;
    CHECK(fleet.onServerListed(later, restored + 1s));
    CHECK(fleet.find("s0") != running);
}

// Guards against a restarted server that is ignored because its clock was set back.
TEST_CASE("an entry of a process with an earlier start is applied if the store was not restored, and after a restore once it is written again",
          "[gateway][restore]")
{
    auto setBack = entryOf(1, 95);
    setBack.startedUnixMs = born - 5000;
    RestoredFleet fleet;
    fleet.onServerListed(entryOf(9, 90), start);
    SECTION("not restored")
    {
        CHECK(fleet.onServerListed(setBack, start + 1s));
    }
    SECTION("restored")
    {
        fleet.restore();
        CHECK_FALSE(fleet.onServerListed(setBack, restored));
        setBack.sequence = 2;
        setBack.revision = 96;
        CHECK(fleet.onServerListed(setBack, restored + 1s));
    }
    CHECK(fleet.find("s0")->entry.startedUnixMs == setBack.startedUnixMs);
}

// Guards against requests to a server that has left; a gateway that gets reports in short form knows a sequence from long before.
TEST_CASE("store restored: a removed server whose entry comes back is used only once it writes again", "[gateway][restore]")
{
    const auto isListWatcher = GENERATE(true, false);
    CAPTURE(isListWatcher);
    RestoredFleet fleet;
    fleet.onStoreAvailable(start);
    fleet.onServerListed(entryOf(isListWatcher ? 99 : 1, 10), start);
    CHECK_FALSE(fleet.onServerRemoved("s0", restored - 5s));
    fleet.restore();
    CHECK_FALSE(fleet.onServerListed(entryOf(97, 970), restored));
    CHECK_FALSE(fleet.isUsed(restored));
    CHECK(fleet.serversOf("pool").empty());
    SECTION("its entry is listed again as it is")
    {
        fleet.restore(restored + 10s);
        CHECK_FALSE(fleet.onServerListed(entryOf(97, 970), restored + 10s));
        CHECK_FALSE(fleet.isUsed(restored + 10s));
    }
    SECTION("its entry is written again")
    {
        CHECK(fleet.onServerListed(entryOf(100, 980), restored + 1s));
        CHECK(fleet.isUsed(restored + 1s));
    }
    SECTION("a further report arrives in short form")
    {
        fleet.onServerReported(gateway::serverHash("s0"), restored + 1s);
        CHECK(fleet.isUsed(restored + 1s));
        CHECK(fleet.serversOf("pool").size() == 1);
    }
    SECTION("its entry is removed again")
    {
        CHECK_FALSE(fleet.onServerRemoved("s0", restored + 1s));
        fleet.onServerReported(gateway::serverHash("s0"), restored + 1s);
        CHECK_FALSE(fleet.isUsed(restored + 1s));
    }
    SECTION("a new process is listed under its id")
    {
        auto next = entryOf(1, 981);
        next.startedUnixMs = born + 1;
        CHECK(fleet.onServerListed(next, restored + 1s));
        CHECK(fleet.isUsed(restored + 1s));
    }
}

// Guards against the return of a server that had said that it leaves before its entry was removed.
TEST_CASE("store restored: a process that was draining before its entry was removed is not used on a report in short form", "[gateway][restore]")
{
    RestoredFleet fleet;
    fleet.onStoreAvailable(start);
    fleet.onServerListed(entryOf(9, 90, true), start);
    fleet.onServerRemoved("s0", restored - 5s);
    fleet.restore();
    fleet.onServerListed(entryOf(8, 80), restored);
    fleet.onServerReported(gateway::serverHash("s0"), restored + 1s);
    CHECK_FALSE(fleet.isUsed(restored + 1s));
}

// Guards against a server that told a gateway in its responses that it leaves, and whose entry is removed and comes back.
TEST_CASE("a process that has said that it leaves is still leaving if its entry is listed again", "[gateway][restore]")
{
    RestoredFleet fleet;
    fleet.onStoreAvailable(start);
    fleet.onServerListed(entryOf(9, 90), start);
    fleet.onPeerStatement({"s0", born, true, {}});
    fleet.onServerRemoved("s0", start + 1s);
    fleet.onServerListed(entryOf(10, 91), start + 2s);
    CHECK(fleet.availability(start + 2s) == Availability::Leaving);
    auto next = entryOf(1, 92);
    next.startedUnixMs = born + 1;
    fleet.onServerListed(next, start + 3s);
    CHECK(fleet.isUsed(start + 3s));
}

// Guards against short reports that end the leaving of a server, as the restored copy from before it holds the same as its next report.
TEST_CASE("store restored: a report in short form of a leaving process does not end its leaving", "[gateway][restore]")
{
    RestoredFleet fleet;
    fleet.onServerListed(entryOf(9, 90, true), start);
    fleet.restore();
    fleet.onServerListed(entryOf(8, 80), restored);
    fleet.onServerReported(gateway::serverHash("s0"), restored + 1s);
    CHECK(fleet.availability(restored + 1s) == Availability::Leaving);
}

// Guards against requests to a leaving server whose entries have no version.
TEST_CASE("entries without a version: after a restore a leaving server is used only once it is written again; otherwise at once", "[gateway][restore]")
{
    const auto unversioned = [](std::uint64_t revision, bool isLeaving) {
        auto entry = entryOf(1, revision, isLeaving);
        entry.startedUnixMs = 0;
        entry.sequence.reset();
        return entry;
    };
    RestoredFleet fleet;
    fleet.onServerListed(unversioned(90, true), start);
    SECTION("restored")
    {
        fleet.restore();
        CHECK_FALSE(fleet.onServerListed(unversioned(80, false), restored));
        CHECK(fleet.availability(restored) == Availability::Leaving);
        CHECK(fleet.onServerListed(unversioned(81, false), restored + 1s));
    }
    SECTION("not restored")
    {
        CHECK(fleet.onServerListed(unversioned(91, false), restored + 1s));
    }
    CHECK(fleet.isUsed(restored + 1s));
}

// Guards against living servers that are dropped because the copy is older than their registration.
TEST_CASE("store restored: a server that the restored list lacks is used for the renewal time, and then dropped without a further store call",
          "[gateway][restore]")
{
    RestoredFleet fleet;
    fleet.onServerListed(entryOf(9, 90), start);
    fleet.restore();
    CHECK(fleet.onServerRemoved("s0", restored));
    CHECK(fleet.isUsed(restored + 2100ms));
    CHECK_FALSE(fleet.isUsed(restored + 2300ms));
    SECTION("the store is restored once more before its entry was dropped")
    {
        fleet.restore(restored + 5s);
        CHECK_FALSE(fleet.isUsed(restored + 5100ms));
    }
    SECTION("it wrote its entry in time")
    {
        fleet.onServerListed(entryOf(10, 81), restored + 2s);
        CHECK(fleet.isUsed(restored + 2300ms));
    }
}

// Guards against requests to a leaving server during the renewal time and after it.
TEST_CASE("store restored: a leaving server that the restored list lacks stays leaving, also if an older entry follows", "[gateway][restore]")
{
    RestoredFleet fleet;
    fleet.onServerListed(entryOf(9, 90, true), start);
    fleet.restore();
    fleet.onServerRemoved("s0", restored);
    CHECK(fleet.availability(restored + 1s) == Availability::Leaving);
    fleet.restore(restored + 1s);
    fleet.onServerListed(entryOf(8, 80), restored + 1s);
    CHECK_FALSE(fleet.isUsed(restored + 1s));
    fleet.removeExpired(restored + 4s);
    fleet.restore(restored + 9s);
    fleet.onServerListed(entryOf(8, 80), restored + 9s);
    CHECK_FALSE(fleet.isUsed(restored + 9s));
}

// Guards against requests to a zone whose evacuation was begun in the seconds that the store has lost.
TEST_CASE("store restored: an evacuation that the restored documents lack stays in force for the renewal time", "[gateway][restore]")
{
    RestoredFleet fleet;
    fleet.onServerListed(entryOf(9, 90), start);
    fleet.onZoneEvacuation("az-a", true, start);
    fleet.restore();
    fleet.onZoneEvacuation("az-a", false, restored);
    fleet.removeExpired(restored + 2100ms);
    CHECK(fleet.availability(restored + 2100ms) == Availability::Evacuated);
    SECTION("it is not written again: it ends, and the zone is cold until its servers report")
    {
        fleet.removeExpired(restored + 2300ms);
        CHECK(fleet.availability(restored + 2300ms) == Availability::Cold);
    }
    SECTION("it is written again: it stays in force until it is taken back")
    {
        fleet.onZoneEvacuation("az-a", true, restored + 2s);
        fleet.removeExpired(restored + 9s);
        CHECK(fleet.availability(restored + 9s) == Availability::Evacuated);
        fleet.onZoneEvacuation("az-a", false, restored + 9s);
        CHECK(fleet.availability(restored + 9s) == Availability::Cold);
    }
    SECTION("the store is restored once more meanwhile: the renewal time begins anew")
    {
        fleet.restore(restored + 2150ms);
        fleet.removeExpired(restored + 4s);
        CHECK(fleet.availability(restored + 4s) == Availability::Evacuated);
    }
}

// Guards against an evacuation that is ignored because it had been taken back in the seconds that the store has lost.
TEST_CASE("store restored: an evacuation that comes back with the restored documents is in force", "[gateway][restore]")
{
    RestoredFleet fleet;
    fleet.onServerListed(entryOf(9, 90), start);
    fleet.onZoneEvacuation("az-a", true, start);
    fleet.onZoneEvacuation("az-a", false, start + 1s);
    fleet.restore();
    fleet.onZoneEvacuation("az-a", true, restored);
    CHECK(fleet.availability(restored + 9s) == Availability::Evacuated);
}

// Guards against unbounded memory for servers that have left.
TEST_CASE("removed servers are remembered for five minutes, at most 1024 of them, the latest first", "[gateway][restore]")
{
    RestoredFleet fleet;
    fleet.onStoreAvailable(start);
    const auto idOf = [](int number) {
        return "n" + std::to_string(number);
    };
    for (int i = 0; i < 1030; ++i) {
        auto entry = entryOf(9, 90);
        entry.id = idOf(i);
        fleet.onServerListed(entry, start);
        fleet.onServerRemoved(entry.id, start + std::chrono::milliseconds(i));
    }
    const auto isUsedAfterRestore = [&](int number, core::MonotonicTime at) {
        auto entry = entryOf(8, 80);
        entry.id = idOf(number);
        fleet.onServerListed(entry, at);
        return fleet.find(entry.id) != nullptr;
    };
    fleet.restore();
    CHECK(isUsedAfterRestore(0, restored));
    CHECK_FALSE(isUsedAfterRestore(100, restored));
    CHECK_FALSE(isUsedAfterRestore(1029, restored));
    fleet.restore(start + 301s + 1s);
    CHECK(isUsedAfterRestore(200, start + 302s));
}

// Guards against documents whose version or time does not reach the decision.
TEST_CASE("store restored: documents that the catalog reads revert neither a leaving server nor an evacuation", "[gateway][restore]")
{
    using gateway::Catalog;
    gateway::Dispatcher dispatcher{config::GatewaySettings()};
    Catalog catalog(dispatcher);
    const auto textOf = [](int sequence, const std::string &state) {
        return R"({"service":"pool","address":"10.0.0.1:80","zone":"az-b","slots":8,"state":")" + state + R"(","born":1700000000000,"sequence":)"
            + std::to_string(sequence) + "}";
    };
    const auto availability = [&dispatcher](const std::string &id) {
        auto result = Availability::Count;
        dispatcher.withFleet([&](Fleet &fleet, core::MonotonicTime now) {
            result = fleet.availabilityOf(*fleet.find(id), now);
        });
        return result;
    };
    catalog.onStoreList(Catalog::Section::OperatorConfig, {{{"op/evacuate/az-b", "{}", {1, 5}, false}}, {1, 10}});
    catalog.onStoreList(Catalog::Section::Servers,
                        {{{"servers/s0", textOf(9, "draining"), {1, 8}, false}, {"servers/s1", textOf(9, "ready"), {1, 9}, false}}, {1, 10}});
    dispatcher.withFleet([](Fleet &fleet, core::MonotonicTime now) {
        fleet.onStoreRestored(now);
    });
    catalog.onStoreChanges(Catalog::Section::OperatorConfig, {{"op/evacuate/az-b", {}, {1, 11}, true}}, {1, 11});
    catalog.onStoreChanges(Catalog::Section::Servers, {{"servers/s0", textOf(8, "ready"), {1, 12}, false}}, {1, 12});
    CHECK(availability("s0") == Availability::Leaving);
    CHECK(availability("s1") == Availability::Evacuated);
    catalog.onStoreChanges(Catalog::Section::Servers, {{"servers/s0", textOf(10, "ready"), {1, 13}, false}}, {1, 13});
    CHECK(availability("s0") == Availability::Evacuated);
}

namespace {

/** @brief What the store holds of s0 after one of its writes. */
struct Document {
    world::BackendServer entry;
    bool isPresent = true;

    [[nodiscard]] bool isUsable() const
    {
        return isPresent && !entry.leaving;
    }
};

using History = std::vector<Document>;

/** @brief Returns all continuations of a document by one write: a report, the start of leaving, a removal, a return, and a restart under the same id. */
std::vector<Document> successorsOf(const Document &document)
{
    std::vector<Document> successors;
    auto next = document;
    ++*next.entry.sequence;
    next.isPresent = true;
    if (document.isPresent || !document.entry.leaving) {
        successors.push_back(next);
    }
    next.entry.leaving = true;
    if (document.isUsable()) {
        successors.push_back(next);
    }
    if (document.isPresent) {
        successors.push_back({document.entry, false});
    }
    next.entry.startedUnixMs += 1000;
    next.entry.sequence = 1;
    next.entry.leaving = false;
    successors.push_back(next);
    return successors;
}

std::vector<History> historiesOf(std::size_t length)
{
    std::vector<History> histories{{{entryOf(1, 0)}}};
    for (std::size_t i = 1; i < length; ++i) {
        std::vector<History> longer;
        for (const auto &history : histories) {
            for (const auto &next : successorsOf(history.back())) {
                longer.push_back(history);
                longer.back().push_back(next);
            }
        }
        histories = std::move(longer);
    }
    return histories;
}

/** @brief A store with the entry of s0, and a gateway that reads each write in full, or in short form as a gateway that another one tells of it. */
class StoreAndGateway
{
public:
    StoreAndGateway(bool isListWatcher, bool hasSequence)
        : isListWatcher_(isListWatcher)
        , hasSequence_(hasSequence)
    {
        fleet_.onStoreAvailable(start);
        fleet_.onStoreAvailable(start + 1s);
    }

    void write(Document document, core::MonotonicTime at)
    {
        document.entry.revision = ++revision_;
        dropSequence(document);
        auto unchanged = stored_.entry;
        unchanged.sequence = document.entry.sequence;
        unchanged.revision = document.entry.revision;
        const bool isShort = !isListWatcher_ && stored_.isPresent && document.isPresent && unchanged == document.entry;
        const bool wasPresent = std::exchange(stored_, document).isPresent;
        if (isShort) {
            fleet_.onServerReported(gateway::serverHash("s0"), at);
        } else if (document.isPresent) {
            fleet_.onServerListed(document.entry, at);
        } else if (wasPresent) {
            fleet_.onServerRemoved("s0", at);
        }
        fleet_.removeExpired(at);
    }

    /** @brief Plays a restore. @param copy What the copy holds. @param revision Revision of the copy. */
    void restore(Document copy, std::uint64_t revision, core::MonotonicTime at)
    {
        revision_ = revision;
        copy.entry.revision = revision;
        dropSequence(copy);
        const bool wasPresent = std::exchange(stored_, copy).isPresent;
        fleet_.onStoreRestored(at);
        if (copy.isPresent) {
            fleet_.onServerListed(copy.entry, at);
        } else if (wasPresent) {
            fleet_.onServerRemoved("s0", at);
        }
        fleet_.removeExpired(at);
    }

    [[nodiscard]] std::uint64_t usedProcess(core::MonotonicTime now) const
    {
        return fleet_.isUsed(now) ? fleet_.find("s0")->entry.startedUnixMs : 0;
    }

private:
    void dropSequence(Document &document) const
    {
        if (!hasSequence_) {
            document.entry.sequence.reset();
        }
    }

    RestoredFleet fleet_;
    Document stored_{{}, false};
    std::uint64_t revision_ = 0;
    bool isListWatcher_;
    bool hasSequence_;
};

} // namespace

// Guards against orders of writes and restores that nobody has thought of.
TEST_CASE("store restored: after any five writes and any two restores, only the latest process is used, never one that has left, and a living one again "
          "after two writes",
          "[gateway][restore]")
{
    const auto isListWatcher = GENERATE(true, false);
    const auto hasSequence = GENERATE(true, false);
    CAPTURE(isListWatcher, hasSequence);
    int reverted = 0;
    int unused = 0;
    int cases = 0;
    for (const auto &history : historiesOf(5)) {
        const auto &latest = history.back();
        const auto expected = latest.isUsable() ? latest.entry.startedUnixMs : 0;
        for (std::size_t first = 0; first < history.size(); ++first) {
            for (std::size_t second = 0; second <= first; ++second) {
                ++cases;
                StoreAndGateway play(isListWatcher, hasSequence);
                for (std::size_t i = 0; i < history.size(); ++i) {
                    play.write(history[i], start + 2s + std::chrono::milliseconds(i));
                }
                unused += play.usedProcess(start + 3s) == expected ? 0 : 1;
                play.restore(history[first], first + 1, restored);
                reverted += play.usedProcess(restored) == expected ? 0 : 1;
                play.restore(history[second], second + 1, restored + 1s);
                reverted += play.usedProcess(restored + 1s) == expected ? 0 : 1;
                auto next = latest;
                for (const auto at : {restored + 2s, restored + 3s}) {
                    if (latest.isPresent) {
                        ++*next.entry.sequence;
                        play.write(next, at);
                    }
                }
                if (!latest.isPresent) {
                    play.write(latest, restored + 4s);
                }
                unused += play.usedProcess(restored + 4s) == expected ? 0 : 1;
            }
        }
    }
    CAPTURE(cases);
    CHECK(cases > 1000);
    CHECK(reverted == 0);
    CHECK(unused == 0);
}

// Guards against a removed server that is used again, as the revisions of two histories of the store are compared.
TEST_CASE("store restored twice: an entry that is first seen in the later history is withheld, whatever its revision", "[gateway][restore]")
{
    RestoredFleet fleet;
    fleet.onServerListed(entryOf(9, 90), start);
    fleet.onStoreAvailable(start);
    fleet.onServerRemoved("s0", start);
    fleet.restore();
    fleet.onServerListed(entryOf(5, 50), restored);
    CHECK_FALSE(fleet.isUsed(restored));
    fleet.onStoreRestored(restored + 5s);
    fleet.onServerListed(entryOf(7, 70), restored + 5s);
    CHECK_FALSE(fleet.isUsed(restored + 5s));
    fleet.onServerListed(entryOf(10, 71), restored + 6s);
    CHECK(fleet.isUsed(restored + 6s));
}

namespace {

/** @brief A gateway that starts after the restore, and one that has run since before and tells it what it knows. */
struct StartedBeside {
    RestoredFleet running;
    RestoredFleet started;

    /** @brief Lists s0 at the running gateway, then lets it leave or be removed, and restores the store. */
    explicit StartedBeside(bool isRemoved)
    {
        running.onServerListed(entryOf(8, 80), start);
        running.onServerListed(entryOf(9, 90, true), start + 1s);
        if (isRemoved) {
            running.onServerRemoved("s0", start + 2s);
        }
    }

    void tell(core::MonotonicTime now)
    {
        wire::GatewayNews update;
        gateway::addGoneProcesses(update, running.goneProcesses(now));
        wire::GatewayNews received;
        REQUIRE(received.ParseFromString(update.SerializeAsString()));
        for (const auto &report : gateway::goneProcessesIn(received)) {
            started.onPeerProcess(report, now);
        }
    }
};

} // namespace

// Guards against requests of a gateway that starts to a server that has left in the lost seconds, whichever of the list and the peer's reply comes first.
TEST_CASE("store restored: a gateway that starts and is told of a server that left or was removed does not use its older entry", "[gateway][restore]")
{
    const bool isRemoved = GENERATE(false, true);
    const bool isListedFirst = GENERATE(false, true);
    const bool hasNoticed = GENERATE(false, true);
    CAPTURE(isRemoved, isListedFirst, hasNoticed);
    StartedBeside gateways(isRemoved);
    auto &started = gateways.started;
    if (hasNoticed) {
        gateways.running.restore();
        gateways.running.onServerListed(entryOf(8, 80), restored);
    }
    if (isListedFirst) {
        started.onServerListed(entryOf(8, 80), restored);
    }
    gateways.tell(restored);
    CHECK_FALSE(started.isUsed(restored));
    started.onServerListed(entryOf(8, 80), restored + 10ms);
    started.onServerListed(entryOf(8, 80), restored + 20ms);
    CHECK_FALSE(started.isUsed(restored + 20ms));
    SECTION("it is told on")
    {
        RestoredFleet next;
        for (const auto &report : started.goneProcesses(restored + 30ms)) {
            next.onPeerProcess(report, restored + 30ms);
        }
        next.onServerListed(entryOf(8, 80), restored + 40ms);
        CHECK_FALSE(next.isUsed(restored + 40ms));
    }
    SECTION("the leaving server writes again")
    {
        started.onServerListed(entryOf(10, 81, true), restored + 1s);
        CHECK_FALSE(started.isUsed(restored + 1s));
    }
    SECTION("the server is alive and not leaving: the store shows a further write")
    {
        started.onServerListed(entryOf(10, 81), restored + 1s);
        CHECK(started.isUsed(restored + 1s));
    }
    SECTION("the server has started again")
    {
        auto later = entryOf(1, 81);
        later.startedUnixMs = born + 5000;
        started.onServerListed(later, restored + 1s);
        CHECK(started.isUsed(restored + 1s));
    }
}

// Guards against a report about an earlier process, or a late one, that takes out a server that is in use.
TEST_CASE("a report of a process that has gone changes nothing for a later process of the server, or for one that it does not know to be older",
          "[gateway][restore]")
{
    RestoredFleet fleet;
    auto later = entryOf(1, 81);
    later.startedUnixMs = born + 5000;
    SECTION("listed before")
    {
        fleet.onServerListed(later, start);
        fleet.onPeerProcess({"s0", {born, 9, true, false, true, false}}, start);
        CHECK(fleet.isUsed(start));
    }
    SECTION("listed after")
    {
        fleet.onPeerProcess({"s0", {born, 9, true, false, true, false}}, start);
        fleet.onServerListed(later, start);
        CHECK(fleet.isUsed(start));
        CHECK(fleet.goneProcesses(start).empty());
    }
    SECTION("no longer leaving")
    {
        fleet.onServerListed(entryOf(10, 91), start);
        fleet.onPeerProcess({"s0", {born, 9, true, false, false, false}}, start);
        CHECK(fleet.isUsed(start));
    }
    SECTION("a report of the earlier process after one of the later one")
    {
        fleet.onPeerProcess({"s0", {born + 5000, 2, true, false, false, false}}, start);
        fleet.onPeerProcess({"s0", {born, 9, true, false, true, false}}, start);
        fleet.onServerListed(later, start);
        CHECK_FALSE(fleet.isUsed(start));
    }
}

// Guards against a leaving that only responses have told, and that is lost with the message as the server is not listed yet.
TEST_CASE("a gateway that starts keeps what a server's responses to others said of its leaving, whichever comes first", "[gateway][restore]")
{
    const bool isListedFirst = GENERATE(false, true);
    RestoredFleet running;
    running.onServerListed(entryOf(8, 80), start);
    running.onPeerStatement({"s0", born, true, {}});
    RestoredFleet started;
    if (isListedFirst) {
        started.onServerListed(entryOf(8, 80), start);
    }
    REQUIRE(running.goneProcesses(start).size() == 1);
    started.onPeerProcess(running.goneProcesses(start).front(), start);
    started.onServerListed(entryOf(8, 80), start + 1s);
    CHECK(started.availability(start + 1s) == Availability::Leaving);
}

// Guards against replies that grow with all servers that ever left.
TEST_CASE("a gateway that starts is told of at most 512 processes, those that leave first", "[gateway][restore]")
{
    RestoredFleet fleet;
    fleet.onStoreAvailable(start);
    for (int i = 0; i < 700; ++i) {
        auto entry = entryOf(1, 1, i % 100 == 0);
        entry.id = "s" + std::to_string(i);
        fleet.onServerListed(entry, start);
        if (!entry.leaving) {
            fleet.onServerRemoved(entry.id, start);
        }
    }
    const auto reports = fleet.goneProcesses(start);
    CHECK(reports.size() == 512);
    CHECK(std::count_if(reports.begin(),
                        reports.end(),
                        [](const auto &report) {
                            return !report.process.isRemoved;
                        })
          == 7);
    CHECK(fleet.goneProcesses(start + 6min).size() == 7);
}
