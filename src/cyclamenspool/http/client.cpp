#include <cyclamenspool/http/client.h>

#include <cyclamenspool/http/headreader.h>
#include <cyclamenspool/wire/endpoint.h>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <array>
#include <cctype>
#include <optional>

namespace cyclamenspool::http {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace bhttp = boost::beast::http;

namespace internal {

constexpr std::size_t readBufferBytes = 16 * 1024;
constexpr std::size_t maxUnparsedBytes = 64UL * 1024; /* of a head, a chunk header or a trailer */
constexpr int maxInterimResponses = 16; /* more may never end */

using Parser = bhttp::response_parser<bhttp::buffer_body>;

bhttp::request<bhttp::string_body> makeRequest(const ClientRequest &request)
{
    bhttp::request<bhttp::string_body> message;
    message.version(11);
    message.method_string(request.method);
    message.target(request.target);
    message.set(bhttp::field::host, request.address);
    message.set(bhttp::field::connection, "close");
    for (const auto &[name, value] : request.headers) {
        message.set(name, value);
    }
    message.body() = request.body;
    message.prepare_payload();
    return message;
}

ClientResponseHead headOf(const Parser &parser)
{
    ClientResponseHead head;
    head.status = parser.get().result_int();
    for (const auto &field : parser.get()) {
        std::string name(field.name_string());
        std::transform(name.begin(), name.end(), name.begin(), [](unsigned char character) {
            return static_cast<char>(std::tolower(character));
        });
        head.headers[name] = std::string(field.value());
    }
    return head;
}

asio::awaitable<void> connect(beast::tcp_stream &stream, const ClientRequest &request)
{
    boost::system::error_code error;
    stream.expires_after(request.timeout);
    co_await stream.async_connect(wire::parseEndpoint(request.address), asio::redirect_error(asio::use_awaitable, error));
    if (error) {
        throw ClientError("cannot connect to " + request.address + ": " + error.message(), false);
    }
    stream.socket().set_option(asio::ip::tcp::no_delay(true), error);
}

/** @brief Reads the headers of a response into a parser; interim (1xx) responses before it are skipped. */
asio::awaitable<void> readFinalHead(beast::tcp_stream &stream, beast::flat_buffer &buffer, std::optional<Parser> &parser, const ClientRequest &request)
{
    for (int count = 0; count <= maxInterimResponses; ++count) {
        parser.emplace();
        parser->body_limit(boost::none);
        stream.expires_after(request.timeout);
        try {
            co_await readHead(stream, buffer, *parser);
        } catch (const boost::system::system_error &error) {
            throw ClientError(request.address + ": " + error.code().message(), true); // what() would add the place in the library's source.
        } catch (const InvalidHead &error) {
            throw ClientError(request.address + ": " + error.what(), true);
        }
        if (parser->get().result_int() >= static_cast<unsigned>(bhttp::status::ok)) {
            co_return;
        }
    }
    throw ClientError(request.address + ": more than 16 interim responses", true);
}

asio::awaitable<void> readBody(beast::tcp_stream &stream,
                               beast::flat_buffer &buffer,
                               Parser &parser,
                               const ClientRequest &request,
                               const ClientCallbacks &callbacks)
{
    std::array<char, readBufferBytes> readBuffer{};
    while (!parser.is_done()) {
        parser.get().body().data = readBuffer.data();
        parser.get().body().size = readBuffer.size();
        boost::system::error_code error;
        stream.expires_after(request.timeout);
        co_await bhttp::async_read_some(stream, buffer, parser, asio::redirect_error(asio::use_awaitable, error));
        const auto count = readBuffer.size() - parser.get().body().size;
        if (count > 0 && callbacks.onResponseData) {
            callbacks.onResponseData(std::string(readBuffer.data(), count));
        }
        if (error && error != bhttp::error::need_buffer) {
            throw ClientError(request.address + ": " + error.message(), true);
        }
    }
}

} // namespace internal

asio::awaitable<void> streamResponse(ClientRequest request, ClientCallbacks callbacks)
{
    beast::tcp_stream stream(co_await asio::this_coro::executor);
    co_await internal::connect(stream, request);
    if (callbacks.beforeSend && !callbacks.beforeSend()) {
        throw ClientError("request cancelled before it was sent", false);
    }
    const auto message = internal::makeRequest(request);
    boost::system::error_code error;
    stream.expires_after(request.timeout);
    co_await bhttp::async_write(stream, message, asio::redirect_error(asio::use_awaitable, error));
    if (error) {
        throw ClientError(request.address + ": " + error.message(), true);
    }
    beast::flat_buffer buffer(internal::maxUnparsedBytes);
    std::optional<internal::Parser> parser;
    co_await internal::readFinalHead(stream, buffer, parser, request);
    if (callbacks.onResponseHead) {
        callbacks.onResponseHead(internal::headOf(*parser));
    }
    const bool hasLength = request.acceptsUnframed || parser->chunked() || parser->content_length().has_value();
    if (!hasLength && parser->get().result_int() != static_cast<unsigned>(bhttp::status::no_content)) {
        throw ClientError(request.address + ": response has neither Content-Length nor chunked encoding", true);
    }
    co_await internal::readBody(stream, buffer, *parser, request, callbacks);
}

asio::awaitable<ClientResponse> fetch(ClientRequest request)
{
    ClientResponse response;
    std::chrono::steady_clock::time_point headAt;
    ClientCallbacks callbacks;
    callbacks.onResponseHead = [&response, &headAt](const ClientResponseHead &head) {
        response.head = head;
        headAt = std::chrono::steady_clock::now();
    };
    callbacks.onResponseData = [&response, &headAt, &request](const std::string &data) {
        response.body += data;
        if (response.body.size() > request.maxBodyBytes) {
            throw ClientError(request.address + ": the response's body exceeds " + std::to_string(request.maxBodyBytes) + " bytes", true);
        }
        if (std::chrono::steady_clock::now() - headAt > request.timeout) {
            throw ClientError(request.address + ": the response's body takes longer than " + std::to_string(request.timeout.count()) + " ms", true);
        }
    };
    co_await streamResponse(request, std::move(callbacks));
    co_return response;
}

} // namespace cyclamenspool::http
