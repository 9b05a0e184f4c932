#include <cyclamenspool/gateway/gatewaynode.h>

#include <cyclamenspool/gateway/callersession.h>
#include <cyclamenspool/gateway/storelog.h>
#include <cyclamenspool/gateway/watchpolicy.h>
#include <cyclamenspool/http/refusal.h>
#include <cyclamenspool/platform/headers.h>
#include <cyclamenspool/telemetry/log.h>
#include <cyclamenspool/wire/endpoint.h>

#include <algorithm>
#include <csignal>
#include <numeric>
#include <random>
#include <thread>

namespace cyclamenspool::gateway {

namespace asio = boost::asio;

namespace internal {

constexpr std::chrono::milliseconds peerDiscoveryTime{1500}; /* longest wait for a first peer before the process reports ready */
constexpr std::chrono::milliseconds acceptDelay{100}; /* longest time for which connections wait unread for the caller limits of the first configuration */
constexpr std::chrono::milliseconds startPollPeriod{5};
constexpr std::chrono::milliseconds outagePollPeriod{50}; /* the same without a configuration from anywhere */
constexpr StartHold::Limits maxHeldAtStart{1024, 16UL * 1024 * 1024};
constexpr std::chrono::milliseconds settingsPollPeriod{5000}; /* the settings file may change without a SIGHUP */
constexpr std::chrono::milliseconds drainCheckPeriod{100};
constexpr std::string_view statusPath = "/status"; /* every other path of the metrics address returns the metrics */

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
    : settingsReader_(std::move(reader))
    , settings_(settingsReader_())
    , currentSettings_(settings_)
    , dispatcher_(settings_)
    , workers_(internal::makeWorkers(dispatcher_, settings_.workers))
    , catalog_(dispatcher_)
    , gossip_(control(), settings_, dispatcher_, catalog_)
    , storeChecks_(control(), settings_.storeAddress, catalog_, storeCheckCallbacks())
    , signals_(control(), SIGTERM, SIGINT, SIGHUP)
    , startTimer_(control())
    , settingsTimer_(control())
    , drainTimer_(control())
    , startTime_(std::chrono::steady_clock::now())
{
}

int GatewayNode::run()
{
    telemetry::openLog("-", settings_.vm);
    telemetry::setEventRateLimit(settings_.maxLogLinesPerSecond);
    telemetry::logRateLimited("started", {{"zone", settings_.zone}, {"caller_address", settings_.callerAddress}});
    waitForSignal();
    watchSettings();
    watchSection(Catalog::Section::OperatorConfig);
    watchSection(Catalog::Section::Servers);
    storeChecks_.start();
    gossip_.setStoreCalls(storeCalls());
    gossip_.start();
    for (const auto &worker : workers_) {
        worker->startQueue().begin({internal::maxHeldAtStart.requests / workers_.size(), internal::maxHeldAtStart.bytes / workers_.size()});
    }
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
    dispatcher_.stopWaking();
    logStopped();
    telemetry::closeLog(0);
    return 0;
}

void GatewayNode::logStopped() const
{
    const auto sum = [this](std::atomic<std::uint64_t> RequestTally::*count) {
        return std::accumulate(workers_.begin(), workers_.end(), std::uint64_t{0}, [count](std::uint64_t total, const auto &worker) {
            return total + (worker->tally().*count).load();
        });
    };
    telemetry::logRateLimited("stopped",
                              {{"taken", sum(&RequestTally::taken)},
                               {"answered", sum(&RequestTally::answered)},
                               {"refused", sum(&RequestTally::refused)},
                               {"cut", sum(&RequestTally::cut)},
                               {"caller_gone", sum(&RequestTally::callerGone)}});
}

void GatewayNode::listen()
{
    listener_.emplace(control().get_executor(), settings_.callerAddress, [this] {
        return nextDestination();
    });
    watchStart();
    const auto onReady = [this](const http::Request &request, http::Responder &responder) {
        return sendReadiness(request, responder);
    };
    readyServer_ = std::make_unique<http::Server>(control(), settings_.readyAddress, http::ServerLimits(), onReady, http::refuseWithNewId);
    if (settings_.metricsAddress.empty()) {
        return;
    }
    const auto onOperator = [this](const http::Request &request, http::Responder &responder) {
        return sendOperatorPage(request, responder);
    };
    try {
        operatorServer_ = std::make_unique<http::Server>(control(), settings_.metricsAddress, http::ServerLimits(), onOperator, http::refuseWithNewId);
    } catch (const boost::system::system_error &error) {
        telemetry::logRateLimited("metrics_off", {{"address", settings_.metricsAddress}, {"reason", error.what()}});
    }
}

void GatewayNode::watchStart()
{
    const auto outlook = startOutlook();
    const auto uptime = std::chrono::steady_clock::now() - startTime_;
    if (outlook != startOutlook_) {
        startOutlook_ = outlook;
        telemetry::logRateLimited("start_outlook",
                                  {{"outlook", nameOf(outlook)},
                                   {"uptime_ms", std::chrono::duration_cast<core::Milliseconds>(uptime).count()},
                                   {"version", catalog_.routingVersion()}});
        for (const auto &worker : workers_) {
            worker->startQueue().setOutlook(outlook);
        }
    }
    if (!isAccepting_ && (outlook == StartOutlook::Known || uptime > internal::acceptDelay)) {
        isAccepting_ = true;
        listener_->start();
    }
    if (outlook == StartOutlook::Known && catalog_.isComplete()) {
        return;
    }
    startTimer_.expires_after(outlook == StartOutlook::Pending || !isAccepting_ ? internal::startPollPeriod : internal::outagePollPeriod);
    startTimer_.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            watchStart();
        }
    });
}

StartOutlook GatewayNode::startOutlook() const
{
    const auto missing = catalog_.routingVersion() == 0 ? Catalog::Section::OperatorConfig : Catalog::Section::Servers;
    StartFacts facts;
    facts.isRoutingInForce = catalog_.routingVersion() > 0;
    facts.isRoutingAwaited = gossip_.isRoutingAwaited();
    facts.isPeerRunning = gossip_.hasRunningPeer();
    facts.isListKnown = !catalog_.position(Catalog::Section::Servers).isEmpty();
    facts.hasStoreFailed = catalog_.failedStoreCalls(missing) > 1; /* one call may be lost */
    facts.uptime = std::chrono::duration_cast<core::Milliseconds>(std::chrono::steady_clock::now() - startTime_);
    return outlookOf(facts);
}

wire::Listener::Destination GatewayNode::nextDestination()
{
    auto &worker = *workers_[nextWorker_++ % workers_.size()];
    return {worker.context().get_executor(), [&worker](asio::ip::tcp::socket socket) {
                startSession(worker, std::move(socket));
            }};
}

void GatewayNode::startSession(Worker &worker, asio::ip::tcp::socket socket)
{
    // The session counts as open from here on, however late the worker is.
    auto session = std::make_shared<CallerSession>(worker, std::move(socket));
    asio::post(worker.context(), [session = std::move(session)] {
        session->start();
    });
}

void GatewayNode::watchSection(Catalog::Section section)
{
    platform::StoreCallbacks callbacks;
    callbacks.onList = [this, section](const member::StoreSnapshot &list) {
        catalog_.onStoreList(section, list);
        gossip_.onStoreRead(section);
    };
    callbacks.onChanges = [this, section](const platform::StoreChanges &changes) {
        onStoreChanges(section, changes);
    };
    callbacks.onEra = [this, section](std::uint64_t era) {
        return onStoreEra(era, "store", section);
    };
    callbacks.onFailure = [this, section](const std::string &reason) {
        catalog_.onStoreFailure(section, reason);
    };
    const std::string prefix(Catalog::prefixOf(section));
    callbacks.onRead = [prefix](const char *call, const platform::StoreResponse &response) {
        logSlowRead(prefix, call, response);
    };
    callbacks.onWatchGivenUp = [prefix] {
        logListPreferred(prefix);
    };
    callbacks.onMalformed = logMalformedItem;
    callbacks.position = [this, section] {
        return catalog_.watchPosition(section);
    };
    callbacks.listDelay = [this, section] {
        return listDelay(section);
    };
    callbacks.pauseLeft = [this, section] {
        return watchPause(section);
    };
    callbacks.watchTime = [this, section] {
        return section == Catalog::Section::Servers ? listWatchTime(gossip_.isListWatcher()) : configurationWatchTime();
    };
    callbacks.maxWatchBytes = [this, section] {
        return maxWatchBytes(catalog_.listBytes(section));
    };
    storeClients_.push_back(std::make_unique<platform::StoreClient>(control(), settings_.storeAddress, prefix, std::move(callbacks)));
    storeClients_.back()->start();
}

platform::StoreClient &GatewayNode::storeClient(Catalog::Section section)
{
    return *storeClients_.at(static_cast<std::size_t>(section));
}

StoreCalls GatewayNode::storeCalls()
{
    StoreCalls calls;
    calls.waitingTime = [this](Catalog::Section section) {
        return storeClient(section).waitingTime();
    };
    calls.replace = [this](Catalog::Section section) {
        auto &client = storeClient(section);
        telemetry::logRateLimited("store_call_replaced",
                                  {{"section", std::string(Catalog::prefixOf(section))},
                                   {"revision", catalog_.position(section).revision},
                                   {"era", catalog_.position(section).era},
                                   {"waited_ms", client.waitingTime().count()}});
        client.replaceCall();
    };
    calls.onEra = [this](std::uint64_t era) {
        onStoreEra(era, "peer");
    };
    return calls;
}

StoreCheckCallbacks GatewayNode::storeCheckCallbacks()
{
    StoreCheckCallbacks callbacks;
    callbacks.period = [this] {
        return storeCheckPeriod(watchBounds());
    };
    callbacks.isOnDuty = [this] {
        return gossip_.isStoreChecker();
    };
    callbacks.onChanges = [this](Catalog::Section section, const platform::StoreChanges &changes) {
        onStoreChanges(section, changes);
    };
    callbacks.isReceiving = [this](Catalog::Section section) {
        return storeClient(section).isReceiving();
    };
    callbacks.replaceCall = [this](Catalog::Section section) {
        if (!storeClient(section).isReceiving()) {
            storeClient(section).replaceCall();
        }
    };
    callbacks.relist = [this](Catalog::Section section) {
        if (!storeClient(section).isReceiving()) {
            storeClient(section).relist();
        }
    };
    callbacks.onEra = [this](std::uint64_t era) {
        return onStoreEra(era, "store");
    };
    return callbacks;
}

bool GatewayNode::onStoreEra(std::uint64_t era, const char *source, std::optional<Catalog::Section> caller)
{
    const bool isLater = era > catalog_.era();
    const bool isValid = catalog_.onStoreEra(era, source);
    if (isLater) {
        // Calls in progress began in an ended era: what they return cannot be applied.
        for (const auto section : {Catalog::Section::OperatorConfig, Catalog::Section::Servers}) {
            if (section != caller && catalog_.timeWithoutEra(section)) {
                storeClient(section).restart();
            }
        }
    }
    return isValid;
}

void GatewayNode::onStoreChanges(Catalog::Section section, const platform::StoreChanges &changes)
{
    // A watch can return after a check that has read more.
    const bool isLatest = catalog_.position(section).isContinuedBy(changes.position);
    const bool isPublished = section == Catalog::Section::Servers && isLatest && gossip_.isListWatcher();
    const auto delta = isPublished ? catalog_.reduceServerChanges(changes.items, changes.position) : ListDelta();
    catalog_.onStoreChanges(section, changes.items, changes.position, changes.asOf);
    // The copy may be a peer's; with the changes since it is as complete as a list.
    gossip_.onStoreRead(section);
    if (isPublished) {
        gossip_.publishListDelta(delta);
    }
}

WatchBounds GatewayNode::watchBounds() const
{
    return {currentSettings_.maxLeaveDelay, currentSettings_.maxConfigurationDelay};
}

core::Milliseconds GatewayNode::watchPause(Catalog::Section section) const
{
    if (catalog_.watchPosition(section).isEmpty()) {
        return core::Milliseconds(0);
    }
    const auto bounds = watchBounds();
    return section == Catalog::Section::Servers ? listPause(bounds, gossip_.isListWatcher(), catalog_.age(section))
                                                : configurationPause(bounds, catalog_.timeSinceChange(section));
}

core::Milliseconds GatewayNode::listDelay(Catalog::Section section) const
{
    const auto sinceRestore = catalog_.timeWithoutEra(section);
    return sinceRestore ? restoredListDelay(watchBounds(), gossip_.isStoreChecker(), *sinceRestore) : core::Milliseconds(0);
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
        auto settings = settingsReader_();
        if (settings == currentSettings_) {
            return;
        }
        const bool needsRestart = !settings.hasSameAddresses(settings_);
        currentSettings_ = std::move(settings);
        dispatcher_.applySettings(currentSettings_);
        telemetry::setEventRateLimit(currentSettings_.maxLogLinesPerSecond);
        gossip_.addSeeds(currentSettings_.seedPeers);
        telemetry::logRateLimited("reload", {{"outcome", "in force"}, {"addresses_need_restart", needsRestart}});
    } catch (const std::exception &error) {
        telemetry::logRateLimited("reload", {{"outcome", "refused, the previous settings stay in force"}, {"reason", error.what()}});
    }
}

void GatewayNode::watchSettings()
{
    settingsTimer_.expires_after(internal::settingsPollPeriod);
    settingsTimer_.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            reload();
            watchSettings();
        }
    });
}

void GatewayNode::beginDrain()
{
    telemetry::logRateLimited("shutdown_begun", {});
    drainStart_ = std::chrono::steady_clock::now();
    checkDrain();
}

void GatewayNode::checkDrain()
{
    const auto now = std::chrono::steady_clock::now();
    const auto plan = planShutdown(drainStart_, currentSettings_.gracePeriod);
    const bool areRequestsToEnd = now >= plan.endRequests && !areRequestsEnded_;
    if (areRequestsToEnd) {
        listener_->close();
    }
    for (const auto &worker : workers_) {
        worker->setShutdownPlan(plan);
        if (now >= plan.refuse) {
            worker->closeIdleSessions();
        }
        if (areRequestsToEnd) {
            worker->endRequests();
        }
    }
    areRequestsEnded_ = now >= plan.endRequests; /* a reload may have moved that time */
    // A connection counts from its accept, on this thread, to its end, so that none can follow once there is none and the acceptor is closed.
    const bool isDone = now >= plan.refuse && openConnections() == 0;
    if ((isDone && !listener_->isOpen()) || now >= plan.exit) {
        telemetry::logRateLimited("drained", {{"open_connections", openConnections()}});
        stop();
        return;
    }
    if (isDone) {
        listener_->close();
    }
    drainTimer_.expires_after(internal::drainCheckPeriod);
    drainTimer_.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            checkDrain();
        }
    });
}

std::size_t GatewayNode::openConnections() const
{
    return std::accumulate(workers_.begin(), workers_.end(), std::size_t{0}, [](std::size_t sum, const auto &worker) {
        return sum + worker->sessionCount();
    });
}

void GatewayNode::stop()
{
    for (const auto &client : storeClients_) {
        client->stop();
    }
    storeChecks_.stop();
    startTimer_.cancel();
    settingsTimer_.cancel();
    gossip_.stop();
    for (const auto &worker : workers_) {
        worker->stop();
    }
}

bool GatewayNode::isReady() const
{
    const bool isPeerDiscoveryDone = gossip_.livePeerCount() > 0 || std::chrono::steady_clock::now() - startTime_ > internal::peerDiscoveryTime;
    return !draining_ && catalog_.isComplete() && isPeerDiscoveryDone && dispatcher_.routes() != nullptr;
}

OperatorPageInput GatewayNode::pageInput() const
{
    return {dispatcher_, catalog_, gossip_, isReady()};
}

asio::awaitable<void> GatewayNode::sendReadiness(const http::Request &request, http::Responder &responder)
{
    const std::string_view target(request.target().data(), request.target().size());
    const bool isReadyPath = target == platform::readyPath;
    const int status = !isReadyPath ? 404 : (isReady() ? 200 : 503);
    const http::Headers headers{{"Content-Type", "text/plain"}};
    const std::string body = status == 200 ? "ready\n" : "not ready\n";
    co_await responder.send(status, headers, body);
}

asio::awaitable<void> GatewayNode::sendOperatorPage(const http::Request &request, http::Responder &responder)
{
    const std::string_view target(request.target().data(), request.target().size());
    const bool isStatus = target == internal::statusPath;
    const http::Headers headers{{"Content-Type", isStatus ? "application/json" : "text/plain; version=0.0.4"}};
    const std::string body = isStatus ? formatStatus(pageInput()) : formatMetrics(pageInput());
    co_await responder.send(200, headers, body);
}

} // namespace cyclamenspool::gateway
