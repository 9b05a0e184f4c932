#pragma once

#include <cyclamenspool/member/storereplica.h>
#include <cyclamenspool/platform/storechanges.h>
#include <cyclamenspool/platform/storeconnection.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <vector>

namespace cyclamenspool::platform {

/** @brief Result of a poll: one of the first three is called, unless a later poll of the same prefix has succeeded before, or the response is of a later era.
 */
struct StorePollCallbacks {
    std::function<void(const StoreChanges &)> onChanges;
    std::function<void()> onListNeeded; /**< The changes after the position are no longer available, or too large. */
    std::function<void(const std::string &)> onFailure; /**< Argument: reason. */
    std::function<void(const StoreResponse &)> onRead; /**< A response was read, with any status. */
    std::function<bool(std::uint64_t)> onEra; /**< Called first with the era of any response. Returns false if the era has ended: the poll then fails. */
    std::function<void(const std::string &, const std::string &)> onMalformed; /**< An item was skipped. Arguments: key, reason. */
};

/**
 * @brief Reads the changes under a key prefix of the platform's store without waiting for the next one.
 *
 * Polls may overlap, each on a connection of its own, so that one that is never answered delays no later one. A poll that succeeds cancels the earlier ones of
 * its prefix.
 */
class StorePoller
{
public:
    /** @brief Creates a poller without connections. @param context Runs all calls and callbacks. @param address IP address and port of the store. */
    StorePoller(boost::asio::io_context &context, std::string address);

    /**
     * @brief Starts a poll; does nothing while too many are in progress.
     * @param prefix Prefix of the keys.
     * @param position Position after which changes are requested; not empty.
     * @param maxBytes Size from which on the response is not read.
     * @param callbacks Receiver of the result.
     */
    void poll(const std::string &prefix, const member::StorePosition &position, std::uint64_t maxBytes, StorePollCallbacks callbacks);

    /** @brief Returns whether a response to a poll of a prefix is arriving, as StoreConnection::isReceiving(). */
    [[nodiscard]] bool isReceiving(const std::string &prefix) const;

    /** @brief Returns the time since the start of the oldest poll in progress; zero if there is none. */
    [[nodiscard]] std::chrono::milliseconds oldestAge() const;

    /** @brief Cancels all polls; none of their callbacks follows. */
    void stop();

private:
    struct Poll {
        std::string prefix;
        member::StorePosition position;
        std::uint64_t maxBytes = 0;
        StorePollCallbacks callbacks;
        std::unique_ptr<StoreConnection> connection;
        std::chrono::steady_clock::time_point startedAt;
        bool isCancelled = false;
    };
    using PollPtr = std::shared_ptr<Poll>;

    boost::asio::awaitable<void> run(PollPtr poll);
    void cancelEarlier(const Poll &succeeded);

    boost::asio::io_context &context_;
    std::string address_;
    std::list<PollPtr> running_; /* oldest first */
    std::unique_ptr<StoreConnection> idle_; /* of the latest successful poll; null: none */
};

} // namespace cyclamenspool::platform
