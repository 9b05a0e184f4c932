#include <cyclamenspool/http/headreader.h>

#include <cyclamenspool/http/headcheck.h>

#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/error.hpp>

#include <cstddef>
#include <string_view>

namespace cyclamenspool::http {

namespace bhttp = boost::beast::http;

namespace internal {

constexpr std::size_t headReadBytes = 4096;

std::string_view viewOf(const boost::beast::flat_buffer &buffer) noexcept
{
    return {static_cast<const char *>(buffer.data().data()), buffer.size()};
}

void parseHead(boost::beast::flat_buffer &buffer, bhttp::basic_parser<false> &parser)
{
    const auto head = completeHead(viewOf(buffer));
    const auto *fault = head.empty() ? nullptr : headFault(head);
    if (fault != nullptr) {
        throw InvalidHead(fault);
    }
    boost::system::error_code error;
    buffer.consume(parser.put(buffer.data(), error));
    if (error && error != bhttp::error::need_more) {
        throw boost::system::system_error(error);
    }
}

} // namespace internal

boost::asio::awaitable<void> readHead(boost::beast::tcp_stream &stream, boost::beast::flat_buffer &buffer, bhttp::basic_parser<false> &parser)
{
    while (true) {
        if (buffer.size() > 0) {
            internal::parseHead(buffer, parser);
        }
        if (parser.is_header_done()) {
            co_return;
        }
        const auto space = buffer.prepare(internal::headReadBytes);
        const auto count = co_await stream.async_read_some(space, boost::asio::use_awaitable);
        buffer.commit(count);
    }
}

} // namespace cyclamenspool::http
