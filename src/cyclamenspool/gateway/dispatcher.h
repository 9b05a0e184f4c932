#pragma once

#include <cyclamenspool/config/gatewaysettings.h>
#include <cyclamenspool/core/errorkind.h>
#include <cyclamenspool/gateway/fleet.h>
#include <cyclamenspool/gateway/historydirectory.h>
#include <cyclamenspool/gateway/placement.h>
#include <cyclamenspool/gateway/requestmeter.h>
#include <cyclamenspool/gateway/routetable.h>
#include <cyclamenspool/gateway/shares.h>
#include <cyclamenspool/platform/headers.h>
#include <cyclamenspool/policy/slidingcounter.h>

#include <boost/json/object.hpp>

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cyclamenspool::gateway {

/** @brief A request that the routing allows. */
struct Admission {
    std::shared_ptr<const RouteTable> table;
    const world::Route *route = nullptr; /**< Within the table. */
    std::string service;
    std::string workspace; /**< Empty: none. */
    std::uint64_t historyKey = 0; /**< Prompt part that should be warm; 0: none. */
    std::uint32_t historyTokens = 0; /**< Tokens of the prompt up to that part. */
    int urgency = 0; /**< 0 is the most urgent. */
};

class Dispatcher;

/** @brief A request's place at a backend server; gives it back when destroyed. */
class Ticket
{
public:
    /** @brief Creates a ticket. @param dispatcher Dispatcher. @param server Backend server. */
    Ticket(Dispatcher &dispatcher, ServerPtr server);
    ~Ticket();
    Ticket(const Ticket &) = delete;
    Ticket &operator=(const Ticket &) = delete;

    /** @brief Notes that bytes came from the backend server. */
    void heard();

    /** @brief Notes that the answer begins. */
    void begun();

    /** @brief Tells whether the backend server is silent towards this gateway. @return True if so. */
    [[nodiscard]] bool isServerSilent() const;

    /** @brief Gives the place back. @param outcome How the request ended. */
    void finish(Outcome outcome);

    /** @brief Returns the backend server's entry as it was at the placement. @return Entry. */
    [[nodiscard]] const world::BackendServer &server() const noexcept
    {
        return record_;
    }

private:
    Dispatcher &dispatcher_;
    ServerPtr server_;
    world::BackendServer record_;
    core::MonotonicTime opened_;
    bool isOpen_ = true;
};

/** @brief Result of a placement: a ticket, or why there is none. */
struct PlacementAnswer {
    std::unique_ptr<Ticket> ticket;
    std::string historySource; /**< Address of a backend server that holds the prompt's cache; empty: none is needed or known. */
    core::ErrorKind refusal = core::ErrorKind::NoCandidate;
    const char *reason = "";
};

/** @brief Counts of decisions since the start. */
struct DispatchCounts {
    std::uint64_t admitted = 0;
    std::uint64_t repeats = 0;
    std::array<std::uint64_t, static_cast<std::size_t>(Outcome::Count)> outcomes{};
    std::array<std::uint64_t, static_cast<std::size_t>(core::ErrorKind::Count)> refusals{};
};

/**
 * @brief All tables that decide on requests. Thread safe.
 *
 * One lock guards them; it is held for one decision at a time, and no other lock is taken while it is held.
 */
class Dispatcher
{
public:
    /** @brief Creates a dispatcher without a routing. @param settings Settings. */
    explicit Dispatcher(const config::GatewaySettings &settings);

    /** @brief Puts other bounds in force. @param settings Settings. */
    void setBounds(const config::GatewaySettings &settings);

    /** @brief Takes a version of the routing; an older one is passed over. @param routing Routing. @return True if it is now in force. */
    bool onRouting(world::Routing routing);

    /** @brief Runs a change of the fleet under the lock. @param change Function that takes the fleet and the time. */
    template<typename Change>
    void onFleet(const Change &change)
    {
        const std::lock_guard lock(mutex_);
        change(fleet_, std::chrono::steady_clock::now());
    }

    /** @brief Takes the news that a gateway is alive. @param vm Its VM. */
    void onGateway(const std::string &vm);

    /** @brief Returns the routing in force. @return Table; null: none is known. */
    [[nodiscard]] std::shared_ptr<const RouteTable> routes() const;

    /**
     * @brief Checks a request against the routing.
     * @param head Headers.
     * @param target Path with query.
     * @return Admission.
     * @throws core::Error StaleView without a routing, UnknownPath or UnknownApiKey.
     */
    [[nodiscard]] Admission admit(const platform::RequestHead &head, std::string_view target);

    /**
     * @brief Chooses a backend server for a request.
     * @param admission Request.
     * @param tried Backend servers that it was sent to; not empty: this is a repeat, which needs the retry budget.
     * @return Place or refusal.
     */
    [[nodiscard]] PlacementAnswer place(const Admission &admission, const std::vector<std::string> &tried);

    /** @brief Takes another gateway's placements. @param placements Placements. */
    void onPeerPlacements(const std::vector<HistoryPlacement> &placements);

    /**
     * @brief Lists histories that this gateway has sent to backend servers that did not hold them.
     * @param position Number of placements that were listed before; takes the number of all.
     * @return Placements since then, the newest of them if there were many.
     */
    [[nodiscard]] std::vector<HistoryPlacement> placementsSince(std::uint64_t &position) const;

    /** @brief Counts a refusal. @param kind Kind. */
    void onRefusal(core::ErrorKind kind);

    /** @brief Returns the counts. @return Copy. */
    [[nodiscard]] DispatchCounts counts() const;

    /** @brief Lists the backend servers. @return Copy with the evidence on each. */
    [[nodiscard]] std::vector<ServerView> servers() const;

    /** @brief Returns the latencies and the workspaces' counts. @return Meter. */
    [[nodiscard]] RequestMeter &meter() noexcept
    {
        return meter_;
    }

    /** @copydoc meter() */
    [[nodiscard]] const RequestMeter &meter() const noexcept
    {
        return meter_;
    }

private:
    friend class Ticket;

    struct ServiceUse {
        explicit ServiceUse(std::chrono::nanoseconds window)
            : requests(window)
            , repeats(window)
        {
        }

        policy::SlidingCounter requests;
        policy::SlidingCounter repeats;
    };

    void open(ServerState &server);
    void heard(ServerState &server);
    void begun(ServerState &server, core::MonotonicTime opened);
    [[nodiscard]] bool isSilent(const ServerState &server) const;
    void close(ServerState &server, Outcome outcome);
    [[nodiscard]] std::optional<boost::json::object> takeOutcome(ServerState &server, Outcome outcome);
    [[nodiscard]] std::string noteHistory(const PlacementQuery &query, const ServerState &server, core::MonotonicTime now);
    [[nodiscard]] PlacementBounds boundsOf(const Admission &admission) const;
    [[nodiscard]] ServiceUse &useOf(const std::string &service);
    [[nodiscard]] bool mayRepeat(const std::string &service, core::MonotonicTime now);

    RequestMeter meter_; /* has a lock of its own */
    mutable std::mutex mutex_; /* guards the members below; innermost */
    config::GatewaySettings settings_;
    std::shared_ptr<const RouteTable> routes_;
    Fleet fleet_;
    Shares shares_;
    HistoryDirectory histories_;
    std::deque<HistoryPlacement> placements_; /* newest last */
    std::uint64_t placementCount_ = 0; /* since the start */
    std::map<std::string, ServiceUse> uses_;
    DispatchCounts counts_;
};

} // namespace cyclamenspool::gateway
