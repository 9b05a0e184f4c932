#include <catch2/catch.hpp>

#include <cyclamenspool/gateway/bodymemory.h>

#include <vector>

using cyclamenspool::gateway::BodyMemory;

namespace {

constexpr std::uint64_t limit = 100'000'000;
constexpr std::uint64_t largeBody = 4'100'000;
constexpr std::uint64_t smallBody = 2'000;

/** @brief Reserves bodies of one size until there is no room. */
std::vector<BodyMemory::Reservation> fill(BodyMemory &memory, std::uint64_t bytes)
{
    std::vector<BodyMemory::Reservation> held;
    while (true) {
        auto reservation = memory.begin();
        if (!reservation.extend(bytes)) {
            return held;
        }
        held.push_back(std::move(reservation));
    }
}

} // namespace

// Guards against a process that is killed with all its requests, as it reads every body that arrives.
TEST_CASE("many large bodies at once: those over the limit are refused, and small ones still find room", "[gateway][bodies]")
{
    BodyMemory memory;
    memory.setLimit(limit);
    auto large = fill(memory, largeBody);
    CHECK(memory.reservedBytes() <= limit - limit / 8);
    CHECK(memory.reservedBytes() > limit / 2);
    const auto small = fill(memory, smallBody);
    CHECK(small.size() * smallBody >= limit / 8 - smallBody);
    CHECK(memory.reservedBytes() <= limit);
    large.clear();
    CHECK(memory.reservedBytes() == small.size() * smallBody);
}

TEST_CASE("a body without a length is reserved as it grows, and keeps what it has if there is no room", "[gateway][bodies]")
{
    BodyMemory memory;
    memory.setLimit(limit);
    auto growing = memory.begin();
    std::uint64_t bytes = 0;
    while (growing.extend(bytes + largeBody)) {
        bytes += largeBody;
    }
    CHECK(memory.reservedBytes() == bytes);
    auto moved = std::move(growing);
    CHECK(memory.reservedBytes() == bytes);
    moved = BodyMemory::Reservation();
    CHECK(memory.reservedBytes() == 0);
}

TEST_CASE("without a limit every body is read", "[gateway][bodies]")
{
    BodyMemory memory;
    auto reservation = memory.begin();
    CHECK(reservation.extend(1000 * limit));
    CHECK(memory.reservedBytes() == 1000 * limit);
}

TEST_CASE("the VM's memory is known", "[gateway][bodies]")
{
    CHECK(cyclamenspool::gateway::vmMemory() > limit);
}
