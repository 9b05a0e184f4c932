#include <cyclamenspool/node/node.h>

#include <cyclamenspool/http/refusal.h>
#include <cyclamenspool/telemetry/log.h>
#include <cyclamenspool/wire/eventloop.h>

#include <boost/asio/post.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <csignal>
#include <thread>
#include <vector>

namespace cyclamenspool::node {

namespace asio = boost::asio;

namespace internal {

constexpr core::Milliseconds tickInterval{50};
constexpr core::Milliseconds drainPollInterval{20};
constexpr core::Milliseconds overdueResponseTime{100}; /* for error responses to the requests that are open at the shutdown limit */
constexpr int forcedExitCode = 1;

http::Headers contentTypeHeader(const std::string &type)
{
    return {{"Content-Type", type}};
}

wire::SessionLimits sessionLimits(const config::Settings &settings)
{
    wire::SessionLimits limits;
    constexpr std::size_t envelopeBytes = 64UL * 1024; /* fields of a message around a request's body */
    limits.maxMessageBytes = std::max<std::size_t>(static_cast<std::size_t>(settings.maxBodyBytes) + envelopeBytes, 16UL * 1024 * 1024);
    return limits;
}

http::ServerLimits serverLimits(const config::Settings &settings)
{
    http::ServerLimits limits;
    limits.maxBodyBytes = static_cast<std::size_t>(settings.maxBodyBytes);
    limits.maxHeaderBytes = static_cast<std::uint32_t>(settings.maxHeaderBytes);
    limits.readTimeout = settings.callerTimeout;
    limits.writeTimeout = settings.callerTimeout;
    return limits;
}

} // namespace internal

Node::Node(config::Settings settings)
    : settings_(std::move(settings))
    , context_(settings_.workers)
    , store_(settings_.documents)
    , peers_(context_, internal::sessionLimits(settings_))
    , sync_(context_,
            settings_,
            store_,
            peers_,
            [this] {
                publishView();
            })
    , tickTimer_(context_)
    , drainTimer_(context_)
    , signals_(context_, SIGTERM, SIGINT)
{
}

int Node::run(Role &role)
{
    role_ = &role;
    telemetry::openLog(settings_.logFile, settings_.vm);
    const auto onMessage = [this](const std::shared_ptr<wire::ServerStream> &stream, const std::string &path, std::string message) {
        handleMessage(stream, path, std::move(message));
    };
    peerServer_ = std::make_unique<wire::PeerServer>(context_, settings_.peerAddress, internal::sessionLimits(settings_), onMessage);
    const auto onHttp = [this](const http::Request &request, http::Responder &responder) {
        return handleHttp(request, responder);
    };
    httpServer_ = std::make_unique<http::Server>(context_, settings_.httpAddress, internal::serverLimits(settings_), onHttp, http::refuseWithNewId);
    awaitSignal();
    sync_.start();
    tick();
    telemetry::logEvent("started", settings_.vm);
    std::vector<std::thread> workers;
    workers.reserve(static_cast<std::size_t>(settings_.workers));
    for (int i = 0; i < settings_.workers; ++i) {
        workers.emplace_back([this] {
            wire::runEventLoop(context_);
        });
    }
    for (auto &worker : workers) {
        worker.join();
    }
    telemetry::logEvent("stopped", settings_.vm);
    telemetry::closeLog(0);
    return 0;
}

void Node::publishView()
{
    const std::lock_guard lock(viewMutex_);
    if (!sync_.isReady() && !viewPublished_) {
        return;
    }
    viewPublished_ = true;
    role_->onView(std::make_shared<const member::FleetView>(store_.table(), store_.tableRevision()));
}

void Node::tick()
{
    if (!viewPublished_ && sync_.isReady()) {
        publishView();
    }
    role_->onTick(sync_.timeSinceServiceContact());
    tickTimer_.expires_after(internal::tickInterval);
    tickTimer_.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            tick();
        }
    });
}

void Node::refresh(std::function<void()> done)
{
    sync_.refresh(std::move(done));
}

void Node::awaitSignal()
{
    signals_.async_wait([this](const boost::system::error_code &error, int) {
        if (!error) {
            onSignal();
        }
    });
}

void Node::onSignal()
{
    if (draining_.exchange(true)) {
        telemetry::logEvent("stopped_at_once", "second termination signal");
        static_cast<void>(logDrained());
        telemetry::closeLog(internal::forcedExitCode);
        std::_Exit(internal::forcedExitCode);
    }
    telemetry::logEvent("shutdown_begun", settings_.vm);
    awaitSignal();
    drainTimer_.expires_after(settings_.unreadyPeriod);
    drainTimer_.async_wait([this](const boost::system::error_code &) {
        role_->beginShutdown();
        httpServer_->announceClose();
        drain(std::chrono::steady_clock::now() + settings_.shutdownLimit);
    });
}

void Node::drain(core::MonotonicTime deadline)
{
    const bool isOverdue = std::chrono::steady_clock::now() >= deadline;
    if (role_->openRequests() == 0 || isOverdue) {
        closeServers(deadline);
        return;
    }
    drainTimer_.expires_after(internal::drainPollInterval);
    drainTimer_.async_wait([this, deadline](const boost::system::error_code &) {
        drain(deadline);
    });
}

void Node::closeServers(core::MonotonicTime deadline)
{
    sync_.stop();
    drainTimer_.expires_at(std::max(deadline, std::chrono::steady_clock::now() + internal::drainPollInterval));
    drainTimer_.async_wait([this](const boost::system::error_code &) {
        stopOverdue();
    });
    const auto onQuiet = [this] {
        stopIfQuiet();
    };
    httpServer_->close(onQuiet);
    peerServer_->close(onQuiet);
}

void Node::stopIfQuiet()
{
    if (--openServers_ == 0 && logDrained()) {
        context_.stop();
    }
}

void Node::stopOverdue()
{
    for (const auto &request : role_->openPeerRequests()) {
        ++cutStreams_;
        telemetry::logEvent("request_cut", boost::json::object{{"request", request}, {"reason", "the process ended before the response was complete"}});
    }
    // The end of its streams fails the open requests of a router, so that their callers get a response.
    peerServer_->closeSessions();
    peers_.close();
    drainTimer_.expires_after(internal::overdueResponseTime);
    drainTimer_.async_wait([this](const boost::system::error_code &) {
        if (logDrained()) {
            context_.stop();
        }
    });
}

bool Node::logDrained()
{
    if (drained_.exchange(true)) {
        return false;
    }
    httpServer_->cutOpenRequests();
    const auto counts = httpServer_->counts();
    telemetry::logEvent("drained",
                        boost::json::object{{"taken", counts.taken},
                                            {"answered", counts.answered},
                                            {"refused", counts.refused},
                                            {"abandoned", counts.abandoned},
                                            {"cut", counts.cut},
                                            {"closed_unread", counts.closedUnread},
                                            {"cut_streams", cutStreams_.load()}});
    return true;
}

void Node::handleMessage(const std::shared_ptr<wire::ServerStream> &stream, const std::string &path, std::string message)
{
    if (path == "/documents") {
        stream->send(sync_.handlePull(message), true);
    } else if (path == "/push") {
        stream->send(sync_.handlePush(message), true);
    } else {
        role_->onMessage(stream, path, std::move(message));
    }
}

bool Node::isReady() const
{
    return sync_.isReady() && viewPublished_ && !draining_;
}

std::string Node::statusPage() const
{
    boost::json::object status;
    status["vm"] = settings_.vm;
    status["zone"] = settings_.zone;
    status["ready"] = isReady();
    status["draining"] = draining_.load();
    status["revision"] = store_.tableRevision();
    boost::json::object documents;
    for (const auto &state : store_.states()) {
        documents[state.name()] = state.revision();
    }
    status["documents"] = std::move(documents);
    status["service_age_ms"] = sync_.timeSinceServiceContact().count();
    status["open_requests"] = role_->openRequests();
    boost::json::array leaving;
    const auto table = store_.table();
    for (const auto &[name, mark] : table->leavingMarks()) {
        leaving.emplace_back(mark.kind + " " + name);
    }
    status["leaving"] = std::move(leaving);
    role_->addStatus(status);
    return boost::json::serialize(status) + "\n";
}

std::string Node::metricsPage()
{
    const auto &counts = sync_.counts();
    metrics_.set("cyclamenspool_ready", isReady() ? 1 : 0);
    metrics_.set("cyclamenspool_table_revision", static_cast<double>(store_.tableRevision()));
    metrics_.set("cyclamenspool_service_age_seconds", std::chrono::duration<double>(sync_.timeSinceServiceContact()).count());
    metrics_.set("cyclamenspool_service_calls_total", static_cast<double>(counts.serviceCalls));
    metrics_.set("cyclamenspool_service_errors_total", static_cast<double>(counts.serviceErrors));
    metrics_.set("cyclamenspool_documents_accepted_total", static_cast<double>(counts.accepted));
    metrics_.set("cyclamenspool_documents_refused_total", static_cast<double>(counts.refused));
    metrics_.set("cyclamenspool_document_bytes_total", static_cast<double>(counts.documentBytes));
    metrics_.set("cyclamenspool_open_requests", static_cast<double>(role_->openRequests()));
    role_->addMetrics(metrics_);
    return metrics_.text();
}

asio::awaitable<void> Node::handleHttp(const http::Request &request, http::Responder &responder)
{
    const auto plainText = internal::contentTypeHeader("text/plain");
    const auto json = internal::contentTypeHeader("application/json");
    const auto target = request.target();
    if (target == "/healthz") {
        co_await responder.send(200, plainText, "ok\n");
    } else if (target == "/readyz") {
        co_await responder.send(isReady() ? 200 : 503, plainText, isReady() ? "ready\n" : "not ready\n");
    } else if (target == "/metrics") {
        co_await responder.send(200, plainText, metricsPage());
    } else if (target == "/status") {
        co_await responder.send(200, json, statusPage());
    } else {
        co_await role_->onHttp(request, responder);
    }
}

} // namespace cyclamenspool::node
