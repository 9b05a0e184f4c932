#pragma once

#include <cyclamenspool/core/random.h>
#include <cyclamenspool/gateway/backendpool.h>
#include <cyclamenspool/gateway/dispatcher.h>
#include <cyclamenspool/gateway/fwd.h>

#include <boost/asio/io_context.hpp>

#include <atomic>
#include <set>

namespace cyclamenspool::gateway {

/** @brief One thread of the gateway with the connections that belong to it. */
class Worker
{
public:
    /** @brief Creates a worker. @param dispatcher Shared tables. @param seed Seed of its random numbers. */
    Worker(Dispatcher &dispatcher, std::uint64_t seed);

    /** @brief Runs until stop(). */
    void run();

    /** @brief Ends run(). Thread safe. */
    void stop();

    /** @brief Makes answers close their connections. Thread safe. */
    void beginDrain();

    /** @brief Makes new requests be refused. Thread safe. */
    void refuseNew() noexcept
    {
        refusing_ = true;
    }

    /** @brief Tells whether new requests are refused. @return True if so. */
    [[nodiscard]] bool isRefusing() const noexcept
    {
        return refusing_;
    }

    /** @brief Closes connections without a request. Thread safe. */
    void closeIdle();

    /** @brief Counts the callers' connections. Thread safe. @return Count. */
    [[nodiscard]] std::size_t sessions() const noexcept
    {
        return sessionCount_;
    }

    /** @brief Adds or removes a session. @param session Session. @param isOpen True to add it. */
    void onSession(CallerSession &session, bool isOpen);

    /** @brief Tells whether the process is shutting down. @return True if so. */
    [[nodiscard]] bool isDraining() const noexcept
    {
        return draining_;
    }

    /** @brief Returns the context. @return Context. */
    [[nodiscard]] boost::asio::io_context &context() noexcept
    {
        return context_;
    }

    /** @brief Returns the shared tables. @return Dispatcher. */
    [[nodiscard]] Dispatcher &dispatcher() noexcept
    {
        return dispatcher_;
    }

    /** @brief Returns the idle connections. @return Pool. */
    [[nodiscard]] BackendPool &pool() noexcept
    {
        return pool_;
    }

    /** @brief Returns the random source. @return Source. */
    [[nodiscard]] core::RandomSource &random() noexcept
    {
        return random_;
    }

private:
    boost::asio::io_context context_{1};
    Dispatcher &dispatcher_;
    BackendPool pool_;
    core::RandomSource random_;
    std::set<CallerSession *> sessions_;
    std::atomic<std::size_t> sessionCount_{0};
    std::atomic<bool> draining_{false};
    std::atomic<bool> refusing_{false};
};

} // namespace cyclamenspool::gateway
