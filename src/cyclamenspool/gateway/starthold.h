#pragma once

#include <cyclamenspool/core/now.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

namespace cyclamenspool::gateway {

/** @brief What a gateway that starts can expect of its routing and its list of backend servers. */
enum class StartOutlook : int {
    Pending, /**< They may be known within a second. */
    Away, /**< The store does not answer and no peer has them: nobody can say when they will be known. */
    Known, /**< Requests are admitted. */
};

/** @brief What a gateway that starts knows of its routing and its list of backend servers. */
struct StartFacts {
    bool isRoutingInForce = false;
    bool isRoutingAwaited = false; /**< A peer may still name the version in force, or has named one whose document is not here yet. */
    bool isListKnown = false; /**< List of backend servers. */
    bool isPeerRunning = false; /**< A peer with a routing in force has answered; it has a list too. */
    bool hasStoreFailed = false; /**< Repeatedly, for what is missing. */
    core::Milliseconds uptime{0}; /**< Time since the start. */
};

/** @brief Returns what a gateway with some knowledge can expect. What has not come within a second of the start is not waited for, except for the routing. */
[[nodiscard]] StartOutlook outlookOf(const StartFacts &facts) noexcept;

/** @brief Returns the name of an outlook, for the log. */
[[nodiscard]] const char *nameOf(StartOutlook outlook) noexcept;

/**
 * @brief Decides which requests are held while a gateway that starts has no routing in force yet, and when each goes on. Without I/O; not thread safe.
 *
 * The route of a held request is not known, so that each is held for at most three tenths of its caller's time and at most 1 s: then enough is left for a
 * refusal that its caller can act on. Held requests go on in the order in which they came, all before any later one.
 */
class StartHold
{
public:
    /** @brief Identifies a held request; rises with each one. */
    using Ticket = std::uint64_t;

    /** @brief Bounds of what is held at the same time. */
    struct Limits {
        std::size_t requests = 0;
        std::size_t bytes = 0; /**< Of headers and bodies. */
    };

    /** @brief A complete request. */
    struct Request {
        core::MonotonicTime arrivedAt{}; /**< Its first byte. */
        std::optional<core::Milliseconds> callerTimeout; /**< As in platform::RequestHead. */
        std::size_t bytes = 0;
    };

    /** @brief Sets the bounds; nothing is held by default. */
    void setLimits(const Limits &limits) noexcept
    {
        limits_ = limits;
    }

    /** @brief Sets the outlook; Known by default. */
    void setOutlook(StartOutlook outlook) noexcept
    {
        outlook_ = outlook;
    }

    /** @brief Returns whether hold() may hold a request now. */
    [[nodiscard]] bool isHolding() const noexcept
    {
        return !isOver() || !held_.empty();
    }

    /** @brief Holds a request if it has to wait. @return Ticket; empty if the request goes on now. */
    [[nodiscard]] std::optional<Ticket> hold(const Request &request, core::MonotonicTime now);

    /** @brief Ends the hold of a request whose caller has left, or that was refused; does nothing if it has gone on. */
    void remove(Ticket ticket);

    /** @brief Ends the hold of the first request that goes on now. @return Its ticket; empty if none goes on. */
    [[nodiscard]] std::optional<Ticket> takeNext(core::MonotonicTime now);

    /** @brief Returns the time at which takeNext() has a request; empty if none is held. */
    [[nodiscard]] std::optional<core::MonotonicTime> nextDue(core::MonotonicTime now) const;

    /** @brief Returns the number of held requests. */
    [[nodiscard]] std::size_t count() const noexcept
    {
        return held_.size();
    }

private:
    struct Held {
        core::MonotonicTime until{};
        std::size_t bytes = 0;
    };

    [[nodiscard]] bool isOver() const noexcept
    {
        return outlook_ != StartOutlook::Pending;
    }

    Limits limits_;
    StartOutlook outlook_ = StartOutlook::Known;
    std::map<Ticket, Held> held_;
    Ticket lastTicket_ = 0;
    std::size_t bytes_ = 0; /* of held_ */
};

} // namespace cyclamenspool::gateway
