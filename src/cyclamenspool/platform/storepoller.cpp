#include <cyclamenspool/platform/storepoller.h>

#include <cyclamenspool/platform/storepage.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <utility>

namespace cyclamenspool::platform {

namespace internal {

constexpr std::chrono::milliseconds pollTimeout{2500};
constexpr std::size_t maxRunningPolls = 8;
constexpr std::chrono::milliseconds shortestWait{1};

} // namespace internal

StorePoller::StorePoller(boost::asio::io_context &context, std::string address)
    : context_(context)
    , address_(std::move(address))
{
}

void StorePoller::poll(const std::string &prefix, const member::StorePosition &position, std::uint64_t maxBytes, StorePollCallbacks callbacks)
{
    if (running_.size() >= internal::maxRunningPolls) {
        return;
    }
    auto poll = std::make_shared<Poll>();
    poll->prefix = prefix;
    poll->position = position;
    poll->maxBytes = maxBytes;
    poll->callbacks = std::move(callbacks);
    poll->connection = idle_ != nullptr ? std::move(idle_) : std::make_unique<StoreConnection>(context_, address_);
    poll->startedAt = std::chrono::steady_clock::now();
    running_.push_back(poll);
    boost::asio::co_spawn(context_, run(std::move(poll)), boost::asio::detached);
}

boost::asio::awaitable<void> StorePoller::run(PollPtr poll)
{
    const auto target = watchTarget(poll->prefix, poll->position, internal::shortestWait);
    StoreChanges changes;
    changes.asOf = poll->startedAt;
    std::string failure;
    bool isListNeeded = false;
    bool isOtherEra = false;
    try {
        const auto response = co_await poll->connection->get(target, {internal::pollTimeout, poll->maxBytes});
        poll->callbacks.onRead(response);
        if (!poll->callbacks.onEra(response.era)) {
            throw EraEnded();
        }
        isOtherEra = response.era != poll->position.era;
        const auto page = readWatchPage(response.content(), response.era, poll->callbacks.onMalformed);
        changes.items = page.items;
        changes.position = page.position;
    } catch (const RevisionCompacted &) {
        isListNeeded = true;
    } catch (const ResponseTooLarge &) {
        isListNeeded = true;
        poll->connection->close();
    } catch (const std::exception &error) {
        failure = error.what();
    }
    running_.remove(poll);
    if (poll->isCancelled) {
        co_return;
    }
    if (!failure.empty()) {
        poll->callbacks.onFailure(failure);
        co_return;
    }
    idle_ = std::move(poll->connection);
    cancelEarlier(*poll);
    // The changes of a later era do not follow on the position.
    if (isOtherEra) {
        co_return;
    }
    if (isListNeeded) {
        poll->callbacks.onListNeeded();
    } else {
        poll->callbacks.onChanges(changes);
    }
}

void StorePoller::cancelEarlier(const Poll &succeeded)
{
    for (const auto &poll : running_) {
        if (poll->prefix == succeeded.prefix && poll->startedAt < succeeded.startedAt) {
            poll->isCancelled = true;
            poll->connection->cancel();
        }
    }
}

bool StorePoller::isReceiving(const std::string &prefix) const
{
    return std::any_of(running_.begin(), running_.end(), [&prefix](const PollPtr &poll) {
        return poll->prefix == prefix && poll->connection->isReceiving();
    });
}

std::chrono::milliseconds StorePoller::oldestAge() const
{
    const auto now = std::chrono::steady_clock::now();
    auto oldest = std::chrono::milliseconds(0);
    for (const auto &poll : running_) {
        if (!poll->isCancelled) {
            oldest = std::max(oldest, std::chrono::duration_cast<std::chrono::milliseconds>(now - poll->startedAt));
        }
    }
    return oldest;
}

void StorePoller::stop()
{
    for (const auto &poll : running_) {
        poll->isCancelled = true;
        poll->connection->cancel();
    }
}

} // namespace cyclamenspool::platform
