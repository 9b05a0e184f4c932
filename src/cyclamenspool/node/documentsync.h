#pragma once

#include <cyclamenspool/config/documentstore.h>
#include <cyclamenspool/config/settings.h>
#include <cyclamenspool/core/random.h>
#include <cyclamenspool/member/watchduty.h>
#include <cyclamenspool/wire/peerconnectionpool.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <atomic>
#include <functional>
#include <mutex>
#include <string>
#include <vector>

namespace cyclamenspool::node {

/** @brief Counters of a DocumentSync since the start of the process. */
struct SyncCounts {
    std::atomic<std::uint64_t> serviceCalls{0}; /**< Calls to the platform's services. */
    std::atomic<std::uint64_t> serviceErrors{0}; /**< Calls that failed or whose response was not usable. */
    std::atomic<std::uint64_t> refused{0}; /**< Invalid documents and deltas. */
    std::atomic<std::uint64_t> accepted{0}; /**< Accepted changes; a peer's message counts once. */
    std::atomic<std::uint64_t> pulls{0}; /**< Pull requests sent. */
    std::atomic<std::uint64_t> pushes{0}; /**< Push messages sent. */
    std::atomic<std::uint64_t> documentBytes{0}; /**< Documents, pulls and pushes, sent and received; replies to pushes are not counted. */
};

/**
 * @brief Synchronises the document store with the platform's services and with peers.
 *
 * The documents are the operators' configuration and the platform's list of VMs; two services of the platform serve them.
 * A few VMs of each availability zone watch the services by long polling. A process that accepts a change pushes it as a delta
 * to a few peers, and every process periodically pulls the changes that it lacks from a random peer (anti-entropy). A process
 * that has had no contact with the services for too long, not even through peers, polls them itself, at an interval that
 * limits the rate of calls of the whole fleet.
 */
class DocumentSync
{
public:
    /**
     * @brief Creates an idle synchronisation. All references must outlive it.
     * @param context Context of the timers and sockets.
     * @param settings Settings.
     * @param store Documents.
     * @param peers Sessions to peers.
     * @param onChange Called after each accepted change, on a thread of the context.
     */
    DocumentSync(boost::asio::io_context &context,
                 const config::Settings &settings,
                 config::DocumentStore &store,
                 wire::PeerConnectionPool &peers,
                 std::function<void()> onChange);

    /** @brief Starts to load the documents; afterwards keeps them up to date. */
    void start();

    /** @brief Makes the running loops end once their current wait is over. */
    void stop();

    /**
     * @brief Reads the services and pulls from up to 3 peers now.
     * @param done Called once the services answered or failed and the peers had 300 ms to answer.
     */
    void refresh(std::function<void()> done);

    /** @brief Handles a peer's pull. @param message Serialized DocumentPull. @return Serialized DocumentPush with the changes that the peer lacks. */
    [[nodiscard]] std::string handlePull(const std::string &message);

    /** @brief Handles a peer's push: applies its changes. @param message Serialized DocumentPush. @return Serialized DocumentPull with this process's state. */
    [[nodiscard]] std::string handlePush(const std::string &message);

    /**
     * @brief Returns whether the initial load has ended.
     * @return True once all documents are present and either the last contact with the services is recent or the services were asked.
     */
    [[nodiscard]] bool isReady() const noexcept
    {
        return ready_.load();
    }

    /**
     * @brief Returns the time since the last contact with the platform's services, directly or through peers.
     * @return Time; before the first contact, a year or more.
     */
    [[nodiscard]] core::Milliseconds timeSinceServiceContact() const;

    /** @brief Returns the counters. */
    [[nodiscard]] const SyncCounts &counts() const noexcept
    {
        return counts_;
    }

private:
    using Time = std::chrono::steady_clock::time_point;

    boost::asio::awaitable<void> bootstrap();
    boost::asio::awaitable<void> watchDocument(std::string name);
    boost::asio::awaitable<bool> readService(std::string name, core::Milliseconds maxWait);
    boost::asio::awaitable<void> runAntiEntropy();
    boost::asio::awaitable<void> readServicesAndPeers();
    boost::asio::awaitable<void> pullFromPeers();
    [[nodiscard]] core::Milliseconds startDelay();
    boost::asio::awaitable<void> pause(core::Milliseconds duration);
    void pullFrom(const std::string &address);
    void pushChanges(const std::vector<wire::DocumentState> &previousStates);
    bool applyDeltas(const wire::DocumentPush &push);
    /**
     * @brief Adopts a peer's last contact with the services if it is later, unless the peer has a newer revision of a document than this process.
     * @param have The peer's documents and their revisions.
     */
    void adoptPeerServiceContact(const google::protobuf::RepeatedPtrField<wire::DocumentState> &have);
    void recordServiceContact(core::Milliseconds timeSince);
    [[nodiscard]] std::vector<std::string> randomPeers(std::size_t count);
    [[nodiscard]] std::vector<std::string> documentNames() const;
    [[nodiscard]] bool hasAllDocuments() const;
    [[nodiscard]] wire::DocumentPull makePull() const;

    boost::asio::io_context &context_;
    const config::Settings &settings_;
    config::DocumentStore &store_;
    wire::PeerConnectionPool &peers_;
    std::function<void()> onChange_;
    member::WatchLimits watchLimits_;
    std::atomic<bool> stopped_{false};
    std::atomic<bool> ready_{false};
    mutable std::mutex mutex_; /* guards the members below */
    core::RandomSource random_;
    Time lastServiceContact_{};
    SyncCounts counts_;
};

} // namespace cyclamenspool::node
