#include <cyclamenspool/router/requestreader.h>

#include <cyclamenspool/core/errorkind.h>

#include <boost/json/stream_parser.hpp>
#include <boost/json/value.hpp>

#include <charconv>
#include <optional>

namespace cyclamenspool::router {

using core::Error;
using core::ErrorKind;
namespace json = boost::json;

namespace internal {

constexpr std::string_view chatPath = "/v1/chat/completions";
constexpr std::string_view servicePrefix = "/v1/services/";
constexpr std::uint64_t bytesPerToken = 4; /* estimate for the length of a prompt */
constexpr std::uint64_t defaultDecodeTokens = 128;
constexpr std::uint64_t maxDecodeTokens = 1000000;
constexpr std::size_t maxNameBytes = 256; /* of a workspace, chat, idempotency key or location hint */
constexpr long maxPriority = 10;

std::string readNameHeader(const http::Request &request, const char *name)
{
    std::string value(request[name]);
    if (value.size() > maxNameBytes) {
        throw Error(ErrorKind::BadRequest, std::string("header ") + name + " is longer than " + std::to_string(maxNameBytes) + " bytes");
    }
    for (const unsigned char character : value) {
        if (character < 0x21 || character > 0x7e) {
            throw Error(ErrorKind::BadRequest, std::string("header ") + name + " must contain only visible ASCII characters");
        }
    }
    return value;
}

std::optional<long> readIntegerHeader(const http::Request &request, const char *name, long low, long high)
{
    const auto text = request[name];
    if (text.empty()) {
        return std::nullopt;
    }
    long value = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
    const bool isNumber = parsed.ec == std::errc() && parsed.ptr == text.data() + text.size();
    if (!isNumber || value < low || value > high) {
        throw Error(ErrorKind::BadRequest, std::string("header ") + name + " must be an integer from " + std::to_string(low) + " to " + std::to_string(high));
    }
    return value;
}

std::string poolOfModel(const std::string &model, const member::FleetView *view)
{
    if (view == nullptr || view->table().pools().count(model) > 0) {
        return model;
    }
    for (const auto &[name, pool] : view->table().pools()) {
        if (!pool.isService() && pool.model == model) {
            return name;
        }
    }
    return model;
}

std::uint64_t contentBytes(const json::value &message)
{
    const auto *object = message.if_object();
    const auto *content = object == nullptr ? nullptr : object->if_contains("content");
    if (content == nullptr || !content->is_string()) {
        throw Error(ErrorKind::BadRequest, "each element of 'messages' must be an object with a string 'content'");
    }
    return content->as_string().size();
}

void readChat(const json::object &body, CallerRequest &result, const member::FleetView *view)
{
    const auto *model = body.if_contains("model");
    if (model == nullptr || !model->is_string()) {
        throw Error(ErrorKind::BadRequest, "'model' is missing or not a string");
    }
    const auto *messages = body.if_contains("messages");
    if (messages == nullptr || !messages->is_array() || messages->as_array().empty()) {
        throw Error(ErrorKind::BadRequest, "'messages' is missing or not a non-empty array");
    }
    std::uint64_t bytes = 0;
    for (const auto &message : messages->as_array()) {
        bytes += contentBytes(message);
    }
    const auto *stream = body.if_contains("stream");
    if (stream != nullptr && !stream->is_bool()) {
        throw Error(ErrorKind::BadRequest, "'stream' must be true or false");
    }
    const auto *maxTokens = body.if_contains("max_tokens");
    const bool isMaxTokensInvalid
        = maxTokens != nullptr && (!maxTokens->is_int64() || maxTokens->as_int64() < 1 || maxTokens->as_int64() > static_cast<std::int64_t>(maxDecodeTokens));
    if (isMaxTokensInvalid) {
        throw Error(ErrorKind::BadRequest, "'max_tokens' must be an integer from 1 to " + std::to_string(maxDecodeTokens));
    }
    result.pool = poolOfModel(std::string(model->as_string()), view);
    result.promptTokens = bytes / bytesPerToken + 1;
    result.decodeTokens = maxTokens == nullptr ? defaultDecodeTokens : static_cast<std::uint64_t>(maxTokens->as_int64());
    result.isStreaming = stream != nullptr && stream->as_bool();
}

void readChatBody(const http::Request &request, CallerRequest &result, const member::FleetView *view)
{
    if (request.method() != boost::beast::http::verb::post) {
        throw Error(ErrorKind::WrongMethod, std::string(chatPath) + " requires the method POST");
    }
    json::stream_parser parser;
    boost::system::error_code error;
    const auto parsedBytes = parser.write_some(request.body(), error);
    if (!error && parsedBytes == request.body().size()) {
        parser.finish(error);
    } else if (!error) {
        throw Error(ErrorKind::BadRequest, "the body has data after the JSON value at byte " + std::to_string(parsedBytes + 1));
    }
    if (error) {
        throw Error(ErrorKind::BadRequest, "the body is not valid JSON at byte " + std::to_string(parsedBytes + 1) + ": " + error.message());
    }
    const auto value = parser.release();
    if (!value.is_object()) {
        throw Error(ErrorKind::BadRequest, "the body must be a JSON object");
    }
    readChat(value.as_object(), result, view);
}

void readServicePath(std::string_view target, CallerRequest &result)
{
    const auto rest = target.substr(servicePrefix.size());
    const auto slash = rest.find('/');
    result.pool = std::string(rest.substr(0, slash));
    result.path = slash == std::string_view::npos ? "/" : std::string(rest.substr(slash));
    if (result.pool.empty()) {
        throw Error(ErrorKind::UnknownPath, "the path contains no pool name");
    }
}

} // namespace internal

CallerRequest readRequest(const http::Request &request, const std::string &id, const config::Settings &settings, const member::FleetView *view)
{
    CallerRequest result;
    result.id = id;
    result.method = std::string(request.method_string());
    result.path = std::string(request.target());
    result.contentType = std::string(request[boost::beast::http::field::content_type]);
    result.workspace = internal::readNameHeader(request, "X-Workspace");
    result.chat = internal::readNameHeader(request, "X-Chat-Id");
    result.idempotencyKey = internal::readNameHeader(request, "Idempotency-Key");
    result.locationHint = internal::readNameHeader(request, "X-Location-Hint");
    result.priority = static_cast<int>(internal::readIntegerHeader(request, "X-Priority", -internal::maxPriority, internal::maxPriority).value_or(0));
    const long maxDeadline = settings.defaultDeadline.count();
    result.timeout = core::Milliseconds(internal::readIntegerHeader(request, "X-Deadline-Ms", 1, maxDeadline).value_or(maxDeadline));
    if (result.path == internal::chatPath) {
        internal::readChatBody(request, result, view);
    } else if (result.path.rfind(internal::servicePrefix, 0) == 0) {
        internal::readServicePath(request.target(), result);
    } else {
        throw Error(ErrorKind::UnknownPath, "unknown path: " + result.path);
    }
    if (result.workspace.empty()) {
        throw Error(ErrorKind::UnknownWorkspace, "header X-Workspace is missing");
    }
    result.body = request.body();
    return result;
}

} // namespace cyclamenspool::router
