#include <catch2/catch.hpp>

#include <cyclamenspool/telemetry/label.h>

using cyclamenspool::telemetry::label;

TEST_CASE("quotes and backslashes in a label value are escaped and line breaks become spaces", "[telemetry]")
{
    CHECK(label("server", "i-1") == "server=\"i-1\"");
    CHECK(label("workspace", "a\"b\\c\nd") == "workspace=\"a\\\"b\\\\c d\"");
}
