#include "check.h"

#include <cyclamenspool/gateway/eventscanner.h>
#include <cyclamenspool/platform/headers.h>

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <cstdint>

using namespace cyclamenspool;
namespace bhttp = boost::beast::http;

namespace {

void readHead(const std::string &bytes)
{
    bhttp::response_parser<bhttp::string_body> parser;
    parser.eager(true);
    boost::system::error_code error;
    parser.put(boost::asio::buffer(bytes), error);
    if (error || !parser.is_header_done()) {
        return;
    }
    const auto &answer = parser.get();
    static_cast<void>(platform::readAnswerHead(answer.result_int(), answer.base()));
    std::string out = "HTTP/1.1 200 OK\r\n";
    platform::appendAnswered(out, answer.base());
    out += "Content-Length: 0\r\n\r\n";
    bhttp::response_parser<bhttp::string_body> again;
    again.eager(true);
    again.put(boost::asio::buffer(out), error);
    fuzz::check(!error && again.is_done(), "the head for the caller is one whole head");
    fuzz::check(again.get().count(bhttp::field::transfer_encoding) == 0, "the answer's framing is the gateway's own");
}

void scan(const std::string &bytes)
{
    gateway::EventScanner whole{std::string()};
    const auto once = whole.take(bytes);
    gateway::EventScanner parts{std::string()};
    std::string twice;
    const auto middle = bytes.empty() ? 0 : static_cast<std::uint8_t>(bytes.front()) % bytes.size();
    twice += parts.take(std::string_view(bytes).substr(0, middle));
    twice += parts.take(std::string_view(bytes).substr(middle));
    fuzz::check(once == twice && whole.rest() == parts.rest(), "events do not depend on how their bytes come");
    fuzz::check(whole.lastId() == parts.lastId(), "the last id does not depend on how the bytes come");
    fuzz::check(once + whole.rest() == bytes, "no byte of a stream is lost or added");
}

} // namespace

/** @brief A backend server's answer: its head for the caller, and its events. */
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string bytes(reinterpret_cast<const char *>(data), size);
    readHead(bytes);
    scan(bytes);
    return 0;
}
