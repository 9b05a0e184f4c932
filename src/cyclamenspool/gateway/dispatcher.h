#pragma once

#include <cyclamenspool/config/gatewaysettings.h>
#include <cyclamenspool/core/errorkind.h>
#include <cyclamenspool/gateway/bodymemory.h>
#include <cyclamenspool/gateway/fleet.h>
#include <cyclamenspool/gateway/historydirectory.h>
#include <cyclamenspool/gateway/historyprefixes.h>
#include <cyclamenspool/gateway/limitsplitter.h>
#include <cyclamenspool/gateway/placement.h>
#include <cyclamenspool/gateway/promptquarantine.h>
#include <cyclamenspool/gateway/requestmeter.h>
#include <cyclamenspool/gateway/routetable.h>
#include <cyclamenspool/gateway/scheduling/servicecapacity.h>
#include <cyclamenspool/gateway/scheduling/servicequeue.h>
#include <cyclamenspool/gateway/scheduling/spenttimeestimator.h>
#include <cyclamenspool/gateway/scheduling/verdict.h>
#include <cyclamenspool/gateway/servicebacklog.h>
#include <cyclamenspool/platform/headers.h>
#include <cyclamenspool/policy/slidingwindowcounter.h>
#include <cyclamenspool/telemetry/histogram.h>

#include <boost/json/object.hpp>

#include <array>
#include <atomic>
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

/** @brief A request that was checked against the routing configuration, with what it matched. */
struct Admission {
    std::shared_ptr<const RouteTable> table;
    const world::Route *route = nullptr; /**< Owned by the table. */
    std::string service;
    std::string workspace; /**< Empty: none. */
    std::vector<HistoryPrefix> history; /**< Prefixes of its prompt, see historyPrefixesOf(); empty: none. */
    PromptParts quarantineKeys; /**< First parts of its prompt, except the last, which belongs to the request or its chat, and the fingerprint of the whole
                                 request, which the exchange adds. */
    std::uint32_t promptTokens = 0; /**< Of the whole prompt; 0: none, or its route does not use the prompt cache. */
    int urgency = 0; /**< 0 is the most urgent. */

    /** @brief Returns the hash that identifies the history; 0: none. */
    [[nodiscard]] std::uint64_t historyKey() const noexcept
    {
        return history.empty() ? 0 : history.back().key;
    }
};

/** @brief Prompt parts that are suspected to crash backend servers, and those in quarantine. */
struct QuarantineView {
    std::size_t suspects = 0; /**< Not in quarantine. */
    std::vector<QuarantinedPart> quarantined;
};

/** @brief Times to the first event of requests with an estimate, and what still waits for it. */
struct FirstEventView {
    telemetry::Histogram expected; /**< When they were sent. */
    telemetry::Histogram actual; /**< Of the same requests. */
    std::map<std::string, scheduling::PromptSum> pending; /**< This gateway's prompts that wait for their first event, by service. */
};

class Dispatcher;

/** @brief Guard of a request in flight at a backend server; ends it as abandoned on destruction. */
class InFlightRequest
{
public:
    /** @brief Creates the guard of a request that the dispatcher has just counted. @param dispatcher Must outlive the guard. @param server Backend server.
     * @param workspace The request's workspace; empty: none. @param prompt Its prompt; empty: its time to the first event is not estimated. */
    InFlightRequest(Dispatcher &dispatcher, ServerPtr server, std::string workspace, const std::optional<scheduling::SentPrompt> &prompt);
    ~InFlightRequest();
    InFlightRequest(const InFlightRequest &) = delete;
    InFlightRequest &operator=(const InFlightRequest &) = delete;

    /** @brief Records that bytes were received from the backend server. */
    void onBytesReceived();

    /** @brief Records that the response headers were received. */
    void onHeadersReceived();

    /** @brief Records what the backend server says of itself in the response. */
    void onStatement(const platform::ServerStatement &statement);

    /** @brief Records the load that the backend server reports in the response. */
    void onLoadReport(const platform::ResponseHead &head);

    /** @brief Returns whether the backend server is unresponsive to the requests of this gateway. */
    [[nodiscard]] bool isServerUnresponsive() const;

    /** @brief Sets the target for the response headers of a request to a service without prompts, whose response time then adapts the service's limit. */
    void setObjective(core::Milliseconds objective) noexcept
    {
        objective_ = objective;
    }

    /** @brief Ends the request and records its outcome; later calls have no effect. */
    void finish(Outcome outcome);

    /** @brief Returns the backend server's entry as of the placement. */
    [[nodiscard]] const world::BackendServer &server() const noexcept
    {
        return serverEntry_;
    }

private:
    Dispatcher &dispatcher_;
    ServerPtr server_;
    world::BackendServer serverEntry_;
    std::string workspace_;
    core::MonotonicTime placedAt_;
    core::MonotonicTime::duration timeToHeaders_{};
    core::Milliseconds objective_{0}; /* zero: not set */
    std::optional<scheduling::SentPrompt> prompt_;
    bool isAwaitingHeaders_ = true;
    bool isOpen_ = true;
};

/** @brief Guard of a request that waits at this gateway; gives up its place on destruction. */
class HeldRequest
{
public:
    /** @brief Creates the guard of a request that the dispatcher has just held. @param dispatcher Must outlive the guard. @param service Its service. */
    HeldRequest(Dispatcher &dispatcher, std::string service, scheduling::Ticket ticket);
    ~HeldRequest();
    HeldRequest(const HeldRequest &) = delete;
    HeldRequest &operator=(const HeldRequest &) = delete;

    /** @brief Returns the service whose queue holds the request. */
    [[nodiscard]] const std::string &service() const noexcept
    {
        return service_;
    }

    /** @brief Returns its ticket in that queue. */
    [[nodiscard]] scheduling::Ticket ticket() const noexcept
    {
        return ticket_;
    }

private:
    Dispatcher &dispatcher_;
    std::string service_;
    scheduling::Ticket ticket_;
};

/** @brief How a request can wait at this gateway. */
struct HoldOffer {
    std::string requestId; /**< For the log. */
    core::MonotonicTime arrivedAt{};
    core::Milliseconds callerTimeout{0}; /**< As in platform::RequestHead; zero: not given. */
    scheduling::Wake wake; /**< Resumes the request; called on any thread, without a lock. */
    std::unique_ptr<HeldRequest> earlier; /**< Hold that ends with this attempt; null: none. */
};

/** @brief Guard of a placed request, or the reason why it was refused. */
struct PlacementResult {
    std::unique_ptr<InFlightRequest> inFlight;
    std::string historySource; /**< Address of a backend server from whose prompt cache the history can be fetched; empty: none is needed or known. */
    core::ErrorKind refusal = core::ErrorKind::NoCandidate;
    const char *reason = ""; /**< Reason of the choice or of the refusal, for the log. */
    core::Milliseconds availableIn{0}; /**< As in Placement. */
    scheduling::Decision decision{}; /**< Meaningful without inFlight only. */
    std::string estimatedServer{}; /**< Id of the backend server of the estimate; empty: none. */
    std::optional<scheduling::FirstEventEstimate> estimate{}; /**< On which the choice or the refusal is based. */
    std::unique_ptr<HeldRequest> held{}; /**< Set if the request waits; see Dispatcher::placeOrHold(). */
    core::Milliseconds recheckIn{0}; /**< Of a waiting request: time after which it is placed anew if it was not woken. */
};

/** @brief Counts of the requests that waited at this gateway, since the start. */
struct HoldCounts {
    std::uint64_t held = 0; /**< Holds; a request that is decided anew may count again. */
    std::uint64_t sent = 0; /**< Requests that were sent after they were held. */
    std::uint64_t rejected = 0; /**< Requests that were refused as they would have waited too long. */
    telemetry::Histogram waits; /**< Of the sent ones, from the arrival to the send. */
};

/** @brief Queue of a service for operators. */
struct QueueView {
    std::string service;
    std::size_t waiting = 0;
    std::optional<int> limit; /**< Requests of this gateway in flight; empty: none. */
};

/** @brief Counts of requests and their outcomes since the start. */
struct DispatchCounts {
    std::uint64_t placed = 0; /**< Requests that were placed at least once. */
    std::uint64_t retries = 0; /**< Further placements of the same requests. */
    std::uint64_t malformedLoads = 0; /**< Responses with a malformed load header. */
    std::uint64_t callersGone = 0; /**< Requests whose caller disconnected before the end of the response. */
    std::array<std::uint64_t, static_cast<std::size_t>(Outcome::Count)> outcomes{};
    std::array<std::uint64_t, static_cast<std::size_t>(core::ErrorKind::Count)> refusals{};
};

/**
 * @brief Chooses backend servers for requests, based on the routing, the fleet, the limits and the holders of histories. Thread safe.
 *
 * One lock guards all of it; it is held for one decision at a time, and no other lock is taken while it is held.
 */
class Dispatcher
{
public:
    /** @brief Creates a dispatcher without a routing configuration. */
    explicit Dispatcher(const config::GatewaySettings &settings);

    /**
     * @brief Applies changed settings, which hold from the next decision on.
     *
     * The lower bound of the number of gateways keeps its value.
     */
    void applySettings(const config::GatewaySettings &settings);

    /** @brief Applies a version of the routing configuration, unless the one in force is as new or newer. @return True if it was applied. */
    bool onRouting(world::RoutingConfig routing);

    /** @brief Calls a function with the fleet and the current time, under the lock. @param change Function; must not call the dispatcher. */
    template<typename Change>
    void withFleet(const Change &change)
    {
        const std::lock_guard lock(mutex_);
        change(fleet_, std::chrono::steady_clock::now());
    }

    /** @brief Calls a function with the quarantine of prompt parts and the current time, under the lock. @param change Function; must not call the dispatcher.
     */
    template<typename Change>
    void withQuarantine(const Change &change)
    {
        const std::lock_guard lock(mutex_);
        change(quarantine_, std::chrono::steady_clock::now());
    }

    /** @brief Counts a gateway among those that share the limits. @param address Its peer address. @param seenAt Time of its latest sign of life. */
    void onGatewaySeen(const std::string &address, core::MonotonicTime seenAt);

    /** @brief Returns the routing configuration in force; null if none is known yet. */
    [[nodiscard]] std::shared_ptr<const RouteTable> routes() const;

    /**
     * @brief Checks a request against the routing configuration.
     * @param head Headers.
     * @param target Path with query.
     * @return Admission.
     * @throws core::Error StaleView if no routing configuration is known yet, UnknownPath if no route matches, UnknownApiKey if the key is required and
     * unknown.
     */
    [[nodiscard]] Admission admit(const platform::RequestHead &head, std::string_view target);

    /**
     * @brief Chooses a backend server for a request and counts the request as in flight.
     * @param admission Request.
     * @param tried Ids of the backend servers that were already chosen for it; if not empty, this is a retry and counts against the retry budget.
     * @param callerWait Time after which the caller has left or the deadline has passed; a first attempt that will probably wait too long for it is refused.
     * @return Guard or refusal.
     */
    [[nodiscard]] PlacementResult place(const Admission &admission, const std::vector<std::string> &tried, core::Milliseconds callerWait);

    /**
     * @brief As place(), but a request that can't be sent yet may wait: the result's `held` is set then.
     *
     * Requests to services without prompts wait under the service's limit, see scheduling::ServiceQueue; others, when place() returns Verdict::Hold. The owner
     * of a waiting request calls this again with `held` when it is woken or after `recheckIn`, and destroys `held` if the request ends otherwise.
     */
    [[nodiscard]] PlacementResult placeOrHold(const Admission &admission,
                                              const std::vector<std::string> &tried,
                                              core::Milliseconds callerWait,
                                              HoldOffer offer);

    /** @brief Wakes no waiting request from now on, as the workers' event loops have ended. */
    void stopWaking() noexcept
    {
        isWaking_ = false;
    }

    /** @brief Returns the queues of the services that have a limit or waiting requests. */
    [[nodiscard]] std::vector<QueueView> queues() const;

    /** @brief Returns a copy of the counts of waiting requests. */
    [[nodiscard]] HoldCounts holdCounts() const;

    /** @brief Records the histories that a peer has sent to backend servers. @param placements Histories. @param isOwnZone True if the peer is in the own
     * zone; other zones then get them from this gateway too. */
    void onPeerHistoryPlacements(const std::vector<HistoryPlacement> &placements, bool isOwnZone);

    /** @brief Returns the latest histories, at most 1,024, that gateways of the own zone have placed. @param age Greatest age. */
    [[nodiscard]] std::vector<HistoryPlacement> zoneHistoryPlacements(core::Milliseconds age) const;

    /**
     * @brief Returns the histories that this gateway has sent to backend servers which were not known to hold them.
     * @param position Value from the previous call, 0 at first; set to the number of history placements since the start.
     * @return Placements since the previous call, oldest first; only the latest 256 if there were more.
     */
    [[nodiscard]] std::vector<HistoryPlacement> historyPlacementsSince(std::uint64_t &position) const;

    /** @brief Counts a request that was refused, or whose response was cut off. */
    void countRefusal(core::ErrorKind kind);

    /** @brief Counts a request whose caller disconnected before the end of the response. */
    void countCallerGone();

    /** @brief Returns a copy of the counts. */
    [[nodiscard]] DispatchCounts counts() const;

    /** @brief Returns the times to the first event and the waiting prompts. */
    [[nodiscard]] FirstEventView firstEvents() const;

    /** @brief Returns the state of the quarantine of prompt parts. */
    [[nodiscard]] QuarantineView quarantine() const;

    /** @brief Returns copies of the states of all backend servers. */
    [[nodiscard]] std::vector<ServerView> servers() const;

    /** @brief Returns the memory of the bodies of requests. */
    [[nodiscard]] BodyMemory &bodyMemory() noexcept
    {
        return bodyMemory_;
    }

    /** @copydoc bodyMemory() */
    [[nodiscard]] const BodyMemory &bodyMemory() const noexcept
    {
        return bodyMemory_;
    }

    /** @brief Returns the latencies by route kind and the counts by workspace. */
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
    friend class InFlightRequest;
    friend class HeldRequest;

    /** @brief Requests and retries to a service within the retry window. */
    struct ServiceCounts {
        explicit ServiceCounts(std::chrono::nanoseconds window)
            : requests(window)
            , retries(window)
        {
        }

        policy::SlidingWindowCounter requests;
        policy::SlidingWindowCounter retries;
        ServiceBacklog backlog;
        scheduling::ServiceQueue queue;
        std::map<std::string, scheduling::SpentTimeEstimator> spentTimes; /* by route; only routes from the configuration occur, which bounds the size */
        bool usesPromptCache = false; /* of the latest request that waited; its queue has no limit then */
        scheduling::ServiceCapacity capacity;
    };

    /** @brief History placement of a gateway of the own zone, with its time at this gateway. */
    struct ZonePlacement {
        HistoryPlacement placement;
        core::MonotonicTime recordedAt{};
    };

    [[nodiscard]] scheduling::QueueVerdict decideInQueue(const Admission &admission,
                                                         core::Milliseconds callerWait,
                                                         HoldOffer &offer,
                                                         std::unique_ptr<HeldRequest> &held);
    [[nodiscard]] scheduling::QueueVerdict holdPrompt(const Admission &admission,
                                                      const PlacementResult &placement,
                                                      core::Milliseconds callerWait,
                                                      HoldOffer &offer,
                                                      std::unique_ptr<HeldRequest> &held);
    void holdLocked(const Admission &admission, scheduling::QueueVerdict &verdict, HoldOffer &offer, std::unique_ptr<HeldRequest> &held);
    void releaseHold(const std::string &service, scheduling::Ticket ticket);
    void onRequestMeasured(const std::string &service, Outcome outcome, core::MonotonicTime::duration timeToHeaders, core::Milliseconds objective);
    void recordSentAfterHold(const Admission &admission, core::MonotonicTime arrivedAt);
    void wakeNext(const std::string &service);
    void wakeAll();
    [[nodiscard]] scheduling::ServiceLoad serviceLoadOf(const std::string &service, core::MonotonicTime now) const;
    void recordZonePlacement(const HistoryPlacement &placement, core::MonotonicTime now);
    void beginRequest(ServerState &server);
    void onBytesReceived(ServerState &server, const std::string &service, std::optional<scheduling::SentPrompt> &prompt);
    void onPromptEnded(ServerState &server, const std::string &service, const scheduling::SentPrompt &prompt, Outcome outcome);
    void onLoadReport(ServerState &server, const platform::ResponseHead &head);
    void onHeadersReceived(ServerState &server, const std::string &service, const std::string &workspace, core::MonotonicTime placedAt);
    void onStatement(ServerState &server, const platform::ServerStatement &statement, core::MonotonicTime sentAt);
    [[nodiscard]] bool isUnresponsive(const ServerState &server) const;
    void onEndedWithoutHeaders(const std::string &service, const std::string &workspace);
    void endRequest(ServerState &server, Outcome outcome);
    [[nodiscard]] std::optional<boost::json::object> recordOutcome(ServerState &server, Outcome outcome);
    [[nodiscard]] PromptDemand promptDemandOf(const Admission &admission, const scheduling::FirstEventDemand &demand, core::MonotonicTime now);
    [[nodiscard]] std::string historySourceOf(const PlacementQuery &query, const ServerState &server, core::MonotonicTime now) const;
    void recordHistoryPlacement(const std::vector<HistoryPrefix> &history, const ServerState &server, core::MonotonicTime now);
    [[nodiscard]] PlacementLimits limitsOf(const Admission &admission) const;
    [[nodiscard]] ServiceCounts &countsOf(const std::string &service);
    [[nodiscard]] const char *quarantineReason(const Admission &admission, bool isRetry, core::MonotonicTime now); /* null: the request may be sent */
    [[nodiscard]] bool isRetryAllowed(const std::string &service, core::MonotonicTime now);

    BodyMemory bodyMemory_;
    RequestMeter meter_; /* has its own lock */
    mutable std::mutex mutex_; /* guards the members below; innermost */
    config::GatewaySettings settings_;
    std::shared_ptr<const RouteTable> routes_;
    Fleet fleet_;
    LimitSplitter splitter_;
    HistoryDirectory histories_;
    PromptQuarantine quarantine_;
    std::deque<HistoryPlacement> historyPlacements_; /* latest last */
    std::uint64_t historyPlacementCount_ = 0; /* since the start */
    std::deque<ZonePlacement> zonePlacements_; /* of all gateways of the own zone; latest last */
    std::map<std::string, ServiceCounts> serviceCounts_;
    DispatchCounts counts_;
    HoldCounts holdCounts_;
    std::atomic<bool> isWaking_{true}; /* not guarded */
    std::atomic<std::size_t> waitingCount_{0}; /* requests in all queues, chosen ones included; changed under the lock */
    telemetry::Histogram expectedFirstEvents_;
    telemetry::Histogram actualFirstEvents_; /* of the same requests */
    std::atomic<std::uint64_t> requestsWithoutId_{0}; /* not guarded; spreads requests without an id over the services of a route */
};

} // namespace cyclamenspool::gateway
