#include "check.h"

#include <cyclamenspool/platform/headers.h>

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <cstdint>

using namespace cyclamenspool;
namespace bhttp = boost::beast::http;

namespace {

constexpr std::uint32_t maxHeaderBytes = 8192;
constexpr std::uint64_t maxBodyBytes = 65536;

/** @brief Parses bytes. @return True if they are exactly one complete request. */
bool parse(bhttp::request_parser<bhttp::string_body> &parser, const void *bytes, std::size_t size)
{
    parser.eager(true);
    parser.header_limit(maxHeaderBytes);
    parser.body_limit(maxBodyBytes);
    boost::system::error_code error;
    std::size_t parsedBytes = 0;
    while (!error && parsedBytes < size && !parser.is_done()) {
        const auto consumed = parser.put(boost::asio::buffer(static_cast<const char *>(bytes) + parsedBytes, size - parsedBytes), error);
        parsedBytes += consumed;
        if (consumed == 0) {
            break;
        }
    }
    return !error && parser.is_done() && parsedBytes == size;
}

} // namespace

/** @brief Fuzzes a caller's request: what the backend server gets is exactly one request, with each added header once. */
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    bhttp::request_parser<bhttp::string_body> parser;
    if (!parse(parser, data, size)) {
        return 0;
    }
    const auto request = parser.release();
    platform::RequestHead head;
    try {
        head = platform::readRequestHead(request.base());
    } catch (const core::Error &) {
        return 0;
    }
    platform::AddedHeaders addedHeaders;
    addedHeaders.serverId = "i-1";
    addedHeaders.workspace = "desk";
    addedHeaders.remainingTime = std::chrono::milliseconds(100);
    std::string forwarded = "POST / HTTP/1.1\r\n";
    platform::appendForwardedHeaders(forwarded, request.base(), addedHeaders);
    forwarded += "Content-Length: " + std::to_string(request.body().size()) + "\r\n\r\n" + request.body();
    bhttp::request_parser<bhttp::string_body> reparsed;
    reparsed.header_limit(2 * maxHeaderBytes);
    fuzz::check(parse(reparsed, forwarded.data(), forwarded.size()), "the forwarded bytes are exactly one complete request");
    fuzz::check(reparsed.get().body() == request.body(), "the forwarded body equals the caller's body");
    fuzz::check(reparsed.get().count("Cyclamenspool-Tenant") == 1, "the workspace header is sent once");
    fuzz::check(reparsed.get()["Cyclamenspool-Tenant"] == "desk", "the workspace is that of the API key");
    fuzz::check(reparsed.get().count(bhttp::field::transfer_encoding) == 0, "the caller's Transfer-Encoding is not forwarded");
    return 0;
}
