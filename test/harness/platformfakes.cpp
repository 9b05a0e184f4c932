#include "platformfakes.h"

#include "ports.h"

#include <cyclamenspool/wire/endpoint.h>

#include <boost/archive/iterators/base64_from_binary.hpp>
#include <boost/archive/iterators/transform_width.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <sys/socket.h>

#include <algorithm>

namespace cyclamenspool::harness {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr std::size_t itemsPerPage = 3; /* small, so that tests read more than one page */

std::string encodeBase64(const std::string &bytes)
{
    namespace iterators = boost::archive::iterators;
    using Encoder = iterators::base64_from_binary<iterators::transform_width<std::string::const_iterator, 6, 8>>;
    constexpr std::size_t group = 3;
    std::string text(Encoder(bytes.begin()), Encoder(bytes.end()));
    text.append((group - bytes.size() % group) % group, '=');
    return text;
}

/** @brief Returns a query parameter, without percent-decoding; the keys of the tests do not need it. */
std::string queryValue(const std::string &target, const std::string &name)
{
    const auto position = target.find(name + "=");
    if (position == std::string::npos) {
        return "";
    }
    const auto start = position + name.size() + 1;
    const auto encoded = target.substr(start, target.find('&', start) - start);
    std::string value;
    for (std::size_t i = 0; i < encoded.size(); ++i) {
        constexpr int hexadecimal = 16;
        const bool isEscape = encoded[i] == '%' && i + 2 < encoded.size();
        value += isEscape ? static_cast<char>(std::stoi(encoded.substr(i + 1, 2), nullptr, hexadecimal)) : encoded[i];
        i += isEscape ? 2 : 0;
    }
    return value;
}

bool isNumber(const std::string &text)
{
    constexpr std::size_t maxDigits = 18; /* of a 64-bit number */
    return !text.empty() && text.size() <= maxDigits && text.find_first_not_of("0123456789") == std::string::npos;
}

bool hasPrefix(const std::string &key, const std::string &prefix)
{
    return key.compare(0, prefix.size(), prefix) == 0;
}

void resetSocket(PlainSocket &socket)
{
    // Uses the descriptor, because the socket object belongs to the thread that serves it. Zero linger makes the close send a reset.
    const linger zeroLinger{1, 0};
    setsockopt(socket.native_handle(), SOL_SOCKET, SO_LINGER, &zeroLinger, sizeof(zeroLinger));
    shutdown(socket.native_handle(), SHUT_RDWR);
}

} // namespace

bool writeAll(PlainSocket &socket, const std::string &bytes)
{
    boost::system::error_code error;
    asio::write(socket, asio::buffer(bytes), error);
    return !error;
}

std::string formatResponseWithDigest(const PlainRequest &request, const std::string &body, const std::string &status)
{
    const std::string id(request["Cyclamenspool-Request-Id"]);
    return "HTTP/1.1 " + status + "\r\nCyclamenspool-Request-Id: " + id
        + "\r\nCyclamenspool-Response-Seal: seal\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

ThreadedServer::ThreadedServer(Handler handler)
    : address_(findFreeAddress())
    , handler_(std::move(handler))
    , acceptor_(context_, wire::parseEndpoint(address_))
    , listener_([this] {
        listen();
    })
{
}

ThreadedServer::~ThreadedServer()
{
    stopping_ = true;
    boost::system::error_code ignored;
    // Unblocks the listener's accept().
    PlainSocket(context_).connect(wire::parseEndpoint(address_), ignored);
    listener_.join();
    resetConnections();
    for (auto &thread : threads_) {
        thread.join();
    }
}

void ThreadedServer::resetConnections()
{
    const std::lock_guard lock(mutex_);
    for (auto &socket : sockets_) {
        resetSocket(socket);
    }
}

void ThreadedServer::refuseConnections()
{
    isRefusing_ = true;
    // Also unblocks the listener's accept().
    ::shutdown(acceptor_.native_handle(), SHUT_RD);
}

void ThreadedServer::listen()
{
    while (!stopping_ && !isRefusing_) {
        boost::system::error_code error;
        auto socket = acceptor_.accept(error);
        if (error || stopping_) {
            continue;
        }
        const std::lock_guard lock(mutex_);
        auto &stored = sockets_.emplace_back(std::move(socket));
        threads_.emplace_back([this, &stored] {
            serve(stored);
        });
    }
}

void ThreadedServer::serve(PlainSocket &socket)
{
    boost::beast::flat_buffer buffer;
    bool isOpen = true;
    while (isOpen && !stopping_) {
        boost::beast::http::request_parser<boost::beast::http::string_body> parser;
        parser.body_limit(boost::none);
        boost::system::error_code error;
        boost::beast::http::read(socket, buffer, parser, error);
        isOpen = !error && handler_(parser.get(), socket);
    }
    boost::system::error_code ignored;
    socket.shutdown(PlainSocket::shutdown_both, ignored);
}

FakeStore::FakeStore()
    : server_([this](const PlainRequest &request, PlainSocket &socket) {
        return respondUnlessLost(request, socket, status_, isSilent_);
    })
    , secondServer_([this](const PlainRequest &request, PlainSocket &socket) {
        return respondUnlessLost(request, socket, secondStatus_, isLosingSecondResponses_);
    })
{
}

void FakeStore::record(const Change &change)
{
    history_.push_back(change);
    itemsChanged_.notify_all();
}

void FakeStore::put(const std::string &key, const std::string &value)
{
    const std::lock_guard lock(mutex_);
    items_[key] = {key, value, ++revision_, false};
    record(items_[key]);
}

void FakeStore::remove(const std::string &key)
{
    const std::lock_guard lock(mutex_);
    items_.erase(key);
    record({key, {}, ++revision_, true});
}

void FakeStore::setStatus(int status)
{
    status_ = status;
    itemsChanged_.notify_all();
}

void FakeStore::setSecondStatus(int status)
{
    secondStatus_ = status;
    itemsChanged_.notify_all();
}

void FakeStore::compact()
{
    const std::lock_guard lock(mutex_);
    history_.clear();
    oldestRevision_ = revision_;
    itemsChanged_.notify_all();
}

FakeStore::Copy FakeStore::copy()
{
    const std::lock_guard lock(mutex_);
    Copy copy;
    copy.items_ = items_;
    copy.history_ = history_;
    copy.revision_ = revision_;
    copy.oldestRevision_ = oldestRevision_;
    return copy;
}

void FakeStore::restore(const Copy &copy)
{
    const std::lock_guard lock(mutex_);
    items_ = copy.items_;
    history_ = copy.history_;
    revision_ = copy.revision_;
    oldestRevision_ = copy.oldestRevision_;
    ++era_;
    itemsChanged_.notify_all();
}

void FakeStore::setSendingEra(bool isSending)
{
    isSendingEra_ = isSending;
}

std::uint64_t FakeStore::revision()
{
    const std::lock_guard lock(mutex_);
    return revision_;
}

void FakeStore::setLosingSecondResponses(bool isLosing)
{
    isLosingSecondResponses_ = isLosing;
}

void FakeStore::setSilent(bool isSilent)
{
    isSilent_ = isSilent;
}

void FakeStore::setMaxWatchTime(std::chrono::milliseconds time)
{
    maxWatchTime_ = time;
}

int FakeStore::callCount(const std::string &prefix)
{
    const std::lock_guard lock(mutex_);
    return callCounts_[prefix];
}

FakeStore::Answer FakeStore::range(const std::string &prefix, const std::string &after)
{
    const std::lock_guard lock(mutex_);
    json::array items;
    bool hasMore = false;
    for (const auto &[key, item] : items_) {
        if (!hasPrefix(key, prefix) || key <= after) {
            continue;
        }
        if (items.size() == itemsPerPage) {
            hasMore = true;
            break;
        }
        items.push_back(json::object{{"key", key}, {"value", encodeBase64(item.value)}, {"revision", item.revision}});
    }
    return {200, json::serialize(json::object{{"items", std::move(items)}, {"more_pages", hasMore}, {"store_revision", revision_}}), era_};
}

FakeStore::Answer FakeStore::watch(const std::string &prefix, std::uint64_t after, std::chrono::milliseconds timeout, const std::atomic<int> &forcedStatus)
{
    std::unique_lock lock(mutex_);
    const auto era = era_;
    if (after < oldestRevision_ || after > revision_) {
        return {410, "", era};
    }
    json::array events;
    // A waiting watch that has not received a change before it is dropped ends as well: the store loses none.
    const auto isCompacted = [&] {
        return after < oldestRevision_;
    };
    const auto collect = [&] {
        if (era_ != era) {
            return true;
        }
        for (const auto &change : history_) {
            if (change.revision <= after || !hasPrefix(change.key, prefix)) {
                continue;
            }
            json::object event{{"key", change.key}, {"revision", change.revision}};
            if (change.isDeleted) {
                event["deleted"] = true;
            } else {
                event["value"] = encodeBase64(change.value);
            }
            events.push_back(std::move(event));
        }
        return !events.empty() || forcedStatus != 200 || isCompacted();
    };
    itemsChanged_.wait_for(lock, std::min(timeout, maxWatchTime_.load()), collect);
    if (era_ != era) {
        return {0, "", era, true};
    }
    if (events.empty() && isCompacted()) {
        return {410, "", era};
    }
    return {200, json::serialize(json::object{{"events", std::move(events)}, {"store_revision", revision_}}), era};
}

FakeStore::Answer FakeStore::answer(const PlainRequest &request, const std::atomic<int> &forcedStatus)
{
    const std::string target(request.target());
    const auto prefix = queryValue(target, "prefix");
    const auto after = queryValue(target, "after");
    const auto wait = queryValue(target, "wait_ms");
    const bool isRange = target.find("/-/kv-range") == 0;
    const bool isWatch = target.find("/-/kv-watch") == 0 && isNumber(after) && isNumber(wait);
    {
        const std::lock_guard lock(mutex_);
        if (!isRange && !isWatch) {
            return {404, "", era_};
        }
        ++callCounts_[prefix];
    }
    auto answer = isRange ? range(prefix, after) : watch(prefix, std::stoull(after), std::chrono::milliseconds(std::stol(wait)), forcedStatus);
    const int forced = forcedStatus;
    answer.status = forced != 200 ? forced : answer.status;
    return answer;
}

std::string FakeStore::format(const Answer &answer) const
{
    const auto era = isSendingEra_ ? "\r\nStore-Era: " + std::to_string(answer.era) : std::string();
    const auto head = "HTTP/1.1 " + std::to_string(answer.status) + " X" + era + "\r\nContent-Type: application/json\r\nContent-Length: ";
    return head + std::to_string(answer.body.size()) + "\r\n\r\n" + answer.body;
}

bool FakeStore::respondUnlessLost(const PlainRequest &request,
                                  PlainSocket &socket,
                                  const std::atomic<int> &forcedStatus,
                                  const std::atomic<bool> &isLosingResponses)
{
    {
        const std::lock_guard lock(mutex_);
        if (isSilent_) {
            silentConnections_.insert(&socket);
        }
        if (silentConnections_.count(&socket) > 0) {
            return true;
        }
    }
    const auto response = answer(request, forcedStatus);
    if (!isLosingResponses && !isSilent_) {
        return !response.isCut && writeAll(socket, format(response));
    }
    const std::lock_guard lock(mutex_);
    silentConnections_.insert(&socket);
    return true;
}

FakeBackendServer::FakeBackendServer(std::string id)
    : id_(std::move(id))
    , handler_([](const PlainRequest &request, PlainSocket &socket) {
        return writeAll(socket, formatResponseWithDigest(request, "hello"));
    })
    , server_([this](const PlainRequest &request, PlainSocket &socket) {
        return respond(request, socket);
    })
{
}

void FakeBackendServer::setHandler(ThreadedServer::Handler handler)
{
    const std::lock_guard lock(mutex_);
    handler_ = std::move(handler);
}

std::string FakeBackendServer::listEntry(const std::string &service, const std::string &state, const std::string &address) const
{
    return json::serialize(json::object{{"service", service},
                                        {"address", address.empty() ? server_.address() : address},
                                        {"zone", "az-a"},
                                        {"slots", 8},
                                        {"state", state},
                                        {"cold_remaining_ms", 0},
                                        {"sequence", 1}});
}

std::map<std::string, int> FakeBackendServer::runCounts()
{
    const std::lock_guard lock(mutex_);
    return runCounts_;
}

int FakeBackendServer::runCount(const std::string &requestId)
{
    const std::lock_guard lock(mutex_);
    return runCounts_[requestId];
}

int FakeBackendServer::totalRunCount()
{
    const std::lock_guard lock(mutex_);
    int total = 0;
    for (const auto &[id, count] : runCounts_) {
        total += count;
    }
    return total;
}

PlainRequest FakeBackendServer::lastRequest()
{
    const std::lock_guard lock(mutex_);
    return lastRequest_;
}

bool FakeBackendServer::respond(const PlainRequest &request, PlainSocket &socket)
{
    if (request["Cyclamenspool-Expect-Instance"] != id_) {
        const std::string id(request["Cyclamenspool-Request-Id"]);
        return writeAll(socket, "HTTP/1.1 421 Misdirected Request\r\nCyclamenspool-Request-Id: " + id + "\r\nContent-Length: 0\r\n\r\n");
    }
    ThreadedServer::Handler handler;
    {
        const std::lock_guard lock(mutex_);
        ++runCounts_[std::string(request["Cyclamenspool-Request-Id"])];
        lastRequest_ = request;
        handler = handler_;
    }
    return handler(request, socket);
}

} // namespace cyclamenspool::harness
