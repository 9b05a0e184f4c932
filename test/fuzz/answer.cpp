#include "check.h"

#include <cyclamenspool/gateway/eventboundary.h>
#include <cyclamenspool/gateway/eventscanner.h>
#include <cyclamenspool/http/headcheck.h>
#include <cyclamenspool/http/messageend.h>
#include <cyclamenspool/platform/headers.h>

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <iterator>
#include <optional>
#include <string_view>

using namespace cyclamenspool;
namespace bhttp = boost::beast::http;

namespace {

constexpr std::size_t maxCutBytes = 256; /* of a response that is cut after each of its bytes */

using Parser = bhttp::response_parser<bhttp::string_body>;

/** @brief Parses bytes as a gateway does. @return Number of bytes that belong
 * to the response; empty if they are invalid. */
std::optional<std::size_t> parse(Parser &parser, std::string_view bytes)
{
    parser.eager(true);
    parser.body_limit(boost::none);
    std::size_t parsedBytes = 0;
    while (parsedBytes < bytes.size() && !parser.is_done()) {
        boost::system::error_code error;
        const auto consumed = parser.put(boost::asio::buffer(bytes.data() + parsedBytes, bytes.size() - parsedBytes), error);
        if (error && error != bhttp::error::need_more) {
            return std::nullopt;
        }
        parsedBytes += consumed;
        if (consumed == 0) {
            break;
        }
    }
    return parsedBytes;
}

/** @brief Checks which ends of the connection complete a response: after each
 * byte of it. */
void checkConnectionEnds(std::string_view bytes)
{
    Parser unbroken;
    const auto responseBytes = parse(unbroken, bytes);
    const auto end = unbroken.is_done() ? responseBytes.value_or(0) : bytes.size() + 1;
    for (std::size_t cut = 0; cut < std::min({end, bytes.size() + 1, maxCutBytes}); ++cut) {
        Parser parser;
        if (!parse(parser, bytes.substr(0, cut))) {
            return;
        }
        fuzz::check(!parser.is_done(), "no beginning of a response is complete by its framing");
        const bool needsEnd = parser.is_header_done() && parser.need_eof();
        const bool isComplete = http::isCompleteAtConnectionEnd(parser);
        fuzz::check(isComplete == needsEnd,
                    "the connection's end completes a response exactly if its head "
                    "is complete and names no other end");
        fuzz::check(!isComplete || bytes.substr(0, cut).find("\r\n\r\n") != std::string_view::npos, "no response is complete without its blank line");
        fuzz::check(!isComplete || (!parser.chunked() && !parser.content_length()),
                    "no response with a length or chunks is completed by the "
                    "connection's end");
    }
}

/** @brief Returns the number of lines between the status line and the blank line. */
std::size_t fieldLineCount(std::string_view head)
{
    std::size_t lines = 0;
    for (auto place = head.find("\r\n"); place != std::string_view::npos; place = head.find("\r\n", place + 2)) {
        ++lines;
    }
    return lines - 2;
}

void checkResponseHead(const std::string &bytes)
{
    bhttp::response_parser<bhttp::string_body> parser;
    parser.eager(true);
    boost::system::error_code error;
    parser.put(boost::asio::buffer(bytes), error);
    if (error || !parser.is_header_done()) {
        return;
    }
    if (http::headFault(http::completeHead(bytes)) != nullptr) {
        return;
    }
    const auto &response = parser.get();
    fuzz::check(response.result_int() >= 100 && response.result_int() < 600, "the status of an accepted head is one of HTTP");
    fuzz::check(fieldLineCount(http::completeHead(bytes)) == static_cast<std::size_t>(std::distance(response.begin(), response.end())),
                "each line of an accepted head is one field");
    static_cast<void>(platform::readResponseHead(response.result_int(), response.base()));
    std::string forwarded = "HTTP/1.1 200 OK\r\n";
    platform::appendResponseHeaders(forwarded, response.base());
    forwarded += "Content-Length: 0\r\n\r\n";
    bhttp::response_parser<bhttp::string_body> reparsed;
    reparsed.eager(true);
    reparsed.put(boost::asio::buffer(forwarded), error);
    fuzz::check(!error && reparsed.is_done(), "the response head for the caller is exactly one complete head");
    fuzz::check(reparsed.get().count(bhttp::field::transfer_encoding) == 0, "the backend server's Transfer-Encoding is not forwarded");
}

void checkEventScanner(const std::string &bytes)
{
    gateway::EventScanner unsplit{std::string()};
    const auto unsplitEvents = unsplit.append(bytes);
    gateway::EventScanner split{std::string()};
    std::string splitEvents;
    const auto splitPosition = bytes.empty() ? 0 : static_cast<std::uint8_t>(bytes.front()) % bytes.size();
    splitEvents += split.append(std::string_view(bytes).substr(0, splitPosition));
    splitEvents += split.append(std::string_view(bytes).substr(splitPosition));
    fuzz::check(unsplitEvents == splitEvents && unsplit.partialEvent() == split.partialEvent(), "events do not depend on how the stream is split into chunks");
    fuzz::check(unsplit.lastEventId() == split.lastEventId(),
                "the last event id does not depend on how the stream is split "
                "into chunks");
    gateway::EventBoundary boundary;
    boundary.advance(bytes);
    fuzz::check(boundary.isInsideEvent() == !unsplit.partialEvent().empty(), "a stream is inside an event exactly if bytes of one are held back");
    fuzz::check(unsplitEvents + unsplit.partialEvent() == bytes, "no byte of the stream is lost or added");
}

} // namespace

/** @brief Fuzzes a backend server's response: the head that the caller gets,
 * and the event stream. */
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string bytes(reinterpret_cast<const char *>(data), size);
    checkResponseHead(bytes);
    checkConnectionEnds(bytes);
    checkEventScanner(bytes);
    return 0;
}
