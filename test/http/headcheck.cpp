#include <catch2/catch.hpp>

#include <harness/brokenoffserver.h>

#include <cyclamenspool/http/headcheck.h>

#include <cstdio>
#include <string>

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
    const std::string date = "Date: Sat, 05 Dec 2026 12:00:00 GMT\r\n";
    CHECK(http::headFault("HTTP/1.1 200 OK\r\n" + date + "\r\n") == nullptr);
    CHECK(http::headFault("HTTP/1.1 200 OHTTP/1.1 500 Internal Server Error\r\n" + date + "\r\n") != nullptr);
    CHECK(http::headFault("HTTP/1.1 200 OK\r\n" + date + "Keep-Alive: timeHTTP/1.1 500 Internal Server Error\r\nContent-Length: 2\r\n\r\n") != nullptr);
}

TEST_CASE("only 100 to 599 without 101 are statuses of a response", "[http][answerends]")
{
    for (int status = 0; status < 1000; ++status) {
        char digits[4];
        std::snprintf(digits, sizeof(digits), "%03d", status);
        INFO(digits);
        const bool isValid = status >= 100 && status < 600 && status != 101;
        CHECK((http::headFault("HTTP/1.1 " + std::string(digits) + " X\r\n\r\n") == nullptr) == isValid);
        CHECK((http::headFault("HTTP/1.0 " + std::string(digits) + "\r\n\r\n") == nullptr) == isValid);
    }
}

TEST_CASE("a folded line is found after any field and with any blank", "[http][answerends]")
{
    const std::string head = "HTTP/1.1 200 OK\r\nX-Note: 1\r\nContent-Length: 2\r\n";
    CHECK(http::headFault(head + "\r\n") == nullptr);
    for (auto end = head.find("\r\n"); end != std::string::npos; end = head.find("\r\n", end + 2)) {
        for (const std::string blank : {" ", "\t", " \t "}) {
            CHECK(http::headFault(head.substr(0, end + 2) + blank + head.substr(end + 2) + "\r\n") != nullptr);
            CHECK(http::headFault(head.substr(0, end + 2) + blank + "\r\n" + head.substr(end + 2) + "\r\n") != nullptr);
        }
    }
}

TEST_CASE("a head is complete at its first blank line", "[http][answerends]")
{
    const std::string head = "HTTP/1.1 200 OK\r\nX-Note: 1\r\n\r\n";
    for (std::size_t cut = 0; cut < head.size(); ++cut) {
        CHECK(http::completeHead(head.substr(0, cut)).empty());
    }
    CHECK(http::completeHead(head) == head);
    CHECK(http::completeHead(head + "body\r\n\r\n") == head);
}
