#pragma once

#include <cyclamenspool/member/mirror.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace cyclamenspool::platform {

/** @brief What a follower of a prefix hears; called on the context's thread. */
struct StoreEvents {
    std::function<void(const member::ItemList &)> onList;
    std::function<void(const std::vector<member::Item> &, std::uint64_t)> onChanges; /**< Changes, and the revision up to which they are complete. */
    std::function<void(const std::string &)> onFailure; /**< A call failed. Argument: reason. */
    std::function<void(const std::string &, const std::string &)> onMalformed; /**< An item that is passed over. Arguments: key, reason. */
    std::function<std::uint64_t()> revision; /**< Revision from which the watch goes on; 0: a list is needed. */
};

/** @brief Times of a follower. */
struct StoreTimes {
    std::chrono::milliseconds wait{20000}; /**< Longest time that a watch waits for a change. */
    std::chrono::milliseconds pause{0}; /**< Between two watches, so that one answer holds several changes. */
};

/** @brief Follows one prefix of the platform's store on one connection: lists it, then watches it. */
class StoreClient
{
public:
    /** @brief Creates a client. @param context Context. @param address Store. @param prefix Prefix of the keys. @param times Times. @param events Events. */
    StoreClient(boost::asio::io_context &context, std::string address, std::string prefix, const StoreTimes &times, StoreEvents events);

    /** @brief Starts to follow. */
    void start();

    /** @brief Ends all calls. */
    void stop();

private:
    boost::asio::awaitable<void> follow();
    boost::asio::awaitable<void> step();
    boost::asio::awaitable<void> list();
    boost::asio::awaitable<void> watch();
    boost::asio::awaitable<std::string> call(std::string target, std::chrono::milliseconds timeout);
    boost::asio::awaitable<void> connect();
    boost::asio::awaitable<void> pause(std::chrono::milliseconds time);

    boost::asio::io_context &context_;
    std::string address_;
    std::string prefix_;
    StoreTimes times_;
    StoreEvents events_;
    boost::asio::steady_timer timer_;
    std::unique_ptr<boost::beast::tcp_stream> stream_;
    boost::beast::flat_buffer buffer_;
    bool listNeeded_ = false;
    bool hasFailed_ = false; /* the call before failed */
    std::atomic<bool> stopping_{false};
};

} // namespace cyclamenspool::platform
