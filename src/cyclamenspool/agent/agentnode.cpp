#include <cyclamenspool/agent/agentnode.h>

#include <cyclamenspool/http/refusal.h>
#include <cyclamenspool/telemetry/log.h>

#include <random>

namespace cyclamenspool::agent {

namespace internal {

AgentOptions optionsOf(const config::Settings &settings)
{
    AgentOptions options;
    options.vm = settings.vm;
    options.zone = settings.zone;
    options.server = settings.server;
    options.group = settings.group;
    options.viewLease = settings.viewLease;
    options.maxClockSkew = settings.maxClockSkew;
    options.takeOverDelay = settings.takeOverDelay;
    options.exchangePeriod = settings.exchangePeriod;
    options.weightStoreLoadsPerSecond = settings.weightStoreLoadsPerSecond;
    return options;
}

/** @brief Parses a message and passes it to a handler; drops and logs a malformed message. @return False if the message is malformed. */
template<typename Message, typename Handler>
bool handleMessage(const std::string &bytes, const char *name, const Handler &handler)
{
    Message message;
    const bool isValid = message.ParseFromString(bytes);
    if (isValid) {
        handler(message);
    } else {
        telemetry::logEvent("malformed_message", name);
    }
    return isValid;
}

/** @brief Returns the reply to a submission that cannot be read. */
wire::Reply malformedSubmitReply()
{
    wire::Reply reply;
    auto *failed = reply.mutable_failed();
    failed->set_kind(static_cast<int>(core::ErrorKind::BadRequest));
    failed->set_detail("the agent cannot read the message");
    return reply;
}

} // namespace internal

AgentNode::AgentNode(node::Node &node)
    : node_(node)
    , core_(internal::optionsOf(node.settings()), std::random_device{}(), core::Now::read())
    , backend_(node.context(), node.settings().backendAddress, backendCallbacks())
{
}

BackendCallbacks AgentNode::backendCallbacks()
{
    BackendCallbacks callbacks;
    callbacks.isStartAllowed = [this](std::uint64_t run) {
        return core_.isStartAllowed(run, core::Now::read());
    };
    callbacks.isOrderAllowed = [this](const OrderModelLoad &order) {
        return core_.isOrderAllowed(order, core::Now::read());
    };
    callbacks.onResponseHead = [this](std::uint64_t run, const BackendResponseHead &head) {
        execute(core_.onBackendResponseHead(run, head, core::Now::read()));
    };
    callbacks.onResponseData = [this](std::uint64_t run, const std::string &data) {
        execute(core_.onBackendResponseData(run, data, core::Now::read()));
    };
    callbacks.onResponseEnd = [this](std::uint64_t run) {
        execute(core_.onBackendResponseEnd(run, core::Now::read()));
    };
    callbacks.onConnectionLost = [this](std::uint64_t run, bool mayHaveBeenSent, const std::string &reason) {
        execute(core_.onBackendConnectionLost(run, mayHaveBeenSent, reason, core::Now::read()));
    };
    callbacks.onEngineState = [this](const std::optional<EngineState> &state) {
        execute(core_.onEngineState(state, core::Now::read()));
    };
    return callbacks;
}

void AgentNode::onView(std::shared_ptr<const member::FleetView> view)
{
    execute(core_.onView(std::move(view), core::Now::read()));
    if (!backendStarted_) {
        backendStarted_ = true;
        backend_.start();
    }
}

void AgentNode::onTick(core::Milliseconds timeSinceServiceContact)
{
    execute(core_.onTick(core::Now::read(), timeSinceServiceContact));
}

void AgentNode::beginShutdown()
{
    core_.beginShutdown();
}

std::size_t AgentNode::openRequests() const
{
    return core_.load(core::Now::read()).runs;
}

boost::asio::awaitable<void> AgentNode::onHttp(const http::Request &request, http::Responder &responder)
{
    const std::string detail = "an agent does not serve path " + std::string(request.target());
    co_await http::refuseWithNewId(core::ErrorKind::UnknownPath, detail, responder);
}

void AgentNode::onMessage(const std::shared_ptr<wire::ServerStream> &stream, const std::string &path, std::string message)
{
    if (path == "/submit") {
        onSubmit(stream, message);
    } else if (path == "/exchange") {
        std::string reply;
        internal::handleMessage<wire::Exchange>(message, "exchange", [&](const wire::Exchange &request) {
            reply = core_.onExchange(request, core::Now::read()).SerializeAsString();
        });
        exchangeBytes_ += message.size() + reply.size();
        stream->send(reply, true);
    } else if (path == "/placed") {
        internal::handleMessage<wire::Placed>(message, "placed", [this](const wire::Placed &placed) {
            core_.onChatPlacement(placed, core::Now::read());
        });
        stream->send("", true);
    } else if (path == "/handover") {
        std::string reply;
        internal::handleMessage<wire::HandOverRequest>(message, "handover", [&](const wire::HandOverRequest &request) {
            reply = core_.onHandOverRequest(request, core::Now::read()).SerializeAsString();
        });
        stream->send(reply, true);
    } else {
        telemetry::logEvent("unknown_message", path);
        stream->send("", true);
    }
}

void AgentNode::onSubmit(const std::shared_ptr<wire::ServerStream> &stream, const std::string &message)
{
    const auto id = nextStream_++;
    {
        const std::lock_guard lock(mutex_);
        streams_[id] = stream;
    }
    stream->onClosed([this, id] {
        {
            const std::lock_guard lock(mutex_);
            streams_.erase(id);
        }
        execute(core_.onStreamClosed(id, core::Now::read()));
    });
    const bool isValid = internal::handleMessage<wire::Submit>(message, "submit", [this, id](const wire::Submit &request) {
        execute(core_.onSubmit(id, request, core::Now::read()));
    });
    if (!isValid) {
        sendReply({id, internal::malformedSubmitReply(), true});
    }
}

void AgentNode::execute(const Actions &actions)
{
    for (const auto &action : actions) {
        if (const auto *decision = std::get_if<core::Decision>(&action)) {
            telemetry::logDecision(*decision);
        } else if (const auto *reply = std::get_if<SendReply>(&action)) {
            sendReply(*reply);
        } else if (const auto *start = std::get_if<StartRun>(&action)) {
            backend_.run(*start);
        } else if (const auto *resume = std::get_if<ResumeRun>(&action)) {
            backend_.resume(*resume);
        } else if (const auto *cancel = std::get_if<CancelRun>(&action)) {
            backend_.cancel(*cancel);
        } else if (const auto *loadExchange = std::get_if<SendExchange>(&action)) {
            sendExchange(*loadExchange);
        } else if (const auto *handOver = std::get_if<SendHandOver>(&action)) {
            sendHandOver(*handOver);
        } else if (const auto *placement = std::get_if<SendChatPlacement>(&action)) {
            sendChatPlacement(*placement);
        } else if (const auto *order = std::get_if<OrderModelLoad>(&action)) {
            backend_.order(*order);
        } else if (std::holds_alternative<RefreshView>(action)) {
            refreshView();
        }
    }
}

void AgentNode::sendReply(const SendReply &action)
{
    std::shared_ptr<wire::ServerStream> stream;
    {
        const std::lock_guard lock(mutex_);
        const auto found = streams_.find(action.stream);
        if (found == streams_.end()) {
            return;
        }
        stream = found->second;
    }
    stream->send(action.message.SerializeAsString(), action.last);
}

void AgentNode::sendExchange(const SendExchange &action)
{
    wire::StreamCallbacks callbacks;
    callbacks.onMessage = [this](const std::string &message) {
        exchangeBytes_ += message.size();
        internal::handleMessage<wire::Exchange>(message, "exchange reply", [this](const wire::Exchange &reply) {
            core_.onExchangeReply(reply, core::Now::read());
        });
    };
    callbacks.onEnd = [](const wire::StreamEnd &) {};
    auto message = action.message.SerializeAsString();
    exchangeBytes_ += message.size();
    node_.peers().submit(action.address, "/exchange", std::move(message), std::move(callbacks));
}

void AgentNode::sendHandOver(const SendHandOver &action)
{
    wire::StreamCallbacks callbacks;
    callbacks.onMessage = [this, server = action.server](const std::string &message) {
        internal::handleMessage<wire::HandOverReply>(message, "handover reply", [&](const wire::HandOverReply &reply) {
            core_.onHandOverReply(server, reply, core::Now::read());
        });
    };
    callbacks.onEnd = [](const wire::StreamEnd &) {};
    node_.peers().submit(action.address, "/handover", action.message.SerializeAsString(), std::move(callbacks));
}

void AgentNode::sendChatPlacement(const SendChatPlacement &action)
{
    wire::StreamCallbacks callbacks;
    callbacks.onMessage = [](const std::string &) {};
    callbacks.onEnd = [](const wire::StreamEnd &) {};
    node_.peers().submit(action.address, "/placed", action.message.SerializeAsString(), std::move(callbacks));
}

void AgentNode::refreshView()
{
    if (refreshing_.exchange(true)) {
        return;
    }
    node_.refresh([this] {
        core_.confirmView(core::Now::read());
        refreshing_ = false;
    });
}

void AgentNode::addStatus(boost::json::object &status) const
{
    const auto load = core_.load(core::Now::read());
    const auto counts = core_.counts();
    status["role"] = "agent";
    status["server"] = node_.settings().server;
    status["load_tokens"] = load.tokens;
    status["load_limit_tokens"] = load.limit;
    status["pool_mean_tokens"] = load.poolMean.value_or(-1.0);
    status["runs"] = load.runs;
    status["is_leaving"] = load.leaving;
    status["cold"] = load.cold;
    status["admitted"] = counts.admitted;
    status["whole_answers"] = counts.completed;
    status["stored_answers"] = counts.replayedResponses;
    status["cold_starts"] = counts.coldStarts;
    status["warm_tokens"] = counts.warmTokens;
    status["prompt_tokens"] = counts.promptTokens;
    boost::json::object refusals;
    for (const auto &[kind, count] : counts.refusals) {
        refusals[std::string(core::ruleOf(kind).name)] = count;
    }
    status["refusals"] = std::move(refusals);
}

std::vector<std::string> AgentNode::openPeerRequests() const
{
    return core_.openRequests();
}

void AgentNode::addMetrics(telemetry::Metrics &metrics) const
{
    const auto load = core_.load(core::Now::read());
    const auto counts = core_.counts();
    metrics.set("cyclamenspool_agent_load_tokens", load.tokens);
    metrics.set("cyclamenspool_agent_load_limit_tokens", load.limit);
    metrics.set("cyclamenspool_agent_pool_mean_tokens", load.poolMean.value_or(-1.0));
    metrics.set("cyclamenspool_agent_runs", static_cast<double>(load.runs));
    metrics.set("cyclamenspool_agent_admitted_total", static_cast<double>(counts.admitted));
    metrics.set("cyclamenspool_agent_whole_answers_total", static_cast<double>(counts.completed));
    metrics.set("cyclamenspool_agent_stored_answers_total", static_cast<double>(counts.replayedResponses));
    metrics.set("cyclamenspool_agent_dropped_answers_total", static_cast<double>(counts.droppedResponses));
    metrics.set("cyclamenspool_agent_cold_starts_total", static_cast<double>(counts.coldStarts));
    metrics.set("cyclamenspool_agent_orders_total", static_cast<double>(counts.orders));
    metrics.set("cyclamenspool_agent_warm_tokens_total", static_cast<double>(counts.warmTokens));
    metrics.set("cyclamenspool_agent_counted_warm_tokens_total", static_cast<double>(counts.estimatedWarmTokens));
    metrics.set("cyclamenspool_agent_prompt_tokens_total", static_cast<double>(counts.promptTokens));
    metrics.set("cyclamenspool_agent_exchange_bytes_total", static_cast<double>(exchangeBytes_));
    for (const auto &[kind, count] : counts.refusals) {
        metrics.set("cyclamenspool_agent_refusals_total{kind=\"" + std::string(core::ruleOf(kind).name) + "\"}", static_cast<double>(count));
    }
}

} // namespace cyclamenspool::agent
