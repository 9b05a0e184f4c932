#pragma once

#include <cyclamenspool/config/gatewaysettings.h>
#include <cyclamenspool/core/now.h>
#include <cyclamenspool/gateway/catalog.h>
#include <cyclamenspool/gateway/copyrequestlimit.h>
#include <cyclamenspool/gateway/dispatcher.h>
#include <cyclamenspool/gateway/listdelta.h>
#include <cyclamenspool/gateway/missedchange.h>
#include <cyclamenspool/gateway/routinginquiry.h>
#include <cyclamenspool/gateway/zonepulls.h>
#include <cyclamenspool/wire/peerconnectionpool.h>
#include <cyclamenspool/wire/peerserver.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace cyclamenspool::wire {
class GatewayNews;
class KnownPeer;
class PromptNews;
class ZoneShare;
class ZoneTotals;
} // namespace cyclamenspool::wire

namespace cyclamenspool::gateway {

struct StoreReport;

/** @brief Status of another gateway, as the operator's status page shows it. */
struct PeerStatus {
    std::string vm; /**< Name of its VM. */
    std::string address;
    core::Milliseconds age{0}; /**< Time since its last message. */
};

/** @brief Access to a gateway's own calls to the store. */
struct StoreCalls {
    std::function<core::Milliseconds(Catalog::Section)> waitingTime; /**< Returns how long a section's call has waited for its response headers. */
    std::function<void(Catalog::Section)> replace; /**< Replaces a section's call by a new one. */
    std::function<void(std::uint64_t)> onEra; /**< Handles the era of a peer's copy; called before the copy is asked for, and before it is applied. */
};

/**
 * @brief Gossips with the other gateways: sends and receives updates with loads, suspicions, history placements and store positions, and discovers peers from
 * seed addresses.
 *
 * Gateways of one zone exchange updates in pairs. Of each other zone, one gateway requests the zone's totals from one gateway there, and shares them with the
 * other gateways of its own zone.
 *
 * Must be used on the control thread only.
 */
class PeerGossip
{
public:
    /**
     * @brief Creates an instance without connections.
     * @param context Context of the control thread.
     * @param settings Own VM and peer address, and the seeds; must outlive this object.
     * @param dispatcher Source of the published state and receiver of the peers' state.
     * @param catalog Cached store items; updated from peers while the store is unavailable.
     */
    PeerGossip(boost::asio::io_context &context, const config::GatewaySettings &settings, Dispatcher &dispatcher, Catalog &catalog);

    /** @brief Sets the access to this gateway's own calls to the store; without it, none counts as unanswered. */
    void setStoreCalls(StoreCalls calls)
    {
        storeCalls_ = std::move(calls);
    }

    /** @brief Listens for peers and starts sending updates to the seeds. @throws boost::system::system_error If the address cannot be bound. */
    void start();

    /** @brief Adds seeds to the known peers. @param seeds Peer addresses; the gateway's own address is ignored. */
    void addSeeds(const std::vector<std::string> &seeds);

    /** @brief Handles a list of a section, or the changes since its copy, that the store itself has returned; call it after the catalog has applied them, so
     * that no version before them is in force in between. */
    void onStoreRead(Catalog::Section section);

    /** @brief Returns whether a routing is kept back, or would be: a peer may still name the version in force, or has named one that is not here yet. */
    [[nodiscard]] bool isRoutingAwaited() const;

    /** @brief Returns whether a peer with a routing in force has answered since the start. */
    [[nodiscard]] bool hasRunningPeer() const noexcept
    {
        return routingInquiry_.hasRunningPeer();
    }

    /** @brief Stops sending updates and closes all connections. */
    void stop();

    /**
     * @brief Returns whether this gateway watches the list of backend servers for the gateways of its zone.
     *
     * Of those that have been heard recently and reach the store, the one with the lowest hash of its address does.
     */
    [[nodiscard]] bool isListWatcher() const;

    /**
     * @brief Returns whether this gateway checks the store for the gateways of its zone.
     *
     * It is the one that watches the list; of a zone whose gateways all fail to reach the store, the one with the lowest hash of its address.
     */
    [[nodiscard]] bool isStoreChecker() const;

    /** @brief Sends changes of the list of backend servers to the other gateways of the zone. @param delta Changes. */
    void publishListDelta(ListDelta delta);

    /** @brief Returns the number of peers whose last message is recent, including those known only from another peer's report. */
    [[nodiscard]] std::size_t livePeerCount() const;

    /** @brief Returns the peers that have sent a message to this gateway and have not expired, sorted by address. */
    [[nodiscard]] std::vector<PeerStatus> statuses() const;

private:
    struct Peer {
        std::string vm;
        std::string zone; /* empty: not known yet */
        core::MonotonicTime lastSeen{}; /* last message from the peer; on discovery, as the advertising peer reports it */
        core::MonotonicTime lastReported{}; /* latest sign of life that a peer has reported */
        core::MonotonicTime lastSent{};
        bool isReplyPending = false; /* an update was sent and its reply has not arrived */
        bool isSeed = false;
        bool isStoreUnavailable = false; /* as the peer itself reports */
        bool isStarting = false; /* it has no routing in force yet, as it reports */
        bool hasFullPeerList = false; /* all peers were advertised to it; from then on a few per update, in rotation */
        std::string lastAdvertised; /* address of the peer advertised to it last; the rotation continues after it */
        std::uint64_t updateId = 0; /* latest update that this gateway sent first */
        std::uint64_t placementsPosition = 0; /* for Dispatcher::historyPlacementsSince() */
    };

    void tick();
    void sendUpdate(const std::string &address, Peer &peer, core::MonotonicTime now);
    bool onUpdate(const wire::GatewayNews &update);
    void onPeerMessage(Peer &peer, const std::string &address, const std::string &vm, const std::string &zone);
    void onKnownPeer(const wire::KnownPeer &known, core::MonotonicTime now);
    void sendZonePull(const ZonePullRequest &request);
    void onZoneTotals(const wire::ZoneTotals &totals, std::size_t bytes);
    [[nodiscard]] bool applyZoneTotals(const wire::ZoneTotals &totals, std::size_t bytes);
    void shareZoneTotals(const wire::ZoneTotals &totals);
    void onZoneShare(wire::ZoneShare share);
    void onListDelta(ListDelta delta);
    void publishPromptEvidence();
    [[nodiscard]] std::vector<std::string> zoneEntries(); /* for a message to all other zones */
    void shareInZone(wire::PromptNews news);
    void onPromptNews(wire::PromptNews news);
    void applyQuarantined(std::vector<QuarantinedPart> parts);
    [[nodiscard]] std::vector<QuarantinedPart> quarantinedParts() const;
    void sendOneWay(const std::string &address, const char *path, const std::string &message);
    void passOn(const std::vector<std::string> &addresses, const char *path, const std::string &message);
    [[nodiscard]] std::vector<std::string> liveMembers() const;
    void applyLoads(const wire::GatewayNews &update);
    void applyGoneProcesses(const wire::GatewayNews &update);
    [[nodiscard]] std::optional<StoreUptime> storeUptime() const;
    void applyStoreUptime(const std::optional<StoreUptime> &uptime);
    [[nodiscard]] std::string buildZoneTotals(core::Milliseconds placementAge);
    [[nodiscard]] bool isOtherZone(const Peer &peer) const;
    [[nodiscard]] bool isLiveInOwnZone(const Peer &peer, core::MonotonicTime now) const;
    [[nodiscard]] std::size_t exchangePeerCount() const;
    [[nodiscard]] core::MonotonicTime lastSign(const Peer &peer) const;
    void onPeerStore(const std::string &address, const StoreReport &report);
    [[nodiscard]] bool pullIfOutdated(const std::string &address, Catalog::Section section, const member::StorePosition &position);
    void pull(const std::string &address, Catalog::Section section);
    void applyLowestRouting();
    void dropUnreached();
    [[nodiscard]] bool isOverdue(Catalog::Section section, const member::StorePosition &position, core::MonotonicTime now);
    void onMessage(const std::shared_ptr<wire::ServerStream> &stream, const std::string &path, const std::string &message);
    void expirePeers(core::MonotonicTime now);
    void advertisePeers(Peer &recipient, wire::GatewayNews &update, core::MonotonicTime now) const;
    void advertiseZonePeers(wire::ZoneTotals &totals, core::MonotonicTime now);
    [[nodiscard]] std::size_t advertisedCount(std::size_t members) const;
    void refreshSharedUpdate(core::MonotonicTime now);
    [[nodiscard]] std::string buildUpdate(Peer &recipient);
    [[nodiscard]] StoreReport storeReport() const;
    [[nodiscard]] std::chrono::milliseconds updatePeriod() const;
    [[nodiscard]] std::chrono::milliseconds tickPeriod() const;
    [[nodiscard]] std::chrono::milliseconds unresponsiveTimeout() const;

    boost::asio::io_context &context_;
    const config::GatewaySettings &settings_;
    Dispatcher &dispatcher_;
    Catalog &catalog_;
    wire::PeerConnectionPool connectionPool_;
    std::unique_ptr<wire::PeerServer> server_;
    boost::asio::steady_timer timer_;
    boost::asio::steady_timer inquiryTimer_;
    std::map<std::string, Peer> peers_; /* by address */
    ZonePulls zonePulls_;
    core::MonotonicTime startTime_;
    std::string lastAdvertisedToZones_; /* address of the peer of the own zone advertised last; the rotation continues after it */
    std::uint64_t fanOutSeed_ = 0; /* of the latest message for the whole zone */
    std::map<Catalog::Section, CopyRequestLimit> copyRequestLimits_;
    RoutingInquiry routingInquiry_;
    std::map<Catalog::Section, MissedChange> missedChanges_;
    StoreCalls storeCalls_;
    std::uint64_t lastUpdateId_ = 0;
    std::string sharedUpdate_; /* serialized part of the update that is equal for all peers */
    core::MonotonicTime sharedUpdateTime_{};
};

} // namespace cyclamenspool::gateway
