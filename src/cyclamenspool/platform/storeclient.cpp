#include <cyclamenspool/platform/storeclient.h>

#include <cyclamenspool/platform/storepage.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <iterator>
#include <string_view>
#include <utility>

namespace cyclamenspool::platform {

namespace asio = boost::asio;

namespace internal {

constexpr std::chrono::milliseconds callTimeout{2500}; /* of a list; for a watch, added to the time that it waits for a change */
constexpr std::chrono::milliseconds minRetryPause{200};
constexpr std::chrono::milliseconds maxRetryPause{800}; /* while there is a copy to work with */
constexpr std::chrono::milliseconds copyCheckPeriod{50}; /* between two looks for a copy from elsewhere that makes a list unnecessary */
constexpr std::chrono::milliseconds waitAfterFailure{50}; /* longest wait of the first watch after a failure, so that the recovery is noticed at once */

/** @brief Percent-encodes a key; keys of other writers may hold any bytes. */
std::string encodeQueryValue(const std::string &text)
{
    constexpr std::string_view plain = "-._~/";
    constexpr std::string_view digits = "0123456789ABCDEF";
    std::string encoded;
    for (const char each : text) {
        const auto byte = static_cast<unsigned char>(each);
        const bool isAlphanumeric = (each >= '0' && each <= '9') || (each >= 'A' && each <= 'Z') || (each >= 'a' && each <= 'z');
        if (isAlphanumeric || plain.find(each) != std::string_view::npos) {
            encoded += each;
        } else {
            encoded += '%';
            encoded += digits[byte >> 4U];
            encoded += digits[byte & 0xfU];
        }
    }
    return encoded;
}

} // namespace internal

StoreClient::StoreClient(asio::io_context &context, std::string address, std::string prefix, StoreCallbacks callbacks)
    : context_(context)
    , prefix_(std::move(prefix))
    , callbacks_(std::move(callbacks))
    , timer_(context)
    , connection_(context, std::move(address))
{
}

void StoreClient::start()
{
    asio::co_spawn(context_, run(), asio::detached);
}

void StoreClient::stop()
{
    stopping_ = true;
    timer_.cancel();
    connection_.cancel();
}

void StoreClient::replaceCall()
{
    if (isCalling_) {
        isCallReplaced_ = true;
        connection_.cancel();
    }
}

void StoreClient::restart()
{
    replaceCall();
    timer_.cancel();
}

void StoreClient::relist()
{
    needsList_ = true;
    restart();
}

asio::awaitable<void> StoreClient::run()
{
    while (!stopping_) {
        std::string failure;
        bool isCompacted = false;
        try {
            co_await listOrWatch();
        } catch (const RevisionCompacted &) {
            needsList_ = true;
            isCompacted = true;
        } catch (const ResponseTooLarge &) {
            needsList_ = true;
            connection_.close();
            callbacks_.onWatchGivenUp();
        } catch (const std::exception &error) {
            failure = error.what();
        }
        isCalling_ = false;
        if (!failure.empty()) {
            connection_.close();
        }
        if (std::exchange(isCallReplaced_, false) && !failure.empty()) {
            continue;
        }
        if (!failure.empty() && !stopping_) {
            hasFailed_ = true;
            callbacks_.onFailure(failure);
        }
        failuresInRow_ += failure.empty() ? 0 : 1;
        compactionsInRow_ += isCompacted ? 1 : 0;
        // The list that follows a compaction is not delayed, unless that list was compacted too.
        if (!failure.empty()) {
            co_await pause(retryPause(failuresInRow_));
        } else if (isCompacted && compactionsInRow_ > 1) {
            co_await pause(retryPause(compactionsInRow_));
        }
        co_await pauseWhileUpToDate();
    }
}

std::chrono::milliseconds StoreClient::retryPause(int triesInRow) const
{
    if (callbacks_.position().isEmpty()) {
        return internal::minRetryPause;
    }
    constexpr int maxDoublings = 2;
    return std::min(internal::minRetryPause * (1 << std::min(triesInRow - 1, maxDoublings)), internal::maxRetryPause);
}

asio::awaitable<void> StoreClient::pauseWhileUpToDate()
{
    auto left = callbacks_.pauseLeft();
    while (left.count() > 0 && !stopping_ && !needsList_) {
        co_await pause(left);
        left = callbacks_.pauseLeft();
    }
}

asio::awaitable<void> StoreClient::pauseBeforeList()
{
    while (callbacks_.position().isEmpty() && callbacks_.listDelay().count() > 0 && !stopping_ && !needsList_) {
        co_await pause(std::min(callbacks_.listDelay(), internal::copyCheckPeriod));
    }
}

asio::awaitable<void> StoreClient::listOrWatch()
{
    co_await pauseBeforeList();
    if (needsList_ || callbacks_.position().isEmpty()) {
        co_await list();
        needsList_ = false;
    } else {
        co_await watch();
    }
}

asio::awaitable<void> StoreClient::list()
{
    member::StoreSnapshot all;
    std::string after;
    bool hasMore = true;
    while (hasMore) {
        std::string target = "/-/kv-range?prefix=" + prefix_;
        if (!after.empty()) {
            target += "&after=" + internal::encodeQueryValue(after);
        }
        const auto response = co_await call("list", target, {internal::callTimeout});
        auto page = readListPage(response.content(), response.era, callbacks_.onMalformed);
        const bool isFirst = all.position.isEmpty();
        if (!isFirst && page.position.era != all.position.era) {
            all = {};
            after.clear();
            continue;
        }
        // The pages are not one snapshot, so the watch continues from the first page's position.
        if (isFirst) {
            all.position = page.position;
        }
        std::move(page.items.begin(), page.items.end(), std::back_inserter(all.items));
        after = page.lastKey;
        hasMore = page.hasMore;
    }
    callbacks_.onList(all);
}

asio::awaitable<void> StoreClient::watch()
{
    const auto wait = hasFailed_ ? internal::waitAfterFailure : callbacks_.watchTime();
    const auto position = callbacks_.position();
    const auto target = watchTarget(prefix_, position, wait);
    const auto response = co_await call("watch", target, {wait + internal::callTimeout, callbacks_.maxWatchBytes()});
    const bool isOtherEra = response.era != position.era;
    if (isOtherEra && response.isCompacted()) {
        co_return;
    }
    const auto page = readWatchPage(response.content(), response.era, callbacks_.onMalformed);
    if (!isOtherEra) {
        hasFailed_ = false;
        failuresInRow_ = 0;
        compactionsInRow_ = 0;
        callbacks_.onChanges({page.items, page.position, response.headersAt});
    }
}

asio::awaitable<StoreResponse> StoreClient::call(const char *name, std::string target, StoreCallLimits limits)
{
    isCalling_ = true;
    auto response = co_await connection_.get(std::move(target), limits);
    callbacks_.onRead(name, response);
    if (!callbacks_.onEra(response.era)) {
        throw EraEnded();
    }
    co_return response;
}

asio::awaitable<void> StoreClient::pause(std::chrono::milliseconds time)
{
    timer_.expires_after(time);
    boost::system::error_code ignored;
    co_await timer_.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

} // namespace cyclamenspool::platform
