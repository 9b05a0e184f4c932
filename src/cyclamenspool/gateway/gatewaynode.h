#pragma once

#include <cyclamenspool/config/gatewaysettings.h>
#include <cyclamenspool/gateway/catalog.h>
#include <cyclamenspool/gateway/dispatcher.h>
#include <cyclamenspool/gateway/operatorpage.h>
#include <cyclamenspool/gateway/peernews.h>
#include <cyclamenspool/gateway/worker.h>
#include <cyclamenspool/http/server.h>
#include <cyclamenspool/platform/storeclient.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <atomic>
#include <functional>
#include <memory>
#include <vector>

namespace cyclamenspool::gateway {

/** @brief The process on an entry VM that sends callers' requests straight to backend servers. */
class GatewayNode
{
public:
    /** @brief Reads the settings again. Throws config::InvalidInput or std::ios_base::failure. */
    using SettingsReader = std::function<config::GatewaySettings()>;

    /** @brief Creates a node. @param reader Reads its settings, now and when they may have changed. @throws config::InvalidInput With every error and its
     * place. */
    explicit GatewayNode(SettingsReader reader);

    /** @brief Runs until the shutdown has ended. @return Exit code. */
    int run();

private:
    void listen();
    void acceptWhenInformed();
    void accept();
    void follow(Catalog::Section section, std::chrono::milliseconds pause);
    void waitForSignal();
    void onSignal(int signal);
    void reload();
    void watchSettings();
    void beginDrain();
    void drainStep();
    void stop();
    [[nodiscard]] bool isReady() const;
    [[nodiscard]] OperatorView view() const;
    boost::asio::awaitable<void> answerReady(const http::Request &request, http::Responder &responder);
    boost::asio::awaitable<void> answerOperator(const http::Request &request, http::Responder &responder);
    [[nodiscard]] boost::asio::io_context &control() noexcept
    {
        return workers_.front()->context();
    }

    SettingsReader reader_;
    const config::GatewaySettings settings_; /* as at the start */
    config::GatewaySettings current_; /* bounds, grace period and seeds in force */
    Dispatcher dispatcher_;
    std::vector<std::unique_ptr<Worker>> workers_; /* the first one also is the control thread */
    Catalog catalog_;
    PeerNews peers_;
    boost::asio::ip::tcp::acceptor acceptor_;
    std::size_t nextWorker_ = 0;
    std::vector<std::unique_ptr<platform::StoreClient>> followers_;
    std::unique_ptr<http::Server> readyServer_;
    std::unique_ptr<http::Server> operatorServer_;
    boost::asio::signal_set signals_;
    boost::asio::steady_timer settingsTimer_;
    boost::asio::steady_timer phaseTimer_; /* of the start, then of the shutdown */
    core::MonotonicTime started_;
    core::MonotonicTime drainBegun_{};
    std::atomic<bool> draining_{false};
};

} // namespace cyclamenspool::gateway
