#include "enginemodel.h"

#include <algorithm>

namespace cyclamenspool::fake {

EngineModel::EngineModel(const EngineTimes &times, const std::string &model)
    : times_(times)
{
    state_.incarnation = std::string(1, '1');
    state_.models = {model};
}

std::uint64_t EngineModel::lookup(const std::string &chat)
{
    const auto found = index_.find(chat);
    if (found == index_.end()) {
        return 0;
    }
    entries_.splice(entries_.begin(), entries_, found->second);
    return found->second->second;
}

void EngineModel::store(const std::string &chat, std::uint64_t tokens)
{
    const auto found = index_.find(chat);
    if (found != index_.end()) {
        used_ -= found->second->second;
        entries_.erase(found->second);
    }
    entries_.emplace_front(chat, tokens);
    index_[chat] = entries_.begin();
    used_ += tokens;
    while (used_ > times_.cacheTokens && entries_.size() > 1) {
        used_ -= entries_.back().second;
        state_.evictedChats.push_back(entries_.back().first);
        index_.erase(entries_.back().first);
        entries_.pop_back();
    }
}

EngineModel::Service EngineModel::serve(const std::string &chat, std::uint64_t prompt, std::uint64_t decode, core::MonotonicTime now)
{
    ++batch_;
    const auto cached = std::min(lookup(chat), prompt);
    warmTokens_ += cached;
    promptTokens_ += prompt;
    store(chat, prompt + decode);
    const bool collapses = now < coldUntil_ && batch_ > times_.coldBatch;
    const double slow = collapses ? times_.collapseFactor : 1.0;
    const std::chrono::duration<double> prefill(static_cast<double>(prompt - cached) / times_.prefillTokensPerSecond * slow);
    prefillFree_ = std::max(prefillFree_, now) + std::chrono::duration_cast<core::MonotonicTime::duration>(prefill);
    const auto step = times_.decodeStep * ((times_.batchReference + batch_) / times_.batchReference) * slow;
    const auto first = std::chrono::duration_cast<std::chrono::microseconds>(prefillFree_ - now + step);
    const auto last = first + std::chrono::duration_cast<std::chrono::microseconds>(step * static_cast<double>(decode));
    return {first, last, cached};
}

void EngineModel::run(const std::string &name, const wire::Submit &request, EventQueue &queue, const BackendSink &sink)
{
    const auto service = serve(request.chat(), request.prompt_tokens(), request.decode_tokens(), queue.now().monotonic);
    agent::BackendResponseHead begin;
    begin.status = 200;
    begin.requestId = request.request_id();
    begin.cachedTokens = service.cachedTokens;
    queue.add(service.firstToken, {"backend_work", name, [sink, begin] {
                                       sink.begin(begin);
                                   }});
    queue.add(service.lastToken, {"backend_work", name, [this, sink] {
                                      finish();
                                      sink.chunk("answer");
                                      sink.end();
                                  }});
}

void EngineModel::restart(core::MonotonicTime now)
{
    entries_.clear();
    index_.clear();
    used_ = 0;
    ++state_.cacheEpoch;
    coldUntil_ = now + times_.coldFor;
}

agent::EngineState EngineModel::state() const
{
    return state_;
}

} // namespace cyclamenspool::fake
