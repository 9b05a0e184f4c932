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
constexpr std::uint64_t bytesPerToken = 4;
constexpr std::uint64_t defaultDecodeTokens = 128;
constexpr std::uint64_t largestDecodeTokens = 1000000;
constexpr std::size_t nameLimit = 256; /* bytes of a chat, key or workspace */
constexpr long priorityLimit = 10;

std::string nameHeader(const http::Request &request, const char *name)
{
    std::string value(request[name]);
    if (value.size() > nameLimit) {
        throw Error(ErrorKind::BadRequest, std::string("header ") + name + " is longer than " + std::to_string(nameLimit) + " bytes");
    }
    for (const unsigned char letter : value) {
        if (letter < 0x21 || letter > 0x7e) {
            throw Error(ErrorKind::BadRequest, std::string("header ") + name + " may hold visible ASCII characters only");
        }
    }
    return value;
}

std::optional<long> numberHeader(const http::Request &request, const char *name, long low, long high)
{
    const auto text = request[name];
    if (text.empty()) {
        return std::nullopt;
    }
    long value = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
    const bool isNumber = parsed.ec == std::errc() && parsed.ptr == text.data() + text.size();
    if (!isNumber || value < low || value > high) {
        throw Error(ErrorKind::BadRequest,
                    std::string("header ") + name + " must be a whole number from " + std::to_string(low) + " to " + std::to_string(high));
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
        throw Error(ErrorKind::BadRequest, "each of 'messages' must be an object with a text 'content'");
    }
    return content->as_string().size();
}

void readChat(const json::object &body, CallerRequest &out, const member::FleetView *view)
{
    const auto *model = body.if_contains("model");
    if (model == nullptr || !model->is_string()) {
        throw Error(ErrorKind::BadRequest, "'model' is missing or not text");
    }
    const auto *messages = body.if_contains("messages");
    if (messages == nullptr || !messages->is_array() || messages->as_array().empty()) {
        throw Error(ErrorKind::BadRequest, "'messages' is missing or not a list with messages");
    }
    std::uint64_t bytes = 0;
    for (const auto &message : messages->as_array()) {
        bytes += contentBytes(message);
    }
    const auto *stream = body.if_contains("stream");
    if (stream != nullptr && !stream->is_bool()) {
        throw Error(ErrorKind::BadRequest, "'stream' must be true or false");
    }
    const auto *most = body.if_contains("max_tokens");
    const bool badMost = most != nullptr && (!most->is_int64() || most->as_int64() < 1 || most->as_int64() > static_cast<std::int64_t>(largestDecodeTokens));
    if (badMost) {
        throw Error(ErrorKind::BadRequest, "'max_tokens' must be a whole number from 1 to " + std::to_string(largestDecodeTokens));
    }
    out.pool = poolOfModel(std::string(model->as_string()), view);
    out.promptTokens = bytes / bytesPerToken + 1;
    out.decodeTokens = most == nullptr ? defaultDecodeTokens : static_cast<std::uint64_t>(most->as_int64());
    out.stream = stream != nullptr && stream->as_bool();
}

void readChatBody(const http::Request &request, CallerRequest &out, const member::FleetView *view)
{
    if (request.method() != boost::beast::http::verb::post) {
        throw Error(ErrorKind::WrongMethod, std::string(chatPath) + " takes POST");
    }
    json::stream_parser parser;
    boost::system::error_code error;
    const auto taken = parser.write_some(request.body(), error);
    if (!error && taken == request.body().size()) {
        parser.finish(error);
    } else if (!error) {
        throw Error(ErrorKind::BadRequest, "the body goes on after the JSON value at byte " + std::to_string(taken + 1));
    }
    if (error) {
        throw Error(ErrorKind::BadRequest, "the body is not JSON at byte " + std::to_string(taken + 1) + ": " + error.message());
    }
    const auto value = parser.release();
    if (!value.is_object()) {
        throw Error(ErrorKind::BadRequest, "the body must be a JSON object");
    }
    readChat(value.as_object(), out, view);
}

void readServicePath(std::string_view target, CallerRequest &out)
{
    const auto rest = target.substr(servicePrefix.size());
    const auto slash = rest.find('/');
    out.pool = std::string(rest.substr(0, slash));
    out.path = slash == std::string_view::npos ? "/" : std::string(rest.substr(slash));
    if (out.pool.empty()) {
        throw Error(ErrorKind::UnknownPath, "the path names no pool");
    }
}

} // namespace internal

CallerRequest readRequest(const http::Request &request, const std::string &id, const config::Settings &settings, const member::FleetView *view)
{
    CallerRequest out;
    out.id = id;
    out.method = std::string(request.method_string());
    out.path = std::string(request.target());
    out.contentType = std::string(request[boost::beast::http::field::content_type]);
    out.workspace = internal::nameHeader(request, "X-Workspace");
    out.chat = internal::nameHeader(request, "X-Chat-Id");
    out.key = internal::nameHeader(request, "Idempotency-Key");
    out.locationHint = internal::nameHeader(request, "X-Location-Hint");
    out.priority = static_cast<int>(internal::numberHeader(request, "X-Priority", -internal::priorityLimit, internal::priorityLimit).value_or(0));
    const long longest = settings.defaultDeadline.count();
    out.deadline = core::Milliseconds(internal::numberHeader(request, "X-Deadline-Ms", 1, longest).value_or(longest));
    if (out.path == internal::chatPath) {
        internal::readChatBody(request, out, view);
    } else if (out.path.rfind(internal::servicePrefix, 0) == 0) {
        internal::readServicePath(request.target(), out);
    } else {
        throw Error(ErrorKind::UnknownPath, "no such path: " + out.path);
    }
    if (out.workspace.empty()) {
        throw Error(ErrorKind::UnknownWorkspace, "header X-Workspace is missing");
    }
    out.body = request.body();
    return out;
}

} // namespace cyclamenspool::router
