#pragma once

#include <cyclamenspool/core/random.h>
#include <cyclamenspool/gateway/backendconnectionpool.h>
#include <cyclamenspool/gateway/dispatcher.h>
#include <cyclamenspool/gateway/fwd.h>

#include <boost/asio/io_context.hpp>

#include <atomic>
#include <set>

namespace cyclamenspool::gateway {

/**
 * @brief Event loop of one gateway thread, with the caller and backend connections that belong to it.
 *
 * Functions that are not marked as thread safe are called on the worker's own thread.
 */
class Worker
{
public:
    /** @brief Creates a worker. @param dispatcher Dispatcher, shared by all workers. @param seed Seed of the random source. */
    Worker(Dispatcher &dispatcher, std::uint64_t seed);

    /** @brief Runs the event loop on the calling thread until stop(). An exception of a handler is logged and ends that handler only. */
    void run();

    /** @brief Makes run() return. Thread safe. */
    void stop();

    /** @brief Starts draining: each connection is closed after its current response; an idle one, after its next response. Thread safe. */
    void beginDrain();

    /** @brief Refuses all further requests; follows beginDrain() in a shutdown. Thread safe. */
    void refuseNewRequests() noexcept
    {
        refusing_ = true;
    }

    /** @brief Returns whether new requests are refused. Thread safe. */
    [[nodiscard]] bool isRefusingRequests() const noexcept
    {
        return refusing_;
    }

    /** @brief Closes the caller connections without a request in progress. Thread safe; they are closed later on the worker's thread. */
    void closeIdleSessions();

    /** @brief Ends all requests in progress because the process is about to exit. Thread safe; they end later on the worker's thread. */
    void endRequests();

    /** @brief Returns the number of registered sessions, one for each caller connection. Thread safe. */
    [[nodiscard]] std::size_t sessionCount() const noexcept
    {
        return sessionCount_;
    }

    /** @brief Registers or unregisters a session; called by its constructor and destructor. @param isRegistered False to unregister. */
    void setSessionRegistered(CallerSession &session, bool isRegistered);

    /** @brief Returns whether connections are closed after their current or next response. Thread safe. */
    [[nodiscard]] bool isDraining() const noexcept
    {
        return draining_;
    }

    /** @brief Returns the event loop's context; other threads may post to it. */
    [[nodiscard]] boost::asio::io_context &context() noexcept
    {
        return context_;
    }

    /** @brief Returns the dispatcher, which all workers share. */
    [[nodiscard]] Dispatcher &dispatcher() noexcept
    {
        return dispatcher_;
    }

    /** @brief Returns the idle connections to backend servers. */
    [[nodiscard]] BackendConnectionPool &connectionPool() noexcept
    {
        return connectionPool_;
    }

    /** @brief Returns the worker's random source. */
    [[nodiscard]] core::RandomSource &random() noexcept
    {
        return random_;
    }

private:
    void forEachSession(void (CallerSession::*action)());

    Dispatcher &dispatcher_;
    core::RandomSource random_;
    std::set<CallerSession *> sessions_;
    std::atomic<std::size_t> sessionCount_{0};
    std::atomic<bool> draining_{false};
    std::atomic<bool> refusing_{false};
    boost::asio::io_context context_{1}; /* its destructor ends the sessions that are still open, which unregister from sessions_ */
    BackendConnectionPool connectionPool_; /* its sockets belong to context_ */
};

} // namespace cyclamenspool::gateway
