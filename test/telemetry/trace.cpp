#include <catch2/catch.hpp>

#include <cyclamenspool/telemetry/trace.h>

#include <sstream>

using namespace std::chrono_literals;
using cyclamenspool::telemetry::traceRequest;

namespace {

const std::string firstLog = R"({"time_ms":1000,"vm":"edge-1","event":"store_lost","section":"servers/"}
{"time_ms":6000,"vm":"edge-1","event":"backend_server_suspect","server":"i-1","outcome":"broken"}
{"time_ms":6010,"vm":"edge-1","event":"request","request":"r1","outcome":"answer_cut","took_ms":500,"servers":["i-2","i-1"]}
{"time_ms":6011,"vm":"edge-1","event":"request","request":"r2","outcome":"answered","took_ms":5,"servers":["i-1"]}
not a line of the log
{"time_ms":6020,"vm":"edge-1","event":"backend_server_gone","server":"i-9"}
)";
const std::string secondLog = R"(  12.3 edge-2 {"time_ms":5900,"vm":"edge-2","event":"backend_server_suspect","server":"i-2","outcome":"unreachable"}
{"time_ms":5950,"vm":"edge-2","event":"routing","version":4}
{"time_ms":9900,"vm":"edge-2","event":"backend_server_gone","server":"i-1"}
)";

} // namespace

TEST_CASE("a trace has the lines about the request and its backend servers, ordered by time", "[telemetry]")
{
    std::istringstream first(firstLog);
    std::istringstream second(secondLog);
    const auto trace = traceRequest({&first, &second}, "r1", 1s);
    CHECK(trace.requestLines == 1);
    CHECK(trace.unreadableLines == 1);
    CHECK(trace.requestStart == 5510ms);
    REQUIRE(trace.lines.size() == 3);
    CHECK(trace.lines[0].vm == "edge-2");
    CHECK(trace.lines[0].fields == R"(server="i-2" outcome="unreachable")");
    CHECK(trace.lines[1].event == "backend_server_suspect");
    CHECK(trace.lines[2].fields == R"(outcome="answer_cut" took_ms=500 servers=["i-2","i-1"])");
}

TEST_CASE("lines about the state of the request's gateway are included within the given margin", "[telemetry]")
{
    std::istringstream first(firstLog);
    std::istringstream second(secondLog);
    const auto trace = traceRequest({&first, &second}, "r1", 10s);
    REQUIRE(trace.lines.size() == 5);
    CHECK(trace.lines.front().event == "store_lost");
    CHECK(trace.lines.back().event == "backend_server_gone");
}

TEST_CASE("a request that no log contains has no request lines in its trace", "[telemetry]")
{
    std::istringstream first(firstLog);
    const auto trace = traceRequest({&first}, "r3", 1s);
    CHECK(trace.requestLines == 0);
    CHECK(trace.lines.empty());
}
