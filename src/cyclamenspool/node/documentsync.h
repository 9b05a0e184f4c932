#pragma once

#include <cyclamenspool/config/documentstore.h>
#include <cyclamenspool/config/settings.h>
#include <cyclamenspool/core/random.h>
#include <cyclamenspool/member/watchduty.h>
#include <cyclamenspool/wire/peerpool.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <atomic>
#include <functional>
#include <mutex>
#include <string>
#include <vector>

namespace cyclamenspool::node {

/** @brief Counts of the document exchange since the start. */
struct SyncCounts {
    std::atomic<std::uint64_t> serviceCalls{0};
    std::atomic<std::uint64_t> serviceErrors{0};
    std::atomic<std::uint64_t> refused{0};
    std::atomic<std::uint64_t> accepted{0};
    std::atomic<std::uint64_t> pulls{0};
    std::atomic<std::uint64_t> pushes{0};
    std::atomic<std::uint64_t> controlBytes{0};
};

/**
 * @brief Keeps the document store up to date.
 *
 * A few VMs of each availability zone watch the platform's services. A process that accepts a change pushes it as a delta to
 * a few peers, and every process asks a random peer once a period for what it lacks. Processes without news of the services
 * poll them, slowly enough for the whole fleet.
 */
class DocumentSync
{
public:
    /**
     * @brief Creates an idle exchange.
     * @param context Context of the timers and sockets.
     * @param settings Settings.
     * @param store Documents.
     * @param peers Sessions to peers.
     * @param onChange Called after each accepted change.
     */
    DocumentSync(boost::asio::io_context &context,
                 const config::Settings &settings,
                 config::DocumentStore &store,
                 wire::PeerPool &peers,
                 std::function<void()> onChange);

    /** @brief Starts the exchange. */
    void start();

    /** @brief Ends the exchange. */
    void stop();

    /** @brief Asks the services and several peers now. @param done Called after all have answered or failed. */
    void refresh(std::function<void()> done);

    /** @brief Answers a peer's pull. @param message Serialized DocumentPull. @return Serialized DocumentPush. */
    [[nodiscard]] std::string answerPull(const std::string &message);

    /** @brief Takes a peer's push. @param message Serialized DocumentPush. @return Serialized DocumentPull with the own state. */
    [[nodiscard]] std::string takePush(const std::string &message);

    /** @brief Tells whether the services and several peers were asked and every document is there. @return True if so. */
    [[nodiscard]] bool isReady() const noexcept
    {
        return ready_.load();
    }

    /** @brief Returns the time since the platform's services were last heard, directly or through peers. @return Age. */
    [[nodiscard]] core::Milliseconds serviceAge() const;

    /** @brief Returns the counts. @return Counts. */
    [[nodiscard]] const SyncCounts &counts() const noexcept
    {
        return counts_;
    }

private:
    using Time = std::chrono::steady_clock::time_point;

    boost::asio::awaitable<void> startUp();
    boost::asio::awaitable<void> watch(std::string name);
    boost::asio::awaitable<bool> readService(std::string name, core::Milliseconds wait);
    boost::asio::awaitable<void> pullForever();
    boost::asio::awaitable<void> askAll();
    boost::asio::awaitable<void> askPeers();
    [[nodiscard]] core::Milliseconds startDelay();
    boost::asio::awaitable<void> pause(core::Milliseconds length);
    void pullFrom(const std::string &address);
    void pushChange(const std::vector<wire::DocumentState> &before);
    bool takeDeltas(const wire::DocumentPush &push);
    /** @brief Takes over a peer's time of the last news, if the peer knows no newer revision than this process. */
    void notePeerHeard(const google::protobuf::RepeatedPtrField<wire::DocumentState> &have);
    void noteServiceHeard(core::Milliseconds age);
    [[nodiscard]] std::vector<std::string> randomPeers(std::size_t count);
    [[nodiscard]] std::vector<std::string> documentNames() const;
    [[nodiscard]] bool hasAll() const;
    [[nodiscard]] wire::DocumentPull pullMessage() const;

    boost::asio::io_context &context_;
    const config::Settings &settings_;
    config::DocumentStore &store_;
    wire::PeerPool &peers_;
    std::function<void()> onChange_;
    member::WatchRules rules_;
    std::atomic<bool> stopped_{false};
    std::atomic<bool> ready_{false};
    mutable std::mutex mutex_; /* guards the members below */
    core::RandomSource random_;
    Time serviceHeard_{};
    SyncCounts counts_;
};

} // namespace cyclamenspool::node
