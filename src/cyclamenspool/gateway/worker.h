#pragma once

#include <cyclamenspool/core/random.h>
#include <cyclamenspool/gateway/backendconnectionpool.h>
#include <cyclamenspool/gateway/dispatcher.h>
#include <cyclamenspool/gateway/fwd.h>
#include <cyclamenspool/gateway/shutdownplan.h>
#include <cyclamenspool/gateway/startqueue.h>

#include <boost/asio/io_context.hpp>

#include <atomic>
#include <cstdint>
#include <set>

namespace cyclamenspool::gateway {

/** @brief How requests ended; a response that the process's exit cuts off is counted twice. Thread safe. */
struct RequestTally {
    std::atomic<std::uint64_t> taken{0}; /**< Complete requests read. */
    std::atomic<std::uint64_t> answered{0}; /**< Complete responses of backend servers. */
    std::atomic<std::uint64_t> refused{0}; /**< Responses of the gateway itself. */
    std::atomic<std::uint64_t> cut{0}; /**< Responses that were broken off. */
    std::atomic<std::uint64_t> callerGone{0}; /**< Callers that left before the end of the response. */
};

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

    /** @brief Makes run() return once what was queued before has run. Thread safe. */
    void stop();

    /** @brief Sets the times of a shutdown. Thread safe. @param plan Times; replace those of an earlier call. */
    void setShutdownPlan(const ShutdownPlan &plan) noexcept;

    /** @brief Returns whether each connection is closed after its current response; an idle one, after its next response. Thread safe. */
    [[nodiscard]] bool isDraining() const noexcept;

    /** @brief Returns whether new requests are refused. Thread safe. */
    [[nodiscard]] bool isRefusingRequests() const noexcept;

    /** @brief Returns the time left until the requests in progress are ended; very long without a shutdown. Thread safe. */
    [[nodiscard]] core::MonotonicTime::duration timeUntilRequestsEnd() const noexcept;

    /** @brief Closes the caller connections without a request in progress. Thread safe; they are closed later on the worker's thread. */
    void closeIdleSessions();

    /** @brief Ends all requests in progress because the process is about to exit. Thread safe; they end later on the worker's thread. */
    void endRequests();

    /** @brief Returns the number of caller connections, from their accept to their end. Thread safe. */
    [[nodiscard]] std::size_t sessionCount() const noexcept
    {
        return sessionCount_;
    }

    /** @brief Counts a new session; called by its constructor, on any thread. */
    void countSession() noexcept
    {
        ++sessionCount_;
    }

    /** @brief Adds a session to those that closeIdleSessions() and endRequests() reach. */
    void addSession(CallerSession &session);

    /** @brief Removes a session; called by its destructor. */
    void removeSession(CallerSession &session);

    /** @brief Returns how the requests of this worker ended. Thread safe. */
    [[nodiscard]] RequestTally &tally() noexcept
    {
        return tally_;
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

    /** @brief Returns the requests that are held while the gateway starts. */
    [[nodiscard]] StartQueue &startQueue() noexcept
    {
        return startQueue_;
    }

    /** @brief Returns the worker's random source. */
    [[nodiscard]] core::RandomSource &random() noexcept
    {
        return random_;
    }

private:
    [[nodiscard]] static bool hasPassed(const std::atomic<core::MonotonicTime> &time) noexcept;
    void forEachSession(void (CallerSession::*action)());

    Dispatcher &dispatcher_;
    core::RandomSource random_;
    std::set<CallerSession *> sessions_; /* started ones */
    std::atomic<std::size_t> sessionCount_{0};
    std::atomic<core::MonotonicTime> drainFrom_{core::MonotonicTime::max()};
    std::atomic<core::MonotonicTime> refuseFrom_{core::MonotonicTime::max()};
    std::atomic<core::MonotonicTime> requestsEndAt_{core::MonotonicTime::max()};
    RequestTally tally_;
    boost::asio::io_context context_{1}; /* its destructor ends the sessions that are still open, which unregister from sessions_ */
    BackendConnectionPool connectionPool_; /* its sockets belong to context_ */
    StartQueue startQueue_;
};

} // namespace cyclamenspool::gateway
