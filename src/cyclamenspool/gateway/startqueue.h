#pragma once

#include <cyclamenspool/gateway/starthold.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>

namespace cyclamenspool::gateway {

/** @brief Holds the requests of one worker while its gateway starts, see StartHold. All calls on the worker's thread, except where noted. */
class StartQueue
{
    struct State {
        StartHold hold;
        std::map<StartHold::Ticket, std::function<void()>> resumes;
    };

public:
    /** @brief Place of a held request; its destruction ends the hold. May outlive the queue. */
    class Place
    {
    public:
        /** @brief Creates the place of a request that was just held. */
        Place(std::shared_ptr<State> state, StartHold::Ticket ticket);
        ~Place();
        Place(const Place &) = delete;
        Place &operator=(const Place &) = delete;

    private:
        std::shared_ptr<State> state_;
        StartHold::Ticket ticket_;
    };

    /** @brief Creates a queue that holds nothing. @param context Context of the worker's thread. */
    explicit StartQueue(boost::asio::io_context &context);

    /** @brief Holds requests from now on. Call it before the worker runs. @param limits Bounds of this worker. */
    void begin(const StartHold::Limits &limits);

    /** @brief Sets the outlook. Thread safe; it takes effect later on the worker's thread. */
    void setOutlook(StartOutlook outlook);

    /** @brief Returns whether hold() may hold a request now. */
    [[nodiscard]] bool isHolding() const noexcept
    {
        return state_->hold.isHolding();
    }

    /** @brief Holds a request if it has to wait. @param resume Called once when the request goes on, unless its place is destroyed before. @return Place; null
     * if the request goes on now. */
    [[nodiscard]] std::unique_ptr<Place> hold(const StartHold::Request &request, std::function<void()> resume);

private:
    void resumeDue();

    boost::asio::io_context &context_;
    boost::asio::steady_timer timer_;
    std::shared_ptr<State> state_;
};

} // namespace cyclamenspool::gateway
