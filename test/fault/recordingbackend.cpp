#include "recordingbackend.h"

namespace cyclamenspool::fault {

std::string expectedResponse(const wire::Submit &request)
{
    const auto &name = request.key().empty() ? request.request_id() : request.key();
    return "first part for " + name + "; second part for " + name + ".";
}

RecordingBackend::RecordingBackend(std::string server, std::shared_ptr<RunRecord> record, std::string model)
    : server_(std::move(server))
    , record_(std::move(record))
{
    state_.incarnation = std::to_string(record_->serverStartCounts[server_]++);
    if (!model.empty()) {
        state_.models.push_back(std::move(model));
    }
}

void RecordingBackend::sendResponse(const std::string &name, const std::string &text, fake::EventQueue &queue, const fake::BackendSink &sink)
{
    const auto half = text.size() / 2;
    const auto first = text.substr(0, half);
    const auto second = text.substr(half);
    const auto delay = record_->partDelay;
    const auto sendSecondPart = [&queue, name, sink, second, delay] {
        sink.onResponseData(second);
        queue.add(delay, {"backend_work", name, sink.onResponseEnd});
    };
    queue.add(delay, {"backend_work", name, [&queue, name, sink, first, sendSecondPart, delay] {
                          sink.onResponseData(first);
                          queue.add(delay, {"backend_work", name, sendSecondPart});
                      }});
}

void RecordingBackend::run(const std::string &name, const wire::Submit &request, fake::EventQueue &queue, const fake::BackendSink &sink)
{
    ++record_->runsByRequest[request.request_id()];
    record_->runStarts.emplace_back(name, queue.now().monotonic);
    if (!request.key().empty()) {
        ++record_->runsByKey[request.workspace() + "/" + request.key()];
    }
    wire::Submit answeredRequest = request;
    if (record_->mismatchedResponsesLeft > 0) {
        --record_->mismatchedResponsesLeft;
        answeredRequest.set_request_id("another request");
        answeredRequest.set_key("");
    }
    const auto text = expectedResponse(answeredRequest);
    responses_[request.request_id()] = text;
    agent::BackendResponseHead head;
    head.status = record_->status;
    head.contentType = "text/plain";
    head.requestId = answeredRequest.request_id();
    sink.onResponseHead(head);
    sendResponse(name, text, queue, sink);
}

bool RecordingBackend::resume(const std::string &name, const std::string &request, std::uint64_t offset, fake::EventQueue &queue, const fake::BackendSink &sink)
{
    const auto found = responses_.find(request);
    if (found == responses_.end()) {
        return false;
    }
    sendResponse(name, found->second.substr(offset), queue, sink);
    return true;
}

void RecordingBackend::order(const agent::OrderModelLoad &order)
{
    record_->orders[server_].push_back(order);
    state_.models.push_back(order.model);
}

agent::EngineState RecordingBackend::state() const
{
    return state_;
}

} // namespace cyclamenspool::fault
