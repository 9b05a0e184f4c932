#include "ledger.h"

namespace cyclamenspool::fault {

std::string expectedAnswer(const wire::Submit &request)
{
    const auto &name = request.key().empty() ? request.request_id() : request.key();
    return "first part for " + name + "; second part for " + name + ".";
}

LedgerBackend::LedgerBackend(std::string server, std::shared_ptr<Ledger> ledger, std::string model)
    : server_(std::move(server))
    , ledger_(std::move(ledger))
{
    state_.incarnation = std::to_string(ledger_->restarts[server_]++);
    if (!model.empty()) {
        state_.models.push_back(std::move(model));
    }
}

void LedgerBackend::answer(const std::string &name, const std::string &text, fake::EventQueue &queue, const fake::BackendSink &sink)
{
    const auto half = text.size() / 2;
    const auto first = text.substr(0, half);
    const auto second = text.substr(half);
    const auto pause = ledger_->partTime;
    const auto finish = [&queue, name, sink, second, pause] {
        sink.chunk(second);
        queue.add(pause, {"backend_work", name, sink.end});
    };
    queue.add(pause, {"backend_work", name, [&queue, name, sink, first, finish, pause] {
                          sink.chunk(first);
                          queue.add(pause, {"backend_work", name, finish});
                      }});
}

void LedgerBackend::run(const std::string &name, const wire::Submit &request, fake::EventQueue &queue, const fake::BackendSink &sink)
{
    ++ledger_->runsByRequest[request.request_id()];
    ledger_->starts.emplace_back(name, queue.now().monotonic);
    if (!request.key().empty()) {
        ++ledger_->runsByKey[request.workspace() + "/" + request.key()];
    }
    wire::Submit answered = request;
    if (ledger_->crossed > 0) {
        --ledger_->crossed;
        answered.set_request_id("another request");
        answered.set_key("");
    }
    const auto text = expectedAnswer(answered);
    answers_[request.request_id()] = text;
    agent::BackendBegin begin;
    begin.status = 200;
    begin.contentType = "text/plain";
    begin.requestId = answered.request_id();
    sink.begin(begin);
    answer(name, text, queue, sink);
}

bool LedgerBackend::resume(const std::string &name, const std::string &request, std::uint64_t offset, fake::EventQueue &queue, const fake::BackendSink &sink)
{
    const auto found = answers_.find(request);
    if (found == answers_.end()) {
        return false;
    }
    answer(name, found->second.substr(offset), queue, sink);
    return true;
}

void LedgerBackend::order(const agent::OrderModel &order)
{
    ledger_->orders[server_].push_back(order);
    state_.models.push_back(order.model);
}

agent::EngineState LedgerBackend::state() const
{
    return state_;
}

} // namespace cyclamenspool::fault
