#include "check.h"

#include <cyclamenspool/platform/headers.h>

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <cstdint>

using namespace cyclamenspool;
namespace bhttp = boost::beast::http;

namespace {

constexpr std::uint32_t headerBytes = 8192;
constexpr std::uint64_t bodyBytes = 65536;

/** @brief Parses bytes. @return True if they are one whole request and nothing else. */
bool parse(bhttp::request_parser<bhttp::string_body> &parser, const void *bytes, std::size_t size)
{
    parser.eager(true);
    parser.header_limit(headerBytes);
    parser.body_limit(bodyBytes);
    boost::system::error_code error;
    std::size_t used = 0;
    while (!error && used < size && !parser.is_done()) {
        const auto taken = parser.put(boost::asio::buffer(static_cast<const char *>(bytes) + used, size - used), error);
        used += taken;
        if (taken == 0) {
            break;
        }
    }
    return !error && parser.is_done() && used == size;
}

} // namespace

/** @brief A caller's request: what goes on to the backend server is one request with the added headers once. */
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
    platform::ForwardHead added;
    added.server = "i-1";
    added.workspace = "desk";
    added.timeLeft = std::chrono::milliseconds(100);
    std::string out = "POST / HTTP/1.1\r\n";
    platform::appendForwarded(out, request.base(), added);
    out += "Content-Length: " + std::to_string(request.body().size()) + "\r\n\r\n" + request.body();
    bhttp::request_parser<bhttp::string_body> again;
    again.header_limit(2 * headerBytes);
    fuzz::check(parse(again, out.data(), out.size()), "a forwarded request is one whole request");
    fuzz::check(again.get().body() == request.body(), "a forwarded request has the caller's body");
    fuzz::check(again.get().count("Cyclamenspool-Tenant") == 1, "the workspace is told once");
    fuzz::check(again.get()["Cyclamenspool-Tenant"] == "desk", "the workspace is the key's");
    fuzz::check(again.get().count(bhttp::field::transfer_encoding) == 0, "the body's framing is the gateway's own");
    return 0;
}
