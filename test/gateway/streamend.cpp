#include <catch2/catch.hpp>

#include <cyclamenspool/gateway/eventboundary.h>
#include <cyclamenspool/gateway/streamend.h>

#include <string>

using cyclamenspool::gateway::BodyEnd;
using cyclamenspool::gateway::EventBoundary;
using cyclamenspool::gateway::incompleteReason;
using cyclamenspool::gateway::StreamEnd;

// Guards against a truncated stream that is taken for complete because its connection ended.
TEST_CASE("a stream that ends inside an event is incomplete, whatever ends its body", "[gateway]")
{
    const auto lineEnd = GENERATE(as<std::string>(), "\n", "\r", "\r\n");
    const std::string event = "id: 1" + lineEnd + "data: a" + lineEnd + lineEnd;
    const auto bodyEnd = GENERATE(BodyEnd::Length, BodyEnd::LastChunk, BodyEnd::ConnectionClose);
    for (std::size_t bytes = 0; bytes < 2 * event.size(); ++bytes) {
        EventBoundary boundary;
        boundary.advance((event + event).substr(0, bytes));
        // The CR of a CRLF ends the line already.
        const auto inEvent = bytes % event.size();
        const bool isOnlyLineFeedMissing = lineEnd == "\r\n" && inEvent == event.size() - 1;
        const bool isBetweenEvents = inEvent == 0 || isOnlyLineFeedMissing;
        INFO("bytes " << bytes);
        CHECK((incompleteReason({bodyEnd, boundary.isInsideEvent(), true, false}) == nullptr) == isBetweenEvents);
    }
}

TEST_CASE("a stream without a length needs an event to be complete, unless it is resumed", "[gateway]")
{
    CHECK(incompleteReason({BodyEnd::ConnectionClose, false, false, false}) != nullptr);
    CHECK(incompleteReason({BodyEnd::ConnectionClose, false, false, true}) == nullptr);
    CHECK(incompleteReason({BodyEnd::ConnectionClose, false, true, false}) == nullptr);
    CHECK(incompleteReason({BodyEnd::LastChunk, false, false, false}) == nullptr);
    CHECK(incompleteReason({BodyEnd::Length, false, false, false}) == nullptr);
}
