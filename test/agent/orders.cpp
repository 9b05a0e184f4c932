#include <catch2/catch.hpp>

#include <fault/matrixfleet.h>

using namespace cyclamenspool;
using core::Milliseconds;

namespace {

/** @brief Returns the time from the agents' start to the first order to load a model. @param checksFencing Whether the engines check fencing numbers. */
Milliseconds timeToFirstOrder(bool checksFencing)
{
    fault::TableParts parts;
    parts.checksFencing = checksFencing;
    const auto runRecord = std::make_shared<fault::RunRecord>();
    fake::FakeFleet::Options options;
    options.tableYaml = fault::matrixTable(parts);
    options.vmsYaml = fault::matrixVms();
    options.makeBackend = [runRecord](const std::string &server) {
        return std::make_unique<fault::RecordingBackend>(server, runRecord, "");
    };
    fake::FakeFleet fleet(options);
    const auto start = fleet.queue().now().monotonic;
    REQUIRE(fleet.runUntil("order_sent", Milliseconds(20000)));
    return std::chrono::duration_cast<Milliseconds>(fleet.queue().now().monotonic - start);
}

} // namespace

TEST_CASE("an agent waits for a full view lease after its start before it orders an engine that ignores fencing numbers to load a model", "[agent][orders]")
{
    CHECK(timeToFirstOrder(false) >= agent::AgentOptions{}.viewLease);
    CHECK(timeToFirstOrder(true) < agent::AgentOptions{}.viewLease);
}
