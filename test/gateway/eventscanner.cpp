#include <catch2/catch.hpp>

#include <cyclamenspool/gateway/eventscanner.h>

using cyclamenspool::gateway::EventScanner;

TEST_CASE("complete events and the last id do not depend on where the stream is split", "[gateway]")
{
    const std::string stream = "id: 1\ndata: a\n\nid:2\r\ndata: b\r\n\r\ndata: c\n\n";
    for (std::size_t cut = 0; cut <= stream.size(); ++cut) {
        EventScanner scanner("");
        const auto first = scanner.append(stream.substr(0, cut));
        const auto second = scanner.append(stream.substr(cut));
        CHECK(first + second == stream);
        CHECK(scanner.lastEventId() == "2");
        CHECK(scanner.partialEvent().empty());
    }
}

TEST_CASE("a discarded incomplete event is not part of the resumed stream", "[gateway]")
{
    EventScanner scanner("4");
    CHECK(scanner.append("id: 5\ndata: a\n\nid: 6\nda") == "id: 5\ndata: a\n\n");
    CHECK(scanner.lastEventId() == "5");
    scanner.discardPartialEvent();
    CHECK(scanner.append("id: 6\ndata: b\n\n") == "id: 6\ndata: b\n\n");
}

TEST_CASE("a line may end with CR alone, wherever the stream is split", "[gateway]")
{
    const std::string stream = "id: 1\rdata: a\r\rid: 2\r\ndata: b\r\n\r\nid: 3\ndata: c\n\n";
    for (std::size_t cut = 0; cut <= stream.size(); ++cut) {
        EventScanner scanner("");
        const auto first = scanner.append(stream.substr(0, cut));
        const auto second = scanner.append(stream.substr(cut));
        CHECK(first + second == stream);
        CHECK(scanner.partialEvent().empty());
        CHECK(scanner.lastEventId() == "3");
    }
    EventScanner scanner("");
    CHECK(scanner.append("id: 1\rdata: a\r\r") == "id: 1\rdata: a\r\r");
    CHECK(scanner.lastEventId() == "1");
}

TEST_CASE("the id of an incomplete event is not the last one", "[gateway]")
{
    EventScanner scanner("4");
    CHECK(scanner.append("id: 5\ndata: a\n").empty());
    CHECK(scanner.lastEventId() == "4");
    scanner.discardPartialEvent();
    CHECK(scanner.append("data: b\n\n") == "data: b\n\n");
    CHECK(scanner.lastEventId() == "4");
}

TEST_CASE("an event without end is reported, and its bytes are examined once", "[gateway]")
{
    EventScanner scanner("");
    for (int i = 0; i < 250000; ++i) {
        CHECK_FALSE(scanner.isOversized());
        static_cast<void>(scanner.append("x"));
    }
    static_cast<void>(scanner.append(std::string(20000, 'x')));
    CHECK(scanner.isOversized());
}

TEST_CASE("a CRLF that is split after an event's last CR leaves nothing behind", "[gateway]")
{
    EventScanner scanner("");
    CHECK(scanner.append("data: a\r\n\r") == "data: a\r\n\r");
    CHECK(scanner.append("\n") == "\n");
    CHECK(scanner.partialEvent().empty());
}
