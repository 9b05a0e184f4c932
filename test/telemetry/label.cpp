#include <catch2/catch.hpp>

#include <cyclamenspool/telemetry/label.h>

using cyclamenspool::telemetry::label;

TEST_CASE("a label's value cannot end the label", "[telemetry]")
{
    CHECK(label("server", "i-1") == "server=\"i-1\"");
    CHECK(label("workspace", "a\"b\\c\nd") == "workspace=\"a\\\"b\\\\c d\"");
}
