#include "fakefleet.h"

#include <algorithm>

namespace cyclamenspool::fake {

namespace {

constexpr std::chrono::milliseconds pingTimeout{3000}; /* unanswered PINGs until a peer is given up */
constexpr std::chrono::milliseconds refreshTime{300};
constexpr int ticksPerPoll = 5; /* ticks between two polls of a backend server's state */
constexpr std::size_t frameBytes = 48; /* HTTP/2 frames around a control message */

} // namespace

FakeFleet::FakeFleet(Shape shape)
    : shape_(std::move(shape))
    , table_(std::make_shared<config::Table>())
{
    table_->apply(config::parseRows(shape_.vms, "vms"));
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
        backends_[vm.server] = shape_.makeBackend(vm.server);
        states_[vm.server] = {};
    }
    publish(shape_.table, shape_.vms);
    for (const auto &[name, router] : routers_) {
        startRouter(name);
    }
    for (const auto &[name, agent] : agents_) {
        startAgent(name);
    }
}

void FakeFleet::startRouter(const std::string &vm)
{
    routers_.at(vm).core = std::make_unique<router::RouterCore>(vm, router::RouterLimits{}, shape_.seed + ++seedStep_);
    giveView(vm);
    tickForever(vm, 0);
}

void FakeFleet::startAgent(const std::string &vm)
{
    auto &agent = agents_.at(vm);
    agent::AgentOptions options;
    options.vm = vm;
    options.zone = agent.zone;
    options.server = agent.server;
    options.group = agent.group;
    agent.core = std::make_unique<agent::AgentCore>(options, shape_.seed + ++seedStep_, queue_.now());
    giveView(vm);
    carryOut(vm, agent.core->onEngineState(backends_.at(agent.server)->state(), queue_.now()));
    tickForever(vm, 0);
}

void FakeFleet::publish(const std::string &table, const std::string &vms, const std::set<std::string> &processes)
{
    if (!table.empty()) {
        shape_.table = table;
    }
    if (!vms.empty()) {
        shape_.vms = vms;
    }
    auto next = std::make_shared<config::Table>();
    next->apply(config::parseRows(shape_.table, "table"));
    next->checkReferences("table");
    next->apply(config::parseRows(shape_.vms, "vms"));
    revision_ += table.empty() ? 0 : 1;
    newest_ = std::make_shared<const member::FleetView>(next, revision_);
    for (const auto &[name, state] : states_) {
        const bool chosen = processes.empty() || processes.count(name) > 0;
        if (!chosen || backends_.count(name) > 0) {
            continue;
        }
        views_[name] = newest_;
        const bool started = (routers_.count(name) > 0 && routers_.at(name).core) || (agents_.count(name) > 0 && agents_.at(name).core);
        if (started && state.alive) {
            post("view", name, {}, [this, name = name] {
                giveView(name);
            });
        }
    }
}

void FakeFleet::giveView(const std::string &vm)
{
    if (routers_.count(vm) > 0) {
        carryOut(vm, routers_.at(vm).core->onView(views_.at(vm), queue_.now()));
    } else {
        carryOut(vm, agents_.at(vm).core->onView(views_.at(vm), queue_.now()));
    }
}

void FakeFleet::tickForever(const std::string &vm, int tick)
{
    post("tick", vm, shape_.tick, [this, vm, tick] {
        if (routers_.count(vm) > 0) {
            carryOut(vm, routers_.at(vm).core->onTick(queue_.now()));
        } else {
            auto &agent = agents_.at(vm);
            const auto lost = outOfTouchSince_.find(vm);
            const auto age = lost == outOfTouchSince_.end() ? core::MonotonicTime::duration(0) : queue_.now().monotonic - lost->second;
            carryOut(vm, agent.core->onTick(queue_.now(), std::chrono::duration_cast<core::Milliseconds>(age)));
            if (tick % ticksPerPoll == 0) {
                const bool answers = isUp(agent.server);
                const auto state = answers ? std::optional(backends_.at(agent.server)->state()) : std::nullopt;
                carryOut(vm, agent.core->onEngineState(state, queue_.now()));
            }
        }
        tickForever(vm, tick + 1);
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

void FakeFleet::run(core::Milliseconds length)
{
    const auto limit = queue_.now().monotonic + length;
    while (queue_.next(limit) != nullptr) {
        deliver(queue_.pop());
    }
    queue_.advanceTo(limit);
}

bool FakeFleet::runTo(const std::string &label, core::Milliseconds limit, const std::string &process)
{
    const auto end = queue_.now().monotonic + limit;
    while (const auto *event = queue_.next(end)) {
        if (event->label == label && (process.empty() || event->process == process)) {
            return true;
        }
        deliver(queue_.pop());
    }
    return false;
}

void FakeFleet::ask(const std::string &router, router::CallerRequest request)
{
    const auto id = request.id;
    auto &answer = answers_[id];
    answer.asked = queue_.now().monotonic;
    askedRouter_[id] = router;
    if (!states_.at(router).alive) {
        answer.final = true;
        answer.answered = answer.asked;
        return;
    }
    post("accepted", router, {}, [this, router, request = std::move(request)] {
        carryOut(router, routers_.at(router).core->onRequest(request, queue_.now()));
    });
}

CallerAnswer &FakeFleet::answer(const std::string &request)
{
    return answers_[request];
}

void FakeFleet::carryOut(const std::string &vm, const router::Actions &actions)
{
    const auto finish = [this](const std::string &request) -> CallerAnswer & {
        auto &answer = answers_[request];
        answer.final = true;
        ++answer.finals;
        answer.answered = queue_.now().monotonic;
        return answer;
    };
    for (const auto &action : actions) {
        if (const auto *decision = std::get_if<core::Decision>(&action)) {
            if (shape_.logDecisions) {
                decisions_.push_back(*decision);
            }
        } else if (const auto *send = std::get_if<router::SendAttempt>(&action)) {
            post("placed", vm, {}, [this, vm, send = *send] {
                transmit(vm, send);
            });
        } else if (const auto *begin = std::get_if<router::ResponseHead>(&action)) {
            answers_[begin->requestId].status = begin->status;
            answers_[begin->requestId].server = begin->server;
            answers_[begin->requestId].firstByte = queue_.now().monotonic;
        } else if (const auto *chunk = std::get_if<router::ResponseChunk>(&action)) {
            answers_[chunk->requestId].body += chunk->data;
        } else if (const auto *end = std::get_if<router::ResponseEnd>(&action)) {
            finish(end->requestId).whole = true;
        } else if (const auto *failure = std::get_if<router::ResponseFailure>(&action)) {
            auto &answer = finish(failure->requestId);
            answer.kind = failure->kind;
            answer.runState = failure->runState;
            answer.retryAfter = failure->retryAfter;
        } else if (const auto *cancel = std::get_if<router::CancelAttempt>(&action)) {
            const auto found = attempts_.find({vm, cancel->attemptId});
            if (found != attempts_.end()) {
                auto &stream = streams_[found->second];
                stream.routerOpen = false;
                post("cancel", stream.agent, latency(vm, stream.agent), [this, id = found->second, agent = stream.agent] {
                    streams_[id].agentOpen = false;
                    carryOut(agent, agents_.at(agent).core->onStreamClosed(id, queue_.now()));
                });
            }
        } else if (std::holds_alternative<router::RefreshView>(action)) {
            refresh(vm);
        }
    }
}

void FakeFleet::transmit(const std::string &vm, const router::SendAttempt &send)
{
    const auto id = nextStream_++;
    const auto &agent = send.address;
    streams_[id] = {vm, agent, send.attemptId};
    attempts_[{vm, send.attemptId}] = id;
    const auto fail = [this, vm, attempt = send.attemptId](const std::string &reason) {
        post("lost", vm, {}, [this, vm, attempt, reason] {
            carryOut(vm, routers_.at(vm).core->onAttemptLost(attempt, false, reason, queue_.now()));
        });
    };
    const auto link = linkOf(vm, agent);
    const bool known = agents_.count(agent) > 0;
    if (!known || !states_.at(agent).alive || link.forward || link.backward) {
        fail("cannot connect");
        return;
    }
    streams_[id].transmitted = true;
    post("sent", agent, latency(vm, agent), [this, id, agent, message = send.message] {
        streams_[id].agentOpen = true;
        carryOut(agent, agents_.at(agent).core->onSubmit(id, message, queue_.now()));
    });
}

void FakeFleet::carryOut(const std::string &vm, const agent::Actions &actions)
{
    for (const auto &action : actions) {
        if (const auto *decision = std::get_if<core::Decision>(&action)) {
            if (shape_.logDecisions) {
                decisions_.push_back(*decision);
            }
        } else if (const auto *send = std::get_if<agent::SendReply>(&action)) {
            reply(vm, *send);
        } else if (const auto *start = std::get_if<agent::StartRun>(&action)) {
            post("admitted", vm, {}, [this, vm, start = *start] {
                startRun(vm, start);
            });
        } else if (const auto *resume = std::get_if<agent::ResumeRun>(&action)) {
            resumeRun(vm, *resume);
        } else if (const auto *cancel = std::get_if<agent::CancelRun>(&action)) {
            backends_.at(agents_.at(vm).server)->cancel(cancel->request);
        } else if (const auto *load = std::get_if<agent::SendExchange>(&action)) {
            exchange(vm, *load);
        } else if (const auto *question = std::get_if<agent::SendHandOver>(&action)) {
            handOver(vm, *question);
        } else if (const auto *placed = std::get_if<agent::SendChatPlacement>(&action)) {
            controlBytes_ += placed->message.ByteSizeLong() + frameBytes;
            post("control", placed->address, latency(vm, placed->address), [this, placed = *placed] {
                agents_.at(placed.address).core->onChatPlacement(placed.message, queue_.now());
            });
        } else if (const auto *order = std::get_if<agent::OrderModelLoad>(&action)) {
            post("order_decided", vm, {}, [this, vm, order = *order] {
                giveOrder(vm, order);
            });
        } else if (std::holds_alternative<agent::RefreshView>(action)) {
            refresh(vm);
        }
    }
}

void FakeFleet::reply(const std::string &vm, const agent::SendReply &send)
{
    const auto found = streams_.find(send.stream);
    if (found == streams_.end() || !found->second.agentOpen) {
        return;
    }
    auto &stream = found->second;
    stream.final = stream.final || send.last;
    if (linkOf(stream.router, vm).backward) {
        return;
    }
    const char *label = send.message.has_begin() ? "first_byte" : send.message.has_chunk() ? "mid_stream" : send.message.has_end() ? "last_byte" : "refused";
    const int copies = duplicates_-- > 0 ? 2 : 1;
    duplicates_ = std::max(duplicates_, 0);
    for (int copy = 0; copy < copies; ++copy) {
        post(label, stream.router, latency(vm, stream.router), [this, id = send.stream, message = send.message] {
            const auto &stream = streams_[id];
            if (stream.routerOpen) {
                carryOut(stream.router, routers_.at(stream.router).core->onReply(stream.attempt, message, queue_.now()));
            }
        });
    }
}

BackendSink FakeFleet::sinkFor(const std::string &vm, std::uint64_t run)
{
    BackendSink sink;
    sink.begin = [this, vm, run](const agent::BackendResponseHead &begin) {
        post("backend_begin", vm, {}, [this, vm, run, begin] {
            carryOut(vm, agents_.at(vm).core->onBackendResponseHead(run, begin, queue_.now()));
        });
    };
    sink.chunk = [this, vm, run](const std::string &data) {
        post("backend_chunk", vm, {}, [this, vm, run, data] {
            carryOut(vm, agents_.at(vm).core->onBackendResponseData(run, data, queue_.now()));
        });
    };
    sink.end = [this, vm, run] {
        post("backend_end", vm, {}, [this, vm, run] {
            runs_.erase({vm, run});
            carryOut(vm, agents_.at(vm).core->onBackendResponseEnd(run, queue_.now()));
        });
    };
    return sink;
}

void FakeFleet::startRun(const std::string &vm, const agent::StartRun &start)
{
    const auto server = agents_.at(vm).server;
    if (!agents_.at(vm).core->isStartAllowed(start.run, queue_.now())) {
        loseRun(vm, start.run, false, "stopped before it was sent");
        return;
    }
    if (!states_.at(server).alive) {
        loseRun(vm, start.run, false, "cannot connect");
        return;
    }
    runs_[{vm, start.run}] = start.request.request_id();
    post("recorded", server, {}, [this, vm, server, start] {
        post("to_backend", server, {}, [this, vm, server, start] {
            backends_.at(server)->run(server, start.request, queue_, sinkFor(vm, start.run));
        });
    });
}

void FakeFleet::giveOrder(const std::string &vm, const agent::OrderModelLoad &order)
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
        loseRun(vm, resume.run, true, "the backend server cannot go on with the answer");
    }
}

void FakeFleet::loseRun(const std::string &vm, std::uint64_t run, bool sent, const std::string &reason)
{
    runs_.erase({vm, run});
    post("lost", vm, {}, [this, vm, run, sent, reason] {
        carryOut(vm, agents_.at(vm).core->onBackendConnectionLost(run, sent, reason, queue_.now()));
    });
}

void FakeFleet::exchange(const std::string &vm, const agent::SendExchange &send)
{
    controlBytes_ += send.message.ByteSizeLong() + frameBytes;
    post("control", send.address, latency(vm, send.address), [this, vm, peer = send.address, message = send.message] {
        const auto answered = agents_.at(peer).core->onExchange(message, queue_.now());
        controlBytes_ += answered.ByteSizeLong() + frameBytes;
        post("control", vm, latency(peer, vm), [this, vm, answered] {
            agents_.at(vm).core->onExchangeReply(answered, queue_.now());
        });
    });
}

void FakeFleet::handOver(const std::string &vm, const agent::SendHandOver &send)
{
    const auto &peer = send.address;
    if (agents_.count(peer) == 0 || !states_.at(peer).alive) {
        return;
    }
    post("handover", peer, latency(vm, peer), [this, vm, peer, send] {
        const auto answered = agents_.at(peer).core->onHandOverRequest(send.message, queue_.now());
        controlBytes_ += send.message.ByteSizeLong() + answered.ByteSizeLong() + 2 * frameBytes;
        post("handover_reply", vm, latency(peer, vm), [this, vm, server = send.server, answered] {
            agents_.at(vm).core->onHandOverReply(server, answered, queue_.now());
        });
    });
}

void FakeFleet::refresh(const std::string &vm)
{
    post("refresh", vm, refreshTime, [this, vm] {
        if (refreshReachable_ && views_.at(vm) != newest_) {
            views_[vm] = newest_;
            giveView(vm);
        }
        if (routers_.count(vm) > 0) {
            carryOut(vm, routers_.at(vm).core->confirmView(queue_.now()));
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
            carryOut(router, routers_.at(router).core->onAttemptLost(attempt, sent, reason, queue_.now()));
        });
    }
    const bool wasOpen = std::exchange(stream.agentOpen, false);
    if (wasOpen || stream.transmitted) {
        post("closed", stream.agent, {}, [this, agent = stream.agent, id] {
            streams_[id].agentOpen = false;
            carryOut(agent, agents_.at(agent).core->onStreamClosed(id, queue_.now()));
        });
    }
}

void FakeFleet::closeStreamsBetween(const std::string &a, const std::string &b, const std::string &reason)
{
    std::vector<std::uint64_t> ids;
    for (const auto &[id, stream] : streams_) {
        const bool between = (stream.router == a && (b.empty() || stream.agent == b)) || (b.empty() && stream.agent == a);
        if (between) {
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
                loseRun(key.first, key.second, true, "connection reset");
            }
        }
        return;
    }
    if (routers_.count(name) > 0) {
        for (const auto &[request, router] : askedRouter_) {
            auto &answer = answers_[request];
            if (router == name && !answer.final) {
                answer.final = true;
                answer.answered = queue_.now().monotonic;
            }
        }
    }
    closeStreamsBetween(name, "", "connection reset");
}

void FakeFleet::restart(const std::string &name)
{
    states_.at(name).alive = true;
    ++states_.at(name).incarnation;
    if (backends_.count(name) > 0) {
        backends_[name] = shape_.makeBackend(name);
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
            closeStreamsBetween(name, "", "the peer does not answer PING");
        }
    });
}

void FakeFleet::wake(const std::string &name)
{
    auto &state = states_.at(name);
    state.frozen = false;
    auto inbox = std::exchange(state.inbox, {});
    for (auto &event : inbox) {
        queue_.add({}, std::move(event));
    }
}

void FakeFleet::cut(const std::string &router, const std::string &agent, LinkCut cut)
{
    cuts_[{router, agent}] = cut;
    queue_.removeIf([&](const Event &event) {
        const bool request = cut.forward && event.process == agent && event.label == "sent";
        const bool reply = cut.backward && event.process == router
            && (event.label == "first_byte" || event.label == "mid_stream" || event.label == "last_byte" || event.label == "refused");
        return request || reply;
    });
    post("ping", "network", pingTimeout, [this, router, agent] {
        closeStreamsBetween(router, agent, "the peer does not answer PING");
    });
}

void FakeFleet::setOutOfTouch(const std::string &name, bool cutOff)
{
    if (cutOff) {
        outOfTouchSince_[name] = queue_.now().monotonic;
    } else {
        outOfTouchSince_.erase(name);
    }
}

void FakeFleet::mend(const std::string &router, const std::string &agent)
{
    cuts_.erase({router, agent});
}

void FakeFleet::reset(const std::string &router, const std::string &agent)
{
    cut(router, agent, {true, true});
    closeStreamsBetween(router, agent, "connection reset");
    mend(router, agent);
}

LinkCut FakeFleet::linkOf(const std::string &router, const std::string &agent) const
{
    const auto found = cuts_.find({router, agent});
    return found == cuts_.end() ? LinkCut{} : found->second;
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
    return shape_.latency ? shape_.latency(zoneOf(from), zoneOf(to)) : std::chrono::microseconds(0);
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
