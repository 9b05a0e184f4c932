#include <catch2/catch.hpp>

#include <cyclamenspool/http/headcheck.h>

using namespace cyclamenspool;

TEST_CASE("a status line is found wherever it stands in a text, and nothing else is taken for one", "[http][answerends]")
{
    CHECK(http::holdsStatusLine("HTTP/1.1 200 OK"));
    CHECK(http::holdsStatusLine("OHTTP/1.1 500"));
    CHECK(http::holdsStatusLine("HTTP/HTTP/1.1 500 Internal Server Error"));
    CHECK(http::holdsStatusLine("Sat, 05 Dec 2026 12:0HTTP/1.0 503 Service Unavailable"));
    CHECK_FALSE(http::holdsStatusLine(""));
    CHECK_FALSE(http::holdsStatusLine("HTTP/"));
    CHECK_FALSE(http::holdsStatusLine("HTTP/1.1"));
    CHECK_FALSE(http::holdsStatusLine("HTTP/1.1 20"));
    CHECK_FALSE(http::holdsStatusLine("HTTP/1.1 proxy"));
    CHECK_FALSE(http::holdsStatusLine("SIP/2.0 200 OK"));
}

TEST_CASE("a second head is found in the reason phrase and in every value", "[http][answerends]")
{
    boost::beast::http::fields fields;
    fields.insert("Date", "Sat, 05 Dec 2026 12:00:00 GMT");
    CHECK_FALSE(http::holdsSecondHead("OK", fields));
    CHECK(http::holdsSecondHead("OHTTP/1.1 500 Internal Server Error", fields));
    fields.insert("Keep-Alive", "timeHTTP/1.1 500 Internal Server Error");
    fields.insert("Content-Length", "2");
    CHECK(http::holdsSecondHead("OK", fields));
}
