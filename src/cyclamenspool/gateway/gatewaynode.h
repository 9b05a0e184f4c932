#pragma once

#include <cyclamenspool/config/gatewaysettings.h>
#include <cyclamenspool/gateway/catalog.h>
#include <cyclamenspool/gateway/dispatcher.h>
#include <cyclamenspool/gateway/operatorpage.h>
#include <cyclamenspool/gateway/peergossip.h>
#include <cyclamenspool/gateway/storechecks.h>
#include <cyclamenspool/gateway/watchpolicy.h>
#include <cyclamenspool/gateway/worker.h>
#include <cyclamenspool/http/server.h>
#include <cyclamenspool/platform/storeclient.h>
#include <cyclamenspool/wire/listener.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace cyclamenspool::gateway {

/** @brief Gateway process on an entry VM: accepts callers' connections and forwards their requests directly to backend servers. */
class GatewayNode
{
public:
    /** @brief Function that reads the settings. Throws config::InvalidInput or std::ios_base::failure. */
    using SettingsReader = std::function<config::GatewaySettings()>;

    /** @brief Creates a node with the settings that the reader returns. @param reader Called now and on each reload. @throws config::InvalidInput With every
     * error and its place. */
    explicit GatewayNode(SettingsReader reader);

    /** @brief Runs the process until its shutdown is complete. @return Exit code. */
    int run();

private:
    void listen();
    void watchStart();
    [[nodiscard]] StartOutlook startOutlook() const;
    [[nodiscard]] wire::Listener::Destination nextDestination();
    static void startSession(Worker &worker, boost::asio::ip::tcp::socket socket);
    void watchSection(Catalog::Section section);
    [[nodiscard]] platform::StoreClient &storeClient(Catalog::Section section);
    [[nodiscard]] StoreCalls storeCalls();
    [[nodiscard]] StoreCheckCallbacks storeCheckCallbacks();
    void onStoreChanges(Catalog::Section section, const platform::StoreChanges &changes);
    bool onStoreEra(std::uint64_t era, const char *source, std::optional<Catalog::Section> caller = {});
    [[nodiscard]] WatchBounds watchBounds() const;
    [[nodiscard]] core::Milliseconds watchPause(Catalog::Section section) const;
    [[nodiscard]] core::Milliseconds listDelay(Catalog::Section section) const;
    void waitForSignal();
    void onSignal(int signal);
    void reload();
    void watchSettings();
    void beginDrain();
    void checkDrain();
    void logStopped() const;
    [[nodiscard]] std::size_t openConnections() const;
    void stop();
    [[nodiscard]] bool isReady() const;
    [[nodiscard]] OperatorPageInput pageInput() const;
    boost::asio::awaitable<void> sendReadiness(const http::Request &request, http::Responder &responder);
    boost::asio::awaitable<void> sendOperatorPage(const http::Request &request, http::Responder &responder);
    [[nodiscard]] boost::asio::io_context &control() noexcept
    {
        return workers_.front()->context();
    }

    SettingsReader settingsReader_;
    const config::GatewaySettings settings_; /* as read at the start */
    config::GatewaySettings currentSettings_; /* as last reloaded; limits, grace period, log rate and seeds change without a restart, addresses do not */
    Dispatcher dispatcher_;
    std::vector<std::unique_ptr<Worker>> workers_; /* the first one also runs the control thread's work */
    Catalog catalog_;
    PeerGossip gossip_;
    std::optional<wire::Listener> listener_; /* from listen() on */
    std::size_t nextWorker_ = 0;
    std::vector<std::unique_ptr<platform::StoreClient>> storeClients_;
    StoreChecks storeChecks_;
    std::unique_ptr<http::Server> readyServer_;
    std::unique_ptr<http::Server> operatorServer_;
    boost::asio::signal_set signals_;
    boost::asio::steady_timer startTimer_; /* polls for the first configuration */
    boost::asio::steady_timer settingsTimer_;
    boost::asio::steady_timer drainTimer_;
    core::MonotonicTime startTime_;
    std::optional<StartOutlook> startOutlook_; /* as last told to the workers */
    bool isAccepting_ = false;
    core::MonotonicTime drainStart_{};
    bool areRequestsEnded_ = false; /* in the drain, as the grace period is almost over */
    std::atomic<bool> draining_{false};
};

} // namespace cyclamenspool::gateway
