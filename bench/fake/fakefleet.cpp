#include "fakefleet.h"

#include <algorithm>

namespace cyclamenspool::fake {

namespace {

constexpr std::chrono::milliseconds pingTimeout{3000}; /* an unanswered PING closes the connection */
constexpr std::chrono::milliseconds refreshTime{300}; /* duration of a refresh of the fleet view */
constexpr int ticksPerPoll = 5; /* between two polls of the backend server's state */
constexpr std::size_t frameBytes = 48; /* allowance for the HTTP/2 frames of a control message */

} // namespace

FakeFleet::FakeFleet(Options options)
    : options_(std::move(options))
    , table_(std::make_shared<config::Table>())
{
    table_->apply(config::parseRows(options_.vmsYaml, "vms"));
    for (const auto &[name, vm] : table_->vms()) {
        states_[name] = {};
        if (vm.role == "router") {
            routers_[name].zone = vm.zone;
            continue;
        }
        auto &agent = agents_[name];
        agent.zone = vm.zone;
        agent.server = vm.server;
        agent.group = vm.group;
        backends_[vm.server] = options_.makeBackend(vm.server);
        states_[vm.server] = {};
    }
    publish(options_.tableYaml, options_.vmsYaml);
    for (const auto &[name, router] : routers_) {
        startRouter(name);
    }
    for (const auto &[name, agent] : agents_) {
        startAgent(name);
    }
}

void FakeFleet::startRouter(const std::string &vm)
{
    routers_.at(vm).core = std::make_unique<router::RouterCore>(vm, router::RouterLimits{}, options_.seed + ++seedOffset_);
    applyView(vm);
    scheduleTicks(vm, 0);
}

void FakeFleet::startAgent(const std::string &vm)
{
    auto &agent = agents_.at(vm);
    agent::AgentOptions options;
    options.vm = vm;
    options.zone = agent.zone;
    options.server = agent.server;
    options.group = agent.group;
    agent.core = std::make_unique<agent::AgentCore>(options, options_.seed + ++seedOffset_, queue_.now());
    applyView(vm);
    execute(vm, agent.core->onEngineState(backends_.at(agent.server)->state(), queue_.now()));
    scheduleTicks(vm, 0);
}

void FakeFleet::publish(const std::string &table, const std::string &vms, const std::set<std::string> &processes)
{
    if (!table.empty()) {
        options_.tableYaml = table;
    }
    if (!vms.empty()) {
        options_.vmsYaml = vms;
    }
    auto next = std::make_shared<config::Table>();
    next->apply(config::parseRows(options_.tableYaml, "table"));
    next->checkReferences("table");
    next->apply(config::parseRows(options_.vmsYaml, "vms"));
    revision_ += table.empty() ? 0 : 1;
    newestView_ = std::make_shared<const member::FleetView>(next, revision_);
    for (const auto &[name, state] : states_) {
        const bool isSelected = processes.empty() || processes.count(name) > 0;
        if (!isSelected || backends_.count(name) > 0) {
            continue;
        }
        views_[name] = newestView_;
        const bool isStarted = (routers_.count(name) > 0 && routers_.at(name).core) || (agents_.count(name) > 0 && agents_.at(name).core);
        if (isStarted && state.alive) {
            post("view", name, {}, [this, name = name] {
                applyView(name);
            });
        }
    }
}

void FakeFleet::applyView(const std::string &vm)
{
    if (routers_.count(vm) > 0) {
        execute(vm, routers_.at(vm).core->onView(views_.at(vm), queue_.now()));
    } else {
        execute(vm, agents_.at(vm).core->onView(views_.at(vm), queue_.now()));
    }
}

void FakeFleet::scheduleTicks(const std::string &vm, int tickCount)
{
    post("tick", vm, options_.tickInterval, [this, vm, tickCount] {
        if (routers_.count(vm) > 0) {
            execute(vm, routers_.at(vm).core->onTick(queue_.now()));
        } else {
            auto &agent = agents_.at(vm);
            const auto blocked = updatesBlockedSince_.find(vm);
            const auto age = blocked == updatesBlockedSince_.end() ? core::MonotonicTime::duration(0) : queue_.now().monotonic - blocked->second;
            execute(vm, agent.core->onTick(queue_.now(), std::chrono::duration_cast<core::Milliseconds>(age)));
            if (tickCount % ticksPerPoll == 0) {
                const bool isServerUp = isUp(agent.server);
                const auto state = isServerUp ? std::optional(backends_.at(agent.server)->state()) : std::nullopt;
                execute(vm, agent.core->onEngineState(state, queue_.now()));
            }
        }
        scheduleTicks(vm, tickCount + 1);
    });
}

void FakeFleet::post(const std::string &label, const std::string &process, std::chrono::microseconds delay, std::function<void()> deliver)
{
    queue_.add(delay, {label, process, std::move(deliver)});
}

void FakeFleet::deliver(Event event)
{
    const auto state = states_.find(event.process);
    if (state == states_.end()) {
        event.deliver();
        return;
    }
    if (!state->second.alive) {
        return;
    }
    if (state->second.frozen) {
        state->second.inbox.push_back(std::move(event));
        return;
    }
    event.deliver();
}

void FakeFleet::run(core::Milliseconds duration)
{
    const auto limit = queue_.now().monotonic + duration;
    while (queue_.peek(limit) != nullptr) {
        deliver(queue_.pop());
    }
    queue_.advanceTo(limit);
}

bool FakeFleet::runUntil(const std::string &label, core::Milliseconds limit, const std::string &process)
{
    const auto end = queue_.now().monotonic + limit;
    while (const auto *event = queue_.peek(end)) {
        if (event->label == label && (process.empty() || event->process == process)) {
            return true;
        }
        deliver(queue_.pop());
    }
    return false;
}

void FakeFleet::sendRequest(const std::string &router, router::CallerRequest request)
{
    const auto id = request.id;
    auto &response = responses_[id];
    response.sentAt = queue_.now().monotonic;
    routerByRequest_[id] = router;
    if (!states_.at(router).alive) {
        response.final = true;
        response.endedAt = response.sentAt;
        return;
    }
    post("accepted", router, {}, [this, router, request = std::move(request)] {
        execute(router, routers_.at(router).core->onRequest(request, queue_.now()));
    });
}

CallerResponse &FakeFleet::responseTo(const std::string &request)
{
    return responses_[request];
}

void FakeFleet::execute(const std::string &vm, const router::Actions &actions)
{
    const auto finish = [this](const std::string &request) -> CallerResponse & {
        auto &response = responses_[request];
        response.final = true;
        ++response.finalCount;
        response.endedAt = queue_.now().monotonic;
        return response;
    };
    for (const auto &action : actions) {
        if (const auto *decision = std::get_if<core::Decision>(&action)) {
            if (options_.recordDecisions) {
                decisions_.push_back(*decision);
            }
        } else if (const auto *send = std::get_if<router::SendAttempt>(&action)) {
            post("placed", vm, {}, [this, vm, send = *send] {
                transmit(vm, send);
            });
        } else if (const auto *head = std::get_if<router::ResponseHead>(&action)) {
            responses_[head->requestId].status = head->status;
            responses_[head->requestId].server = head->server;
            responses_[head->requestId].firstByteAt = queue_.now().monotonic;
        } else if (const auto *chunk = std::get_if<router::ResponseChunk>(&action)) {
            responses_[chunk->requestId].body += chunk->data;
        } else if (const auto *end = std::get_if<router::ResponseEnd>(&action)) {
            finish(end->requestId).isComplete = true;
        } else if (const auto *failure = std::get_if<router::ResponseFailure>(&action)) {
            auto &response = finish(failure->requestId);
            response.errorKind = failure->kind;
            response.runState = failure->runState;
            response.retryAfter = failure->retryAfter;
        } else if (const auto *cancel = std::get_if<router::CancelAttempt>(&action)) {
            const auto found = streamsByAttempt_.find({vm, cancel->attemptId});
            if (found != streamsByAttempt_.end()) {
                auto &stream = streams_[found->second];
                stream.routerOpen = false;
                post("cancel", stream.agent, latency(vm, stream.agent), [this, id = found->second, agent = stream.agent] {
                    streams_[id].agentOpen = false;
                    execute(agent, agents_.at(agent).core->onStreamClosed(id, queue_.now()));
                });
            }
        } else if (std::holds_alternative<router::RefreshView>(action)) {
            refresh(vm);
        }
    }
}

void FakeFleet::transmit(const std::string &vm, const router::SendAttempt &send)
{
    const auto id = nextStreamId_++;
    const auto &agent = send.address;
    streams_[id] = {vm, agent, send.attemptId};
    streamsByAttempt_[{vm, send.attemptId}] = id;
    const auto fail = [this, vm, attempt = send.attemptId](const std::string &reason) {
        post("lost", vm, {}, [this, vm, attempt, reason] {
            execute(vm, routers_.at(vm).core->onAttemptLost(attempt, false, reason, queue_.now()));
        });
    };
    const auto link = droppedDirectionsOf(vm, agent);
    const bool known = agents_.count(agent) > 0;
    if (!known || !states_.at(agent).alive || link.toAgent || link.toRouter) {
        fail("cannot connect");
        return;
    }
    streams_[id].transmitted = true;
    post("sent", agent, latency(vm, agent), [this, id, agent, message = send.message] {
        streams_[id].agentOpen = true;
        execute(agent, agents_.at(agent).core->onSubmit(id, message, queue_.now()));
    });
}

void FakeFleet::execute(const std::string &vm, const agent::Actions &actions)
{
    for (const auto &action : actions) {
        if (const auto *decision = std::get_if<core::Decision>(&action)) {
            if (options_.recordDecisions) {
                decisions_.push_back(*decision);
            }
        } else if (const auto *send = std::get_if<agent::SendReply>(&action)) {
            sendReply(vm, *send);
        } else if (const auto *start = std::get_if<agent::StartRun>(&action)) {
            post("admitted", vm, {}, [this, vm, start = *start] {
                startRun(vm, start);
            });
        } else if (const auto *resume = std::get_if<agent::ResumeRun>(&action)) {
            resumeRun(vm, *resume);
        } else if (const auto *cancel = std::get_if<agent::CancelRun>(&action)) {
            backends_.at(agents_.at(vm).server)->cancel(cancel->request);
        } else if (const auto *exchange = std::get_if<agent::SendExchange>(&action)) {
            sendExchange(vm, *exchange);
        } else if (const auto *request = std::get_if<agent::SendHandOver>(&action)) {
            sendHandOverRequest(vm, *request);
        } else if (const auto *placed = std::get_if<agent::SendChatPlacement>(&action)) {
            controlBytes_ += placed->message.ByteSizeLong() + frameBytes;
            post("control", placed->address, latency(vm, placed->address), [this, placed = *placed] {
                agents_.at(placed.address).core->onChatPlacement(placed.message, queue_.now());
            });
        } else if (const auto *order = std::get_if<agent::OrderModelLoad>(&action)) {
            post("order_decided", vm, {}, [this, vm, order = *order] {
                sendModelOrder(vm, order);
            });
        } else if (std::holds_alternative<agent::RefreshView>(action)) {
            refresh(vm);
        }
    }
}

void FakeFleet::sendReply(const std::string &vm, const agent::SendReply &send)
{
    const auto found = streams_.find(send.stream);
    if (found == streams_.end() || !found->second.agentOpen) {
        return;
    }
    auto &stream = found->second;
    stream.final = stream.final || send.last;
    if (droppedDirectionsOf(stream.router, vm).toRouter) {
        return;
    }
    const char *label = send.message.has_begin() ? "first_byte" : send.message.has_chunk() ? "mid_stream" : send.message.has_end() ? "last_byte" : "refused";
    const int copies = duplicatesLeft_-- > 0 ? 2 : 1;
    duplicatesLeft_ = std::max(duplicatesLeft_, 0);
    for (int copy = 0; copy < copies; ++copy) {
        post(label, stream.router, latency(vm, stream.router), [this, id = send.stream, message = send.message] {
            const auto &stream = streams_[id];
            if (stream.routerOpen) {
                execute(stream.router, routers_.at(stream.router).core->onReply(stream.attempt, message, queue_.now()));
            }
        });
    }
}

BackendSink FakeFleet::sinkFor(const std::string &vm, std::uint64_t run)
{
    BackendSink sink;
    sink.onResponseHead = [this, vm, run](const agent::BackendResponseHead &head) {
        post("backend_begin", vm, {}, [this, vm, run, head] {
            execute(vm, agents_.at(vm).core->onBackendResponseHead(run, head, queue_.now()));
        });
    };
    sink.onResponseData = [this, vm, run](const std::string &data) {
        post("backend_chunk", vm, {}, [this, vm, run, data] {
            execute(vm, agents_.at(vm).core->onBackendResponseData(run, data, queue_.now()));
        });
    };
    sink.onResponseEnd = [this, vm, run] {
        post("backend_end", vm, {}, [this, vm, run] {
            runs_.erase({vm, run});
            execute(vm, agents_.at(vm).core->onBackendResponseEnd(run, queue_.now()));
        });
    };
    return sink;
}

void FakeFleet::startRun(const std::string &vm, const agent::StartRun &start)
{
    const auto server = agents_.at(vm).server;
    if (!agents_.at(vm).core->isStartAllowed(start.run, queue_.now())) {
        failRun(vm, start.run, false, "stopped before it was sent");
        return;
    }
    if (!states_.at(server).alive) {
        failRun(vm, start.run, false, "cannot connect");
        return;
    }
    runs_[{vm, start.run}] = start.request.request_id();
    post("recorded", server, {}, [this, vm, server, start] {
        post("to_backend", server, {}, [this, vm, server, start] {
            backends_.at(server)->run(server, start.request, queue_, sinkFor(vm, start.run));
        });
    });
}

void FakeFleet::sendModelOrder(const std::string &vm, const agent::OrderModelLoad &order)
{
    if (!agents_.at(vm).core->isOrderAllowed(order, queue_.now())) {
        return;
    }
    const auto server = agents_.at(vm).server;
    post("order_sent", server, {}, [this, server, order] {
        backends_.at(server)->order(order);
    });
}

void FakeFleet::resumeRun(const std::string &vm, const agent::ResumeRun &resume)
{
    const auto server = agents_.at(vm).server;
    const bool known = isUp(server) && backends_.at(server)->resume(server, resume.request, resume.offset, queue_, sinkFor(vm, resume.run));
    if (!known) {
        failRun(vm, resume.run, true, "the backend server cannot resume the response");
    }
}

void FakeFleet::failRun(const std::string &vm, std::uint64_t run, bool sent, const std::string &reason)
{
    runs_.erase({vm, run});
    post("lost", vm, {}, [this, vm, run, sent, reason] {
        execute(vm, agents_.at(vm).core->onBackendConnectionLost(run, sent, reason, queue_.now()));
    });
}

void FakeFleet::sendExchange(const std::string &vm, const agent::SendExchange &send)
{
    controlBytes_ += send.message.ByteSizeLong() + frameBytes;
    post("control", send.address, latency(vm, send.address), [this, vm, peer = send.address, message = send.message] {
        const auto reply = agents_.at(peer).core->onExchange(message, queue_.now());
        controlBytes_ += reply.ByteSizeLong() + frameBytes;
        post("control", vm, latency(peer, vm), [this, vm, reply] {
            agents_.at(vm).core->onExchangeReply(reply, queue_.now());
        });
    });
}

void FakeFleet::sendHandOverRequest(const std::string &vm, const agent::SendHandOver &send)
{
    const auto &peer = send.address;
    if (agents_.count(peer) == 0 || !states_.at(peer).alive) {
        return;
    }
    post("handover", peer, latency(vm, peer), [this, vm, peer, send] {
        const auto reply = agents_.at(peer).core->onHandOverRequest(send.message, queue_.now());
        controlBytes_ += send.message.ByteSizeLong() + reply.ByteSizeLong() + 2 * frameBytes;
        post("handover_reply", vm, latency(peer, vm), [this, vm, server = send.server, reply] {
            agents_.at(vm).core->onHandOverReply(server, reply, queue_.now());
        });
    });
}

void FakeFleet::refresh(const std::string &vm)
{
    post("refresh", vm, refreshTime, [this, vm] {
        if (refreshSourcesReachable_ && views_.at(vm) != newestView_) {
            views_[vm] = newestView_;
            applyView(vm);
        }
        if (routers_.count(vm) > 0) {
            execute(vm, routers_.at(vm).core->confirmView(queue_.now()));
        } else {
            agents_.at(vm).core->confirmView(queue_.now());
        }
    });
}

void FakeFleet::closeStream(std::uint64_t id, const std::string &reason)
{
    const auto found = streams_.find(id);
    if (found == streams_.end()) {
        return;
    }
    auto &stream = found->second;
    if (std::exchange(stream.routerOpen, false)) {
        post("closed", stream.router, {}, [this, router = stream.router, attempt = stream.attempt, sent = stream.transmitted, reason] {
            execute(router, routers_.at(router).core->onAttemptLost(attempt, sent, reason, queue_.now()));
        });
    }
    const bool wasOpen = std::exchange(stream.agentOpen, false);
    if (wasOpen || stream.transmitted) {
        post("closed", stream.agent, {}, [this, agent = stream.agent, id] {
            streams_[id].agentOpen = false;
            execute(agent, agents_.at(agent).core->onStreamClosed(id, queue_.now()));
        });
    }
}

void FakeFleet::closeStreams(const std::string &vm, const std::string &peer, const std::string &reason)
{
    std::vector<std::uint64_t> ids;
    for (const auto &[id, stream] : streams_) {
        const bool isSelected = (stream.router == vm && (peer.empty() || stream.agent == peer)) || (peer.empty() && stream.agent == vm);
        if (isSelected) {
            ids.push_back(id);
        }
    }
    for (const auto id : ids) {
        closeStream(id, reason);
    }
}

void FakeFleet::kill(const std::string &name)
{
    auto &state = states_.at(name);
    state.alive = false;
    state.frozen = false;
    state.inbox.clear();
    queue_.removeIf([&name](const Event &event) {
        return event.process == name;
    });
    if (backends_.count(name) > 0) {
        const auto open = runs_;
        for (const auto &[key, request] : open) {
            if (agents_.at(key.first).server == name) {
                failRun(key.first, key.second, true, "connection reset");
            }
        }
        return;
    }
    if (routers_.count(name) > 0) {
        for (const auto &[request, router] : routerByRequest_) {
            auto &response = responses_[request];
            if (router == name && !response.final) {
                response.final = true;
                response.endedAt = queue_.now().monotonic;
            }
        }
    }
    closeStreams(name, "", "connection reset");
}

void FakeFleet::restart(const std::string &name)
{
    states_.at(name).alive = true;
    ++states_.at(name).incarnation;
    if (backends_.count(name) > 0) {
        backends_[name] = options_.makeBackend(name);
    } else if (routers_.count(name) > 0) {
        startRouter(name);
    } else {
        startAgent(name);
    }
}

void FakeFleet::freeze(const std::string &name)
{
    states_.at(name).frozen = true;
    if (backends_.count(name) > 0) {
        return;
    }
    post("ping", "network", pingTimeout, [this, name] {
        if (states_.at(name).frozen) {
            closeStreams(name, "", "the peer does not answer PING");
        }
    });
}

void FakeFleet::resume(const std::string &name)
{
    auto &state = states_.at(name);
    state.frozen = false;
    auto inbox = std::exchange(state.inbox, {});
    for (auto &event : inbox) {
        queue_.add({}, std::move(event));
    }
}

void FakeFleet::dropMessages(const std::string &router, const std::string &agent, DroppedDirections directions)
{
    droppedDirections_[{router, agent}] = directions;
    queue_.removeIf([&](const Event &event) {
        const bool request = directions.toAgent && event.process == agent && event.label == "sent";
        const bool reply = directions.toRouter && event.process == router
            && (event.label == "first_byte" || event.label == "mid_stream" || event.label == "last_byte" || event.label == "refused");
        return request || reply;
    });
    post("ping", "network", pingTimeout, [this, router, agent] {
        closeStreams(router, agent, "the peer does not answer PING");
    });
}

void FakeFleet::setUpdatesBlocked(const std::string &name, bool blocked)
{
    if (blocked) {
        updatesBlockedSince_[name] = queue_.now().monotonic;
    } else {
        updatesBlockedSince_.erase(name);
    }
}

void FakeFleet::restoreLink(const std::string &router, const std::string &agent)
{
    droppedDirections_.erase({router, agent});
}

void FakeFleet::resetConnection(const std::string &router, const std::string &agent)
{
    dropMessages(router, agent, {true, true});
    closeStreams(router, agent, "connection reset");
    restoreLink(router, agent);
}

DroppedDirections FakeFleet::droppedDirectionsOf(const std::string &router, const std::string &agent) const
{
    const auto found = droppedDirections_.find({router, agent});
    return found == droppedDirections_.end() ? DroppedDirections{} : found->second;
}

std::string FakeFleet::zoneOf(const std::string &vm) const
{
    const auto router = routers_.find(vm);
    if (router != routers_.end()) {
        return router->second.zone;
    }
    const auto agent = agents_.find(vm);
    return agent == agents_.end() ? "" : agent->second.zone;
}

std::chrono::microseconds FakeFleet::latency(const std::string &from, const std::string &to) const
{
    return options_.latency ? options_.latency(zoneOf(from), zoneOf(to)) : std::chrono::microseconds(0);
}

bool FakeFleet::isUp(const std::string &name) const
{
    const auto found = states_.find(name);
    return found != states_.end() && found->second.alive && !found->second.frozen;
}

agent::AgentCore &FakeFleet::agent(const std::string &vm)
{
    return *agents_.at(vm).core;
}

router::RouterCore &FakeFleet::router(const std::string &vm)
{
    return *routers_.at(vm).core;
}

Backend &FakeFleet::backend(const std::string &server)
{
    return *backends_.at(server);
}

} // namespace cyclamenspool::fake
