#include <catch2/catch.hpp>

#include <cyclamenspool/gateway/scheduling/waitingroom.h>
#include <cyclamenspool/gateway/scheduling/workspaceusage.h>

using namespace cyclamenspool;
using namespace std::chrono_literals;
using gateway::scheduling::QueuedRequest;
using gateway::scheduling::Ticket;
using gateway::scheduling::WaitingRoom;
using gateway::scheduling::WorkspaceUsage;

namespace {

const core::MonotonicTime start = core::MonotonicTime() + 1h;

/** @brief A waiting room that records who is woken. */
struct Room {
    Ticket add(const QueuedRequest &request, const std::string &name)
    {
        return room.add(request, [this, name] {
            woken += name;
        });
    }

    /** @brief Wakes all requests in their order and returns their names. */
    std::string wakeAll()
    {
        while (const auto wake = room.next(usage, start)) {
            wake();
        }
        return woken;
    }

    WaitingRoom room;
    WorkspaceUsage usage;
    std::string woken;
};

} // namespace

TEST_CASE("the most urgent request is next, then the one that arrived first", "[gateway][scheduling]")
{
    Room room;
    room.add({"", 2, start}, "1");
    room.add({"", 0, start + 2ms}, "2");
    room.add({"", 0, start + 1ms}, "3");
    CHECK(room.wakeAll() == "321");
}

TEST_CASE("among equals, workspaces take turns, and one that was served less comes first", "[gateway][scheduling]")
{
    Room room;
    room.usage.add("large", start);
    for (int i = 0; i < 3; ++i) {
        room.add({"large", 0, start + i * 1ms}, "L");
    }
    room.add({"small", 0, start + 5ms}, "s");
    room.add({"small", 0, start + 6ms}, "s");
    CHECK(room.wakeAll() == "sLsLL");
}

TEST_CASE("a request is chosen once, and keeps its place until its owner removes it", "[gateway][scheduling]")
{
    Room room;
    const auto first = room.add({"", 0, start}, "1");
    const auto second = room.add({"", 0, start + 1ms}, "2");
    CHECK(room.room.next(room.usage, start));
    CHECK(room.room.chosen() == 1);
    CHECK(room.room.waiting() == 1);
    CHECK(room.room.remove(first));
    CHECK_FALSE(room.room.remove(first));
    CHECK_FALSE(room.room.remove(second));
    CHECK(room.room.chosen() == 0);
    CHECK_FALSE(room.room.next(room.usage, start));
}

TEST_CASE("the position counts the requests that come before", "[gateway][scheduling]")
{
    Room room;
    room.add({"large", 1, start}, "1");
    room.add({"large", 1, start + 1ms}, "2");
    room.add({"large", 1, start + 2ms}, "3");
    CHECK(room.room.positionOf({"large", 1, start + 3ms}, room.usage, start) == 3);
    CHECK(room.room.positionOf({"small", 1, start + 3ms}, room.usage, start) == 1);
    CHECK(room.room.positionOf({"small", 0, start + 3ms}, room.usage, start) == 0);
}

TEST_CASE("a full room holds no further request", "[gateway][scheduling]")
{
    Room room;
    Ticket last = 0;
    int count = 0;
    do {
        last = room.add({"", 0, start}, "x");
        ++count;
    } while (last != 0 && count < 10000);
    CHECK(last == 0);
    CHECK(count < 1000);
}
