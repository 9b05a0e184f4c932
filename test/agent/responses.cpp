#include <catch2/catch.hpp>

#include <cyclamenspool/core/uuid.h>

#include <fault/matrixfleet.h>

using namespace cyclamenspool;
using fault::MatrixFleet;
using fault::RequestKind;

// Guards against a service's 503 after a run that makes the caller send the request again.
TEST_CASE("a service's status that promises that a request has not run ends a keyed request as possibly run", "[agent]")
{
    const auto kind = GENERATE(RequestKind::Chat, RequestKind::CallerKey, RequestKind::RouterKey);
    const int status = GENERATE(408, 421, 429, 503, 500, 404);
    CAPTURE(static_cast<int>(kind), status);
    MatrixFleet matrix;
    matrix.runRecord->status = status;
    auto &fleet = *matrix.fleet;
    core::RandomSource random(1);
    fleet.sendRequest("router-0", fault::makeRequest(kind, "r1", core::makeUuid7(fleet.queue().now().wall, random)));
    fleet.run(core::Milliseconds(2000));
    const auto &response = fleet.responseTo("r1");
    CHECK(matrix.runRecord->runsByRequest["r1"] == 1);
    const bool isPromise = status != 500 && status != 404;
    const bool isRelayed = kind == RequestKind::Chat || !isPromise;
    CHECK(response.isComplete == isRelayed);
    if (isRelayed) {
        CHECK(response.status == status);
    } else {
        CHECK(response.errorKind == core::ErrorKind::BackendFailed);
        CHECK(response.runState == core::RunState::Unknown);
    }
}
