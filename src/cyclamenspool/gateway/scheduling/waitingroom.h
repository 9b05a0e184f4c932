#pragma once

#include <cyclamenspool/core/now.h>

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace cyclamenspool::gateway::scheduling {

using Ticket = std::uint64_t; /**< Names a waiting request; 0: none. */
using Wake = std::function<void()>; /**< Resumes a waiting request; called on any thread. */

class WorkspaceUsage;

/** @brief Request that is to be sent to a service. */
struct QueuedRequest {
    std::string workspace; /**< Empty: none. */
    int urgency = 0; /**< 0 is the most urgent. */
    core::MonotonicTime arrivedAt{};
};

/**
 * @brief Requests that wait at this gateway for one service. Not thread safe.
 *
 * Each has one owner, which holds its ticket and removes it. The next one is the most urgent; among equals, that of the workspace which has used the service
 * least, each of its earlier waiting requests counted as used; then the one that arrived first.
 */
class WaitingRoom
{
public:
    /** @brief Adds a request. @param request Request. @param wake Called, by the caller of next() or takeAll(), when it may be sent. @return Ticket; 0 if the
     * room is full. */
    [[nodiscard]] Ticket add(QueuedRequest request, Wake wake);

    /** @brief Removes a request. @return True if it had been chosen by next(). */
    bool remove(Ticket ticket);

    /** @brief Chooses the next request, which keeps its place until it is removed. @return Its function; empty if none waits. */
    [[nodiscard]] Wake next(const WorkspaceUsage &usage, core::MonotonicTime now);

    /** @brief Returns the functions of all requests that wait, in order of arrival; they keep waiting. */
    [[nodiscard]] std::vector<Wake> all() const;

    /** @brief Returns the number of waiting requests that come before another one. @param request The other one; not in the room. */
    [[nodiscard]] std::size_t positionOf(const QueuedRequest &request, const WorkspaceUsage &usage, core::MonotonicTime now) const;

    /** @brief Returns the number of requests that wait and were not chosen yet. */
    [[nodiscard]] std::size_t waiting() const noexcept
    {
        return entries_.size() - chosen_;
    }

    /** @brief Returns the number of requests that were chosen and not removed yet. */
    [[nodiscard]] std::size_t chosen() const noexcept
    {
        return chosen_;
    }

private:
    struct Entry {
        Ticket ticket = 0;
        QueuedRequest request;
        Wake wake;
        bool isChosen = false;
    };

    std::vector<Entry> entries_; /* in order of arrival */
    std::size_t chosen_ = 0; /* of entries_ */
    Ticket lastTicket_ = 0;
};

} // namespace cyclamenspool::gateway::scheduling
