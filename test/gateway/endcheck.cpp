#include <catch2/catch.hpp>

#include <cyclamenspool/gateway/endcheck.h>

using cyclamenspool::gateway::BodyEnd;
using cyclamenspool::gateway::checkOf;
using cyclamenspool::gateway::EndCheck;

TEST_CASE("a length or the last chunk proves the end of a response", "[gateway]")
{
    const auto bodyEnd = GENERATE(BodyEnd::Length, BodyEnd::LastChunk);
    for (const bool isResumable : {false, true}) {
        for (const bool isEmptyRest : {false, true}) {
            for (const bool isAttemptLeft : {false, true}) {
                CHECK(checkOf({bodyEnd, isResumable, isEmptyRest, isAttemptLeft}) == EndCheck::Framing);
            }
        }
    }
}

// Guards against an end of a connection that is believed without a check.
TEST_CASE("the end of a connection is checked at another server where a stream can go on there, otherwise at its own", "[gateway]")
{
    CHECK(checkOf({BodyEnd::ConnectionClose, true, false, true}) == EndCheck::OtherServer);
    CHECK(checkOf({BodyEnd::ConnectionClose, true, false, false}) == EndCheck::Presence);
    CHECK(checkOf({BodyEnd::ConnectionClose, true, true, true}) == EndCheck::Presence);
    CHECK(checkOf({BodyEnd::ConnectionClose, true, true, false}) == EndCheck::Presence);
    CHECK(checkOf({BodyEnd::ConnectionClose, false, false, true}) == EndCheck::Presence);
    CHECK(checkOf({BodyEnd::ConnectionClose, false, false, false}) == EndCheck::Presence);
}
