#pragma once

#include <cyclamenspool/member/storereplica.h>
#include <cyclamenspool/platform/storechanges.h>
#include <cyclamenspool/platform/storeconnection.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <string>

namespace cyclamenspool::platform {

/** @brief Callbacks of a store client; all are called on the context's thread. */
struct StoreCallbacks {
    std::function<void(const member::StoreSnapshot &)> onList; /**< All items of the prefix were listed. */
    std::function<void(const StoreChanges &)> onChanges; /**< Changes whose position continues the one of the call. */
    std::function<bool(std::uint64_t)>
        onEra; /**< Handles the era of any response before its content. Returns false if the era has ended: the call then fails. */
    std::function<void(const char *, const StoreResponse &)> onRead; /**< A response was read. Arguments: "list" or "watch", response. */
    std::function<void()> onWatchGivenUp; /**< A watch's response is too large to be read; the prefix is listed next. */
    std::function<void(const std::string &)> onFailure; /**< A call failed. Argument: reason. */
    std::function<void(const std::string &, const std::string &)> onMalformed; /**< An item was skipped. Arguments: key, reason. */
    std::function<member::StorePosition()> position; /**< Returns the position after which the watch continues; empty: list first. */
    std::function<std::chrono::milliseconds()> listDelay; /**< Returns the time until a list is needed while the position is empty; 0: now. */
    std::function<std::chrono::milliseconds()> pauseLeft; /**< Returns the time until the next watch is needed; 0: now. Asked again after that time. */
    std::function<std::chrono::milliseconds()> watchTime; /**< Returns the longest time that the store may hold the next watch without a change. */
    std::function<std::uint64_t()> maxWatchBytes; /**< Returns the size from which on a watch's response is not read; the prefix is listed instead. */
};

/**
 * @brief Client of the platform's store for one key prefix: lists it, then watches it for changes, on one connection. Retries until stopped.
 *
 * The response to a watch from one era may come from a later one, whose changes do not follow on the copy: it is not used, and the prefix is listed. A list
 * whose pages are of several eras is started anew.
 *
 * A watch returns every version of an item, a list only the latest. On a link that carries them more slowly than they are written, a watch would fall behind
 * further with each call, so a large response is given up for a list, which is always read to its end.
 */
class StoreClient
{
public:
    /**
     * @brief Creates a client without a connection.
     * @param context Runs all calls and callbacks.
     * @param address IP address and port of the store.
     * @param prefix Prefix of the keys.
     * @param callbacks Receiver of the items and failures.
     */
    StoreClient(boost::asio::io_context &context, std::string address, std::string prefix, StoreCallbacks callbacks);

    /** @brief Starts listing and watching. */
    void start();

    /** @brief Returns the time for which the call in progress has waited for its response headers; zero if none waits. */
    [[nodiscard]] std::chrono::milliseconds waitingTime() const
    {
        return connection_.waitingTime();
    }

    /** @brief Returns whether a response body is arriving, as StoreConnection::isReceiving(). */
    [[nodiscard]] bool isReceiving() const
    {
        return connection_.isReceiving();
    }

    /** @brief Replaces the call in progress, if any, by a new one on a new connection; does not count as a failure. */
    void replaceCall();

    /** @brief Begins anew after the position became empty: replaces the call in progress, if any, and ends a pause. */
    void restart();

    /** @brief Lists again at once, as the store has compacted the changes after the position; replaces the call in progress. */
    void relist();

    /** @brief Cancels the call in progress and ends the watch for good. Call on the context's thread. */
    void stop();

private:
    boost::asio::awaitable<void> run();
    boost::asio::awaitable<void> listOrWatch();
    boost::asio::awaitable<void> list();
    boost::asio::awaitable<void> watch();
    boost::asio::awaitable<StoreResponse> call(const char *name, std::string target, StoreCallLimits limits);
    boost::asio::awaitable<void> pause(std::chrono::milliseconds time);
    boost::asio::awaitable<void> pauseWhileUpToDate();
    boost::asio::awaitable<void> pauseBeforeList();
    [[nodiscard]] std::chrono::milliseconds retryPause(int triesInRow) const;

    boost::asio::io_context &context_;
    std::string prefix_;
    StoreCallbacks callbacks_;
    boost::asio::steady_timer timer_;
    StoreConnection connection_;
    bool isCalling_ = false;
    bool isCallReplaced_ = false;
    bool needsList_ = false; /* the changes after the position are not available, or too large */
    int failuresInRow_ = 0; /* since the last successful watch */
    int compactionsInRow_ = 0; /* likewise */
    bool hasFailed_ = false; /* a call has failed since the last successful watch; shortens the wait of the next watch */
    std::atomic<bool> stopping_{false};
};

} // namespace cyclamenspool::platform
