#include "enginemodel.h"

#include <algorithm>

namespace cyclamenspool::fake {

EngineModel::EngineModel(const EngineParameters &parameters, const std::string &model)
    : parameters_(parameters)
{
    state_.incarnation = std::string(1, '1');
    state_.models = {model};
}

std::uint64_t EngineModel::lookup(const std::string &chat)
{
    const auto found = cacheIndex_.find(chat);
    if (found == cacheIndex_.end()) {
        return 0;
    }
    cache_.splice(cache_.begin(), cache_, found->second);
    return found->second->second;
}

void EngineModel::store(const std::string &chat, std::uint64_t tokens)
{
    const auto found = cacheIndex_.find(chat);
    if (found != cacheIndex_.end()) {
        usedTokens_ -= found->second->second;
        cache_.erase(found->second);
    }
    cache_.emplace_front(chat, tokens);
    cacheIndex_[chat] = cache_.begin();
    usedTokens_ += tokens;
    while (usedTokens_ > parameters_.cacheTokens && cache_.size() > 1) {
        usedTokens_ -= cache_.back().second;
        state_.evictedChats.push_back(cache_.back().first);
        cacheIndex_.erase(cache_.back().first);
        cache_.pop_back();
    }
}

EngineModel::ServiceTimes EngineModel::startRequest(const std::string &chat, std::uint64_t prompt, std::uint64_t decode, core::MonotonicTime now)
{
    ++batch_;
    const auto cached = std::min(lookup(chat), prompt);
    cachedTokens_ += cached;
    promptTokens_ += prompt;
    store(chat, prompt + decode);
    const bool isOverloaded = now < coldUntil_ && batch_ > parameters_.maxColdBatch;
    const double slowdown = isOverloaded ? parameters_.collapseFactor : 1.0;
    const std::chrono::duration<double> prefill(static_cast<double>(prompt - cached) / parameters_.prefillTokensPerSecond * slowdown);
    prefillFreeAt_ = std::max(prefillFreeAt_, now) + std::chrono::duration_cast<core::MonotonicTime::duration>(prefill);
    const auto step = parameters_.decodeStep * ((parameters_.batchReference + batch_) / parameters_.batchReference) * slowdown;
    const auto firstToken = std::chrono::duration_cast<std::chrono::microseconds>(prefillFreeAt_ - now + step);
    const auto lastToken = firstToken + std::chrono::duration_cast<std::chrono::microseconds>(step * static_cast<double>(decode));
    return {firstToken, lastToken, cached};
}

void EngineModel::run(const std::string &name, const wire::Submit &request, EventQueue &queue, const BackendSink &sink)
{
    const auto service = startRequest(request.chat(), request.prompt_tokens(), request.decode_tokens(), queue.now().monotonic);
    agent::BackendResponseHead head;
    head.status = 200;
    head.requestId = request.request_id();
    head.cachedTokens = service.cachedTokens;
    queue.add(service.timeToFirstToken, {"backend_work", name, [sink, head] {
                                             sink.onResponseHead(head);
                                         }});
    queue.add(service.timeToLastToken, {"backend_work", name, [this, sink] {
                                            finishRequest();
                                            sink.onResponseData("answer");
                                            sink.onResponseEnd();
                                        }});
}

void EngineModel::restart(core::MonotonicTime now)
{
    cache_.clear();
    cacheIndex_.clear();
    usedTokens_ = 0;
    ++state_.cacheEpoch;
    coldUntil_ = now + parameters_.coldDuration;
}

agent::EngineState EngineModel::state() const
{
    return state_;
}

} // namespace cyclamenspool::fake
