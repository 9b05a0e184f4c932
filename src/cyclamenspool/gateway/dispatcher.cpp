#include <cyclamenspool/gateway/dispatcher.h>

#include <cyclamenspool/core/hash.h>
#include <cyclamenspool/telemetry/log.h>

#include <algorithm>

namespace cyclamenspool::gateway {

namespace internal {

constexpr std::size_t maxHistories = 20000; /* 3 MB; a gateway of the largest fleet sees 6,250 chats that may continue */
constexpr std::size_t maxHistoryPlacements = 256; /* 8 KB in one update to a peer */
constexpr std::size_t maxZonePlacements = 1024; /* 12 KB in one message to another zone */
constexpr double retryBudgetMargin = 0.8; /* fraction of the retry budget that is used; the rest covers gateways that are not known yet */

core::MonotonicTime now()
{
    return std::chrono::steady_clock::now();
}

/** @brief Chooses one of a route's services in proportion to their weights; equal keys get the same service. */
const std::string &serviceOf(const world::Route &route, std::uint64_t key)
{
    double total = 0;
    for (const auto &trafficShare : route.services) {
        total += trafficShare.weight;
    }
    constexpr double range = 18446744073709551616.0; /* 2^64 */
    double point = static_cast<double>(core::hash64(key)) / range * total;
    for (const auto &trafficShare : route.services) {
        if (point < trafficShare.weight) {
            return trafficShare.service;
        }
        point -= trafficShare.weight;
    }
    return route.services.front().service;
}

/** @brief Returns the memory for the bodies of requests in bytes: half of the process's; 0: no limit. */
std::uint64_t bodyLimitOf(const config::GatewaySettings &settings) noexcept
{
    constexpr std::uint64_t bytesPerMb = 1'000'000;
    const auto memory = settings.memoryMb > 0 ? static_cast<std::uint64_t>(settings.memoryMb) * bytesPerMb : vmMemory();
    return memory / 2;
}

} // namespace internal

InFlightRequest::InFlightRequest(Dispatcher &dispatcher, ServerPtr server, std::string workspace, const std::optional<scheduling::SentPrompt> &prompt)
    : dispatcher_(dispatcher)
    , server_(std::move(server))
    , serverEntry_(server_->entry)
    , workspace_(std::move(workspace))
    , placedAt_(internal::now())
    , prompt_(prompt)
{
}

InFlightRequest::~InFlightRequest()
{
    finish(Outcome::Abandoned);
}

void InFlightRequest::onBytesReceived()
{
    if (isOpen_) {
        dispatcher_.onBytesReceived(*server_, serverEntry_.service, prompt_);
    }
}

void InFlightRequest::onHeadersReceived()
{
    if (isOpen_) {
        isAwaitingHeaders_ = false;
        timeToHeaders_ = internal::now() - placedAt_;
        dispatcher_.onHeadersReceived(*server_, serverEntry_.service, workspace_, placedAt_);
        dispatcher_.wakeNext(serverEntry_.service);
    }
}

void InFlightRequest::onStatement(const platform::ServerStatement &statement)
{
    if (isOpen_) {
        dispatcher_.onStatement(*server_, statement, placedAt_);
    }
}

void InFlightRequest::onLoadReport(const platform::ResponseHead &head)
{
    if (isOpen_) {
        dispatcher_.onLoadReport(*server_, head);
    }
}

bool InFlightRequest::isServerUnresponsive() const
{
    return dispatcher_.isUnresponsive(*server_);
}

void InFlightRequest::finish(Outcome outcome)
{
    if (isOpen_) {
        isOpen_ = false;
        if (isAwaitingHeaders_) {
            dispatcher_.onEndedWithoutHeaders(serverEntry_.service, workspace_);
        }
        if (objective_.count() > 0) {
            dispatcher_.onRequestMeasured(serverEntry_.service, outcome, timeToHeaders_, objective_);
        }
        if (prompt_) {
            dispatcher_.onPromptEnded(*server_, serverEntry_.service, *prompt_, outcome);
        }
        dispatcher_.endRequest(*server_, outcome);
        dispatcher_.wakeNext(serverEntry_.service);
    }
}

Dispatcher::Dispatcher(const config::GatewaySettings &settings)
    : settings_(settings)
    , splitter_(settings.peerAddress, std::max<std::size_t>(settings.seedPeers.size(), 1))
    , histories_(internal::maxHistories)
{
    bodyMemory_.setLimit(internal::bodyLimitOf(settings));
}

void Dispatcher::applySettings(const config::GatewaySettings &settings)
{
    const std::lock_guard lock(mutex_);
    settings_ = settings;
    bodyMemory_.setLimit(internal::bodyLimitOf(settings));
    const auto window = std::chrono::duration_cast<std::chrono::nanoseconds>(settings.retryWindow);
    for (auto &[service, serviceCounts] : serviceCounts_) {
        serviceCounts.requests.setWindow(window);
        serviceCounts.retries.setWindow(window);
    }
}

bool Dispatcher::onRouting(world::RoutingConfig routing)
{
    std::shared_ptr<const RouteTable> table;
    {
        const std::lock_guard lock(mutex_);
        if (routes_ != nullptr && routing.version <= routes_->routing().version) {
            return false;
        }
        table = std::make_shared<const RouteTable>(std::move(routing));
        routes_ = table;
    }
    meter_.retainRoutes(table->routing().routes);
    wakeAll();
    return true;
}

void Dispatcher::onGatewaySeen(const std::string &address, core::MonotonicTime seenAt)
{
    const std::lock_guard lock(mutex_);
    splitter_.onGatewaySeen(address, seenAt);
}

std::shared_ptr<const RouteTable> Dispatcher::routes() const
{
    const std::lock_guard lock(mutex_);
    return routes_;
}

Admission Dispatcher::admit(const platform::RequestHead &head, std::string_view target)
{
    Admission admission;
    admission.table = routes();
    if (admission.table == nullptr) {
        throw core::Error(core::ErrorKind::StaleView, "no routing configuration is known yet");
    }
    const auto &table = *admission.table;
    admission.route = table.find(head.host, target);
    if (admission.route == nullptr) {
        throw core::Error(core::ErrorKind::UnknownPath,
                          "no route in routing version " + std::to_string(table.routing().version) + " matches the host and path");
    }
    const auto &route = *admission.route;
    const auto *owner = table.ownerOf(head.apiKey);
    if (owner == nullptr && table.routing().requiresApiKey && !route.anonymous) {
        throw core::Error(core::ErrorKind::UnknownApiKey, "the API key is not in routing version " + std::to_string(table.routing().version));
    }
    admission.urgency = route.priority;
    if (owner != nullptr) {
        admission.workspace = owner->workspace;
        admission.urgency = owner->priority >= 0 ? owner->priority : route.priority;
    }
    if (route.usesPromptCache) {
        admission.history = historyPrefixesOf(head.parts);
        admission.promptTokens = head.promptTokens;
    }
    // One place is left for the fingerprint of the request.
    for (std::size_t i = 0; i + 1 < head.parts.size() && i + 1 < maxTrackedParts; ++i) {
        admission.quarantineKeys.push_back(head.parts[i].id);
    }
    const auto requestKey = head.id.empty() ? ++requestsWithoutId_ : core::hash64(head.id);
    const auto serviceKey = admission.history.empty() ? requestKey : admission.history.back().key;
    admission.service = internal::serviceOf(route, serviceKey);
    return admission;
}

PlacementLimits Dispatcher::limitsOf(const Admission &admission) const
{
    const auto &service = admission.table->settingsOf(admission.service);
    PlacementLimits limits;
    limits.zone = settings_.zone;
    limits.loadFactor = settings_.loadFactor;
    limits.maxConnections = service.maxConnections;
    if (service.coldRequestsPerSecond > 0) {
        limits.coldRequestsPerSecond = service.coldRequestsPerSecond * settings_.coldFactor + settings_.coldSlack;
    }
    return limits;
}

PromptDemand Dispatcher::promptDemandOf(const Admission &admission, const scheduling::FirstEventDemand &demand, core::MonotonicTime now)
{
    PromptDemand prompt;
    if (admission.promptTokens == 0 || admission.route->kind != world::RouteKind::Streaming) {
        return prompt;
    }
    auto &capacity = countsOf(admission.service).capacity;
    prompt.capacity = &capacity;
    prompt.tokens = admission.promptTokens;
    prompt.urgency = demand.urgency;
    prompt.slots = admission.table->settingsOf(admission.service).slots;
    prompt.limit = capacity.limitOf(demand, now);
    prompt.objective = demand.objective;
    return prompt;
}

PlacementResult Dispatcher::place(const Admission &admission, const std::vector<std::string> &tried, core::Milliseconds callerWait)
{
    const std::lock_guard lock(mutex_);
    const auto now = internal::now();
    const bool isRetry = !tried.empty();
    if (const char *reason = quarantineReason(admission, isRetry, now)) {
        return {nullptr, {}, core::ErrorKind::PromptQuarantined, reason};
    }
    if (isRetry && !isRetryAllowed(admission.service, now)) {
        return {nullptr, {}, core::ErrorKind::RetryBudget, "the retry budget is exhausted"};
    }
    auto &serviceCounts = countsOf(admission.service);
    if (!isRetry && !serviceCounts.backlog.isAdmitted({callerWait, admission.route->latencyObjective, admission.urgency, admission.workspace}, now)) {
        return {nullptr, {}, core::ErrorKind::PoolFull, "the requests that wait for the service take longer than the caller waits"};
    }
    PlacementQuery query;
    query.service = admission.service;
    query.historyKey = admission.historyKey();
    query.historyTokens = admission.history.empty() ? 0 : admission.history.back().tokens;
    query.holders = findHistoryHolders(histories_, admission.history, now);
    query.tried = tried;
    const scheduling::FirstEventDemand demand{admission.urgency, admission.route->latencyObjective, serviceCounts.backlog.shareFactor(admission.workspace)};
    query.prompt = promptDemandOf(admission, demand, now);
    const auto placement = gateway::place(fleet_, splitter_, query, limitsOf(admission), now);
    if (placement.server == nullptr) {
        return {nullptr, {}, placement.refusal, placement.reason, placement.availableIn};
    }
    std::optional<scheduling::SentPrompt> prompt;
    if (placement.estimate) {
        const auto decision = scheduling::ServiceCapacity::decide(demand, *placement.estimate, query.prompt.limit);
        if (decision.verdict != scheduling::Verdict::Send && !placement.hasRoomElsewhere) {
            return {nullptr, {}, core::ErrorKind::PoolFull, decision.reason, decision.availableIn, decision, placement.server->entry.id, placement.estimate};
        }
        const scheduling::PromptWork work{static_cast<std::uint32_t>(placement.estimate->ownTokens), admission.urgency};
        prompt = scheduling::SentPrompt{work, *placement.estimate, now, std::nullopt};
        serviceCounts.capacity.onSent(placement.server->capacity, *prompt);
    }
    serviceCounts.backlog.onSent(admission.workspace);
    (isRetry ? serviceCounts.retries : serviceCounts.requests).add(now);
    ++(isRetry ? counts_.retries : counts_.placed);
    beginRequest(*placement.server);
    const auto source = historySourceOf(query, *placement.server, now);
    recordHistoryPlacement(admission.history, *placement.server, now);
    PlacementResult result;
    result.inFlight = std::make_unique<InFlightRequest>(*this, placement.server, admission.workspace, prompt);
    result.historySource = source;
    result.reason = placement.reason;
    result.estimatedServer = placement.estimate ? placement.server->entry.id : std::string();
    result.estimate = placement.estimate;
    return result;
}

std::string Dispatcher::historySourceOf(const PlacementQuery &query, const ServerState &server, core::MonotonicTime now) const
{
    if (query.historyKey == 0) {
        return {};
    }
    const auto source = findHistorySource(fleet_, query, server, now);
    return source == nullptr ? std::string() : source->entry.address;
}

void Dispatcher::recordHistoryPlacement(const std::vector<HistoryPrefix> &history, const ServerState &server, core::MonotonicTime now)
{
    for (std::size_t i = 0; i < history.size(); ++i) {
        const HistoryPlacement placement{history[i].key, server.entry.id};
        const bool isNew = histories_.add(placement, now);
        const bool isLongest = i + 1 == history.size();
        if (!isLongest) {
            histories_.setContinuation(history[i].key, history[i + 1].key);
        }
        // Peers see the shorter prefixes in requests of their own; only whole histories are worth the bytes of an update.
        if (isNew && isLongest) {
            ++historyPlacementCount_;
            historyPlacements_.push_back(placement);
            recordZonePlacement(placement, now);
        }
    }
    if (historyPlacements_.size() > internal::maxHistoryPlacements) {
        historyPlacements_.pop_front();
    }
}

void Dispatcher::recordZonePlacement(const HistoryPlacement &placement, core::MonotonicTime now)
{
    zonePlacements_.push_back({placement, now});
    if (zonePlacements_.size() > internal::maxZonePlacements) {
        zonePlacements_.pop_front();
    }
}

void Dispatcher::onPeerHistoryPlacements(const std::vector<HistoryPlacement> &placements, bool isOwnZone)
{
    const std::lock_guard lock(mutex_);
    const auto now = internal::now();
    for (const auto &placement : placements) {
        histories_.add(placement, now);
        if (isOwnZone) {
            recordZonePlacement(placement, now);
        }
    }
}

std::vector<HistoryPlacement> Dispatcher::zoneHistoryPlacements(core::Milliseconds age) const
{
    const std::lock_guard lock(mutex_);
    const auto earliest = internal::now() - age;
    std::vector<HistoryPlacement> placements;
    for (const auto &recorded : zonePlacements_) {
        if (recorded.recordedAt >= earliest) {
            placements.push_back(recorded.placement);
        }
    }
    return placements;
}

std::vector<HistoryPlacement> Dispatcher::historyPlacementsSince(std::uint64_t &position) const
{
    const std::lock_guard lock(mutex_);
    const auto unsent = std::min<std::uint64_t>(historyPlacementCount_ - position, historyPlacements_.size());
    position = historyPlacementCount_;
    return {historyPlacements_.end() - static_cast<std::ptrdiff_t>(unsent), historyPlacements_.end()};
}

Dispatcher::ServiceCounts &Dispatcher::countsOf(const std::string &service)
{
    const auto window = std::chrono::duration_cast<std::chrono::nanoseconds>(settings_.retryWindow);
    return serviceCounts_.try_emplace(service, window).first->second;
}

const char *Dispatcher::quarantineReason(const Admission &admission, bool isRetry, core::MonotonicTime now)
{
    const auto verdict = quarantine_.check(admission.quarantineKeys, now);
    if (verdict == PromptQuarantine::Verdict::Quarantined) {
        return "backend servers crashed under this request or when they began to answer prompts with a part of this one";
    }
    const bool isSuspectedRetry = isRetry && verdict == PromptQuarantine::Verdict::Suspected;
    return isSuspectedRetry ? "not retried: backend servers may have crashed under the request or a part of the prompt" : nullptr;
}

bool Dispatcher::isRetryAllowed(const std::string &service, core::MonotonicTime now)
{
    auto &serviceCounts = countsOf(service);
    const auto slack = splitter_.shareOf(static_cast<std::size_t>(settings_.retrySlack * internal::retryBudgetMargin), service, now);
    const double requestBudget = settings_.retryRatio * internal::retryBudgetMargin * static_cast<double>(serviceCounts.requests.count(now));
    return static_cast<double>(serviceCounts.retries.count(now)) + 1 <= requestBudget + static_cast<double>(slack);
}

void Dispatcher::beginRequest(ServerState &server)
{
    const auto now = internal::now();
    ++server.outstanding;
    server.recentSends.add(now);
    server.statements.onSent(now);
    server.peerEstimateSends.add(now);
    // count() discards the sends that have left the window.
    static_cast<void>(server.peerEstimateSends.count(now));
    static_cast<void>(server.recentSends.count(now));
    if (!server.awaitingBytesSince) {
        server.awaitingBytesSince = now;
    }
}

void Dispatcher::onBytesReceived(ServerState &server, const std::string &service, std::optional<scheduling::SentPrompt> &prompt)
{
    const std::lock_guard lock(mutex_);
    const auto now = internal::now();
    server.awaitingBytesSince = now;
    if (!prompt || prompt->firstEventAt) {
        return;
    }
    countsOf(service).capacity.onFirstEvent(server.capacity, *prompt, now);
    if (prompt->estimate.expected.count() > 0) {
        expectedFirstEvents_.observe(prompt->estimate.expected);
        actualFirstEvents_.observe(now - prompt->sentAt);
    }
}

void Dispatcher::onLoadReport(ServerState &server, const platform::ResponseHead &head)
{
    if (!head.load && !head.isLoadMalformed) {
        return;
    }
    const std::lock_guard lock(mutex_);
    counts_.malformedLoads += head.isLoadMalformed ? 1 : 0;
    if (!head.load) {
        return;
    }
    constexpr double percent = 100;
    std::optional<double> paceMultiple;
    if (head.load->pacePercent) {
        paceMultiple = *head.load->pacePercent / percent;
    }
    server.capacity.onReport({head.load->running, head.load->waiting, head.load->slots, internal::now()}, paceMultiple);
}

void Dispatcher::onHeadersReceived(ServerState &server, const std::string &service, const std::string &workspace, core::MonotonicTime placedAt)
{
    const std::lock_guard lock(mutex_);
    const auto now = internal::now();
    countsOf(service).backlog.onHeaders(now, now - placedAt, workspace);
    server.awaitingBytesSince = now;
    Fleet::recordTimeToHeaders(server, now - placedAt);
}

void Dispatcher::onStatement(ServerState &server, const platform::ServerStatement &statement, core::MonotonicTime sentAt)
{
    boost::json::object line;
    {
        const std::lock_guard lock(mutex_);
        const auto now = internal::now();
        if (!server.statements.onResponse(statement, sentAt, now)) {
            return;
        }
        const auto limit = server.statements.limit(now);
        line = {{"server", server.entry.id}, {"leaving", server.statements.isLeaving()}};
        line["limit_per_s"] = limit ? boost::json::value(*limit) : boost::json::value(nullptr);
    }
    telemetry::logRateLimited("backend_server_statement", std::move(line));
}

void Dispatcher::onEndedWithoutHeaders(const std::string &service, const std::string &workspace)
{
    const std::lock_guard lock(mutex_);
    countsOf(service).backlog.onEndedWithoutHeaders(workspace);
}

bool Dispatcher::isUnresponsive(const ServerState &server) const
{
    const std::lock_guard lock(mutex_);
    return Fleet::isUnresponsive(server, internal::now());
}

void Dispatcher::onPromptEnded(ServerState &server, const std::string &service, const scheduling::SentPrompt &prompt, Outcome outcome)
{
    const std::lock_guard lock(mutex_);
    countsOf(service).capacity.onEnded(server.capacity, prompt, outcome == Outcome::Answered, internal::now());
}

void Dispatcher::endRequest(ServerState &server, Outcome outcome)
{
    const auto suspicion = recordOutcome(server, outcome);
    if (suspicion) {
        telemetry::logRateLimited("backend_server_suspect", *suspicion);
    }
}

std::optional<boost::json::object> Dispatcher::recordOutcome(ServerState &server, Outcome outcome)
{
    const std::lock_guard lock(mutex_);
    --server.outstanding;
    if (server.outstanding == 0) {
        server.awaitingBytesSince.reset();
    }
    ++counts_.outcomes[static_cast<std::size_t>(outcome)];
    server.answered += outcome == Outcome::Answered ? 1 : 0;
    server.failed += outcome == Outcome::Answered || outcome == Outcome::Abandoned ? 0 : 1;
    const auto previousSuspectUntil = server.suspectUntil;
    fleet_.recordOutcome(server, outcome, internal::now());
    if (server.suspectUntil <= previousSuspectUntil) {
        return std::nullopt;
    }
    return boost::json::object{
        {"server", server.entry.id}, {"outcome", nameOf(outcome)}, {"failures_in_row", server.consecutiveFailures}, {"failure_ratio", server.failureRatio}};
}

void Dispatcher::countRefusal(core::ErrorKind kind)
{
    const std::lock_guard lock(mutex_);
    ++counts_.refusals[static_cast<std::size_t>(kind)];
}

void Dispatcher::countCallerGone()
{
    const std::lock_guard lock(mutex_);
    ++counts_.callersGone;
}

std::vector<ServerView> Dispatcher::servers() const
{
    const std::lock_guard lock(mutex_);
    return fleet_.views(internal::now());
}

FirstEventView Dispatcher::firstEvents() const
{
    const std::lock_guard lock(mutex_);
    FirstEventView view{expectedFirstEvents_, actualFirstEvents_, {}};
    for (const auto &[service, serviceCounts] : serviceCounts_) {
        view.pending[service] = serviceCounts.capacity.pending();
    }
    return view;
}

QuarantineView Dispatcher::quarantine() const
{
    const std::lock_guard lock(mutex_);
    QuarantineView view;
    view.quarantined = quarantine_.quarantined(internal::now());
    view.suspects = quarantine_.suspectCount() - view.quarantined.size();
    return view;
}

DispatchCounts Dispatcher::counts() const
{
    const std::lock_guard lock(mutex_);
    return counts_;
}

} // namespace cyclamenspool::gateway
