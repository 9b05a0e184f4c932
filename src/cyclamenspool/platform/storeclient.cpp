#include <cyclamenspool/platform/storeclient.h>

#include <cyclamenspool/platform/storepage.h>
#include <cyclamenspool/wire/endpoint.h>
#include <cyclamenspool/wire/liveness.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <iterator>
#include <stdexcept>

namespace cyclamenspool::platform {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace bhttp = boost::beast::http;

namespace internal {

constexpr std::chrono::milliseconds connectTimeout{800};
constexpr std::chrono::milliseconds callTimeout{2500}; /* beside the time that a watch waits */
constexpr std::chrono::milliseconds retryPause{200};
constexpr wire::Liveness storeLiveness{std::chrono::milliseconds(2000), std::chrono::seconds(1), 2};
constexpr std::chrono::milliseconds firstWait{50}; /* of the watch after a failure, so that the store's return is noticed at once */
constexpr std::uint64_t answerBytes = 64UL * 1024 * 1024;
constexpr unsigned historyGone = 410;

/** @brief The store no longer holds the changes since the revision asked for. */
class HistoryGone : public std::runtime_error
{
public:
    HistoryGone()
        : std::runtime_error("the store has dropped its history")
    {
    }
};

} // namespace internal

StoreClient::StoreClient(asio::io_context &context, std::string address, std::string prefix, const StoreTimes &times, StoreEvents events)
    : context_(context)
    , address_(std::move(address))
    , prefix_(std::move(prefix))
    , times_(times)
    , events_(std::move(events))
    , timer_(context)
{
}

void StoreClient::start()
{
    asio::co_spawn(context_, follow(), asio::detached);
}

void StoreClient::stop()
{
    stopping_ = true;
    timer_.cancel();
    if (stream_ != nullptr) {
        stream_->cancel();
    }
}

asio::awaitable<void> StoreClient::follow()
{
    while (!stopping_) {
        std::string failure;
        try {
            co_await step();
        } catch (const internal::HistoryGone &) {
            listNeeded_ = true;
        } catch (const std::exception &error) {
            failure = error.what();
        }
        if (!failure.empty() && !stopping_) {
            stream_.reset();
            hasFailed_ = true;
            events_.onFailure(failure);
            co_await pause(internal::retryPause);
        }
    }
}

asio::awaitable<void> StoreClient::step()
{
    if (listNeeded_ || events_.revision() == 0) {
        co_await list();
        listNeeded_ = false;
    } else {
        co_await watch();
    }
    if (times_.pause.count() > 0) {
        co_await pause(times_.pause);
    }
}

asio::awaitable<void> StoreClient::list()
{
    member::ItemList whole;
    std::string after;
    bool more = true;
    while (more) {
        std::string target = "/-/kv-range?prefix=" + prefix_;
        if (!after.empty()) {
            target += "&after=" + after;
        }
        auto page = readListPage(co_await call(target, internal::callTimeout), events_.onMalformed);
        // Pages are no snapshot: the watch goes on from the first page's revision.
        if (whole.revision == 0) {
            whole.revision = page.revision;
        }
        std::move(page.items.begin(), page.items.end(), std::back_inserter(whole.items));
        after = page.lastKey;
        more = page.hasMore;
    }
    events_.onList(whole);
}

asio::awaitable<void> StoreClient::watch()
{
    const auto wait = hasFailed_ ? internal::firstWait : times_.wait;
    const std::string target = "/-/kv-watch?prefix=" + prefix_ + "&after=" + std::to_string(events_.revision()) + "&wait_ms=" + std::to_string(wait.count());
    const auto page = readWatchPage(co_await call(target, wait + internal::callTimeout), events_.onMalformed);
    hasFailed_ = false;
    events_.onChanges(page.items, page.revision);
}

asio::awaitable<void> StoreClient::connect()
{
    buffer_.clear();
    stream_ = std::make_unique<beast::tcp_stream>(context_);
    stream_->expires_after(internal::connectTimeout);
    co_await stream_->async_connect(wire::endpointOf(address_), asio::use_awaitable);
    wire::setLiveness(stream_->socket(), internal::storeLiveness);
}

asio::awaitable<std::string> StoreClient::call(std::string target, std::chrono::milliseconds timeout)
{
    if (stream_ == nullptr) {
        co_await connect();
    }
    bhttp::request<bhttp::empty_body> request(bhttp::verb::get, target, 11);
    request.set(bhttp::field::host, address_);
    stream_->expires_after(timeout);
    co_await bhttp::async_write(*stream_, request, asio::use_awaitable);
    bhttp::response_parser<bhttp::string_body> parser;
    parser.body_limit(internal::answerBytes);
    co_await bhttp::async_read(*stream_, buffer_, parser, asio::use_awaitable);
    auto response = parser.release();
    if (!response.keep_alive()) {
        stream_.reset();
    }
    if (response.result_int() == internal::historyGone) {
        throw internal::HistoryGone();
    }
    if (response.result() != bhttp::status::ok) {
        throw std::runtime_error("the store answered " + std::to_string(response.result_int()));
    }
    co_return std::move(response.body());
}

asio::awaitable<void> StoreClient::pause(std::chrono::milliseconds time)
{
    timer_.expires_after(time);
    boost::system::error_code ignored;
    co_await timer_.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

} // namespace cyclamenspool::platform
