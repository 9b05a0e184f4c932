#include "check.h"

#include <cyclamenspool/gateway/eventboundary.h>
#include <cyclamenspool/gateway/eventscanner.h>
#include <cyclamenspool/platform/headers.h>

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <cstdint>

using namespace cyclamenspool;
namespace bhttp = boost::beast::http;

namespace {

void checkResponseHead(const std::string &bytes)
{
    bhttp::response_parser<bhttp::string_body> parser;
    parser.eager(true);
    boost::system::error_code error;
    parser.put(boost::asio::buffer(bytes), error);
    if (error || !parser.is_header_done()) {
        return;
    }
    const auto &response = parser.get();
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
    fuzz::check(unsplit.lastEventId() == split.lastEventId(), "the last event id does not depend on how the stream is split into chunks");
    gateway::EventBoundary boundary;
    boundary.advance(bytes);
    fuzz::check(boundary.isInsideEvent() == !unsplit.partialEvent().empty(), "a stream is inside an event exactly if bytes of one are held back");
    fuzz::check(unsplitEvents + unsplit.partialEvent() == bytes, "no byte of the stream is lost or added");
}

} // namespace

/** @brief Fuzzes a backend server's response: the head that the caller gets, and the event stream. */
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string bytes(reinterpret_cast<const char *>(data), size);
    checkResponseHead(bytes);
    checkEventScanner(bytes);
    return 0;
}
