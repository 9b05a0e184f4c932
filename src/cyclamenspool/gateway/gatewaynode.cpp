#include <cyclamenspool/gateway/gatewaynode.h>

#include <cyclamenspool/gateway/callersession.h>
#include <cyclamenspool/http/refusal.h>
#include <cyclamenspool/platform/headers.h>
#include <cyclamenspool/telemetry/log.h>
#include <cyclamenspool/wire/endpoint.h>

#include <csignal>
#include <random>
#include <thread>

namespace cyclamenspool::gateway {

namespace asio = boost::asio;

namespace internal {

constexpr std::chrono::milliseconds introductionTime{1500}; /* for the peers to be heard before callers come */
constexpr std::chrono::milliseconds informTime{400}; /* connections wait so long for the first configuration before they are refused */
constexpr std::chrono::milliseconds informPeriod{5};
constexpr std::chrono::milliseconds balancerTime{2300}; /* the balancer asks once a second and believes the second miss */
constexpr std::chrono::milliseconds refuseTime{3000}; /* after it, a request could outlast the grace period */
constexpr std::chrono::milliseconds endMargin{500}; /* before the grace period is over */
constexpr std::chrono::milliseconds settingsPeriod{5000}; /* the settings may change without a signal */
constexpr std::chrono::milliseconds drainPeriod{100};
constexpr std::chrono::milliseconds operatorWait{20000};
constexpr std::chrono::milliseconds serverWait{5000};
constexpr std::string_view statusPath = "/status"; /* every other path of the metrics address gives the metrics */
constexpr int serverPausePart = 3; /* of the time after which a leaving backend server gets nothing */

std::vector<std::unique_ptr<Worker>> makeWorkers(Dispatcher &dispatcher, int count)
{
    std::random_device seeds;
    std::vector<std::unique_ptr<Worker>> workers;
    workers.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i) {
        workers.push_back(std::make_unique<Worker>(dispatcher, seeds()));
    }
    return workers;
}

} // namespace internal

GatewayNode::GatewayNode(SettingsReader reader)
    : reader_(std::move(reader))
    , settings_(reader_())
    , current_(settings_)
    , dispatcher_(settings_)
    , workers_(internal::makeWorkers(dispatcher_, settings_.workers))
    , catalog_(dispatcher_)
    , peers_(control(), settings_, dispatcher_, catalog_)
    , acceptor_(control())
    , signals_(control(), SIGTERM, SIGINT, SIGHUP)
    , settingsTimer_(control())
    , phaseTimer_(control())
    , started_(std::chrono::steady_clock::now())
{
}

int GatewayNode::run()
{
    telemetry::openLog("-", settings_.vm);
    telemetry::setLineLimit(settings_.logLines);
    telemetry::logLine("started", {{"zone", settings_.zone}, {"caller_address", settings_.callerAddress}});
    waitForSignal();
    watchSettings();
    peers_.start();
    follow(Catalog::Section::Operators, std::chrono::milliseconds(0));
    follow(Catalog::Section::Servers, settings_.leaveTime / internal::serverPausePart);
    listen();
    std::vector<std::thread> threads;
    for (std::size_t i = 1; i < workers_.size(); ++i) {
        threads.emplace_back([worker = workers_[i].get()] {
            worker->run();
        });
    }
    workers_.front()->run();
    for (auto &thread : threads) {
        thread.join();
    }
    telemetry::logLine("stopped", {});
    telemetry::closeLog(0);
    return 0;
}

void GatewayNode::listen()
{
    const auto endpoint = wire::endpointOf(settings_.callerAddress);
    acceptor_.open(endpoint.protocol());
    acceptor_.set_option(asio::socket_base::reuse_address(true));
    acceptor_.bind(endpoint);
    acceptor_.listen();
    acceptWhenInformed();
    const auto onReady = [this](const http::Request &request, http::Responder &responder) {
        return answerReady(request, responder);
    };
    readyServer_ = std::make_unique<http::Server>(control(), settings_.readyAddress, http::ServerLimits(), onReady, http::refuseUnread);
    if (settings_.metricsAddress.empty()) {
        return;
    }
    const auto onOperator = [this](const http::Request &request, http::Responder &responder) {
        return answerOperator(request, responder);
    };
    try {
        operatorServer_ = std::make_unique<http::Server>(control(), settings_.metricsAddress, http::ServerLimits(), onOperator, http::refuseUnread);
    } catch (const boost::system::system_error &error) {
        telemetry::logLine("metrics_off", {{"address", settings_.metricsAddress}, {"reason", error.what()}});
    }
}

void GatewayNode::acceptWhenInformed()
{
    const auto passed = std::chrono::steady_clock::now() - started_;
    if (catalog_.isComplete() || passed > internal::informTime) {
        accept();
        return;
    }
    phaseTimer_.expires_after(internal::informPeriod);
    phaseTimer_.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            acceptWhenInformed();
        }
    });
}

void GatewayNode::accept()
{
    auto &worker = *workers_[nextWorker_++ % workers_.size()];
    acceptor_.async_accept(worker.context(), [this, &worker](const boost::system::error_code &error, asio::ip::tcp::socket socket) {
        if (!acceptor_.is_open()) {
            return;
        }
        if (error) {
            telemetry::logLine("accept_failed", {{"reason", error.message()}});
        } else {
            asio::post(worker.context(), [&worker, socket = std::move(socket)]() mutable {
                std::make_shared<CallerSession>(worker, std::move(socket))->start();
            });
        }
        accept();
    });
}

void GatewayNode::follow(Catalog::Section section, std::chrono::milliseconds pause)
{
    platform::StoreEvents events;
    events.onList = [this, section](const member::ItemList &list) {
        catalog_.onStoreList(section, list);
    };
    events.onChanges = [this, section](const std::vector<member::Item> &changes, std::uint64_t revision) {
        catalog_.onStoreChanges(section, changes, revision);
    };
    events.onFailure = [this, section](const std::string &reason) {
        catalog_.onStoreFailure(section, reason);
    };
    events.onMalformed = [](const std::string &key, const std::string &reason) {
        telemetry::logLine("item_passed_over", {{"key", key}, {"reason", reason}});
    };
    events.revision = [this, section] {
        return catalog_.revision(section);
    };
    const auto wait = section == Catalog::Section::Operators ? internal::operatorWait : internal::serverWait;
    const std::string prefix(Catalog::prefixOf(section));
    followers_.push_back(
        std::make_unique<platform::StoreClient>(control(), settings_.storeAddress, prefix, platform::StoreTimes{wait, pause}, std::move(events)));
    followers_.back()->start();
}

void GatewayNode::waitForSignal()
{
    signals_.async_wait([this](const boost::system::error_code &error, int signal) {
        if (!error) {
            onSignal(signal);
            waitForSignal();
        }
    });
}

void GatewayNode::onSignal(int signal)
{
    if (signal == SIGHUP) {
        reload();
        return;
    }
    if (!draining_.exchange(true)) {
        beginDrain();
    }
}

void GatewayNode::reload()
{
    try {
        auto settings = reader_();
        if (settings == current_) {
            return;
        }
        const bool needsRestart = !settings.hasSameAddresses(settings_);
        current_ = std::move(settings);
        dispatcher_.setBounds(current_);
        telemetry::setLineLimit(current_.logLines);
        peers_.addSeeds(current_.seedPeers);
        telemetry::logLine("reload", {{"outcome", "in force"}, {"addresses_need_restart", needsRestart}});
    } catch (const std::exception &error) {
        telemetry::logLine("reload", {{"outcome", "refused, the settings before stay in force"}, {"reason", error.what()}});
    }
}

void GatewayNode::watchSettings()
{
    settingsTimer_.expires_after(internal::settingsPeriod);
    settingsTimer_.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            reload();
            watchSettings();
        }
    });
}

void GatewayNode::beginDrain()
{
    telemetry::logLine("shutdown_begun", {});
    drainBegun_ = std::chrono::steady_clock::now();
    drainStep();
}

void GatewayNode::drainStep()
{
    const auto passed = std::chrono::steady_clock::now() - drainBegun_;
    std::size_t open = 0;
    for (const auto &worker : workers_) {
        if (passed >= internal::balancerTime) {
            worker->beginDrain();
        }
        if (passed >= internal::refuseTime) {
            worker->refuseNew();
            worker->closeIdle();
        }
        open += worker->sessions();
    }
    const bool isOver = passed > current_.grace - internal::endMargin;
    if (isOver || (passed > internal::refuseTime && open == 0)) {
        telemetry::logLine("drained", {{"open_connections", open}});
        stop();
        return;
    }
    phaseTimer_.expires_after(internal::drainPeriod);
    phaseTimer_.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            drainStep();
        }
    });
}

void GatewayNode::stop()
{
    for (const auto &follower : followers_) {
        follower->stop();
    }
    settingsTimer_.cancel();
    peers_.stop();
    for (const auto &worker : workers_) {
        worker->stop();
    }
}

bool GatewayNode::isReady() const
{
    const bool isIntroduced = peers_.heardPeers() > 0 || std::chrono::steady_clock::now() - started_ > internal::introductionTime;
    return !draining_ && catalog_.isComplete() && isIntroduced && dispatcher_.routes() != nullptr;
}

OperatorView GatewayNode::view() const
{
    return {dispatcher_, catalog_, peers_, isReady()};
}

asio::awaitable<void> GatewayNode::answerReady(const http::Request &request, http::Responder &responder)
{
    const std::string_view target(request.target().data(), request.target().size());
    const bool isKnown = target == platform::readyPath;
    const int status = !isKnown ? 404 : (isReady() ? 200 : 503);
    const http::Headers headers{{"Content-Type", "text/plain"}};
    const std::string body = status == 200 ? "ready\n" : "not ready\n";
    co_await responder.send(status, headers, body);
}

asio::awaitable<void> GatewayNode::answerOperator(const http::Request &request, http::Responder &responder)
{
    const std::string_view target(request.target().data(), request.target().size());
    const bool isStatus = target == internal::statusPath;
    const http::Headers headers{{"Content-Type", isStatus ? "application/json" : "text/plain; version=0.0.4"}};
    const std::string body = isStatus ? formatStatus(view()) : formatMetrics(view());
    co_await responder.send(200, headers, body);
}

} // namespace cyclamenspool::gateway
