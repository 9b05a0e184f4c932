#include <catch2/catch.hpp>

#include <cyclamenspool/gateway/eventscanner.h>

using cyclamenspool::gateway::EventScanner;

TEST_CASE("complete events and the last id do not depend on where the stream is split", "[gateway]")
{
    const std::string stream = "id: 1\ndata: a\n\nid:2\r\ndata: b\r\n\r\ndata: c\n\n";
    for (std::size_t cut = 0; cut <= stream.size(); ++cut) {
        EventScanner scanner("");
        const auto first = scanner.take(stream.substr(0, cut));
        const auto second = scanner.take(stream.substr(cut));
        CHECK(first + second == stream);
        CHECK(scanner.lastId() == "2");
        CHECK(scanner.rest().empty());
    }
}

TEST_CASE("a discarded incomplete event is not part of the resumed stream", "[gateway]")
{
    EventScanner scanner("4");
    CHECK(scanner.take("id: 5\ndata: a\n\nid: 6\nda") == "id: 5\ndata: a\n\n");
    CHECK(scanner.lastId() == "5");
    scanner.dropRest();
    CHECK(scanner.take("id: 6\ndata: b\n\n") == "id: 6\ndata: b\n\n");
}
