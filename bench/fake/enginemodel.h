#pragma once

#include "backend.h"

#include <cstdint>
#include <list>
#include <map>
#include <string>

namespace cyclamenspool::fake {

/** @brief Times and capacities of a modelled engine. */
struct EngineParameters {
    double prefillTokensPerSecond = 8000.0;
    std::chrono::microseconds decodeStep{20000}; /**< Duration of a decode step at batch size 0; it grows linearly with the batch size. */
    double batchReference = 24.0; /**< Batch size at which a decode step takes twice decodeStep. */
    std::uint64_t cacheTokens = 400000; /**< Capacity of the prefix cache. */
    core::Milliseconds coldDuration{20000}; /**< Duration of a cold start. */
    int maxColdBatch = 6; /**< Largest batch that a cold engine serves at full speed. */
    double collapseFactor = 8.0; /**< Factor on prefill and decode times during a cold start while the batch is larger than maxColdBatch. */
};

/** @brief Model of an engine: prefix cache, sequential prefill, batched decode, and a slowdown when it is overloaded during a cold start. */
class EngineModel final : public Backend
{
public:
    /** @brief Creates an engine. @param parameters Times and capacities. @param model Name of the loaded model. */
    EngineModel(const EngineParameters &parameters, const std::string &model);

    void run(const std::string &name, const wire::Submit &request, EventQueue &queue, const BackendSink &sink) override;
    [[nodiscard]] agent::EngineState state() const override;

    /** @brief Times from the start of a request to its first and its last token, and the prompt tokens that were cached. */
    struct ServiceTimes {
        std::chrono::microseconds timeToFirstToken;
        std::chrono::microseconds timeToLastToken;
        std::uint64_t cachedTokens; /**< Prompt tokens found in the prefix cache. */
    };

    /**
     * @brief Starts a request without an agent; finishRequest() must follow when its last token is due.
     * @param chat Chat whose history the prompt continues.
     * @param prompt Prompt tokens.
     * @param decode Tokens to generate.
     * @param now Time of the start.
     * @return Times until the first and the last token, and the cached prompt tokens.
     */
    [[nodiscard]] ServiceTimes startRequest(const std::string &chat, std::uint64_t prompt, std::uint64_t decode, core::MonotonicTime now);

    /** @brief Removes a finished request from the batch. */
    void finishRequest() noexcept
    {
        --batch_;
    }

    /** @brief Empties the prefix cache and begins a cold start. @param now Time of the restart. */
    void restart(core::MonotonicTime now);

    /** @brief Returns two sums over all requests, also those before a restart(): the prompt tokens found in the prefix cache, and all prompt tokens. */
    [[nodiscard]] std::pair<std::uint64_t, std::uint64_t> cachedAndTotalPromptTokens() const noexcept
    {
        return {cachedTokens_, promptTokens_};
    }

private:
    using Entry = std::pair<std::string, std::uint64_t>;

    [[nodiscard]] std::uint64_t lookup(const std::string &chat);
    void store(const std::string &chat, std::uint64_t tokens);

    EngineParameters parameters_;
    agent::EngineState state_;
    std::list<Entry> cache_; /* chat and tokens, most recently used first */
    std::map<std::string, std::list<Entry>::iterator> cacheIndex_;
    std::uint64_t usedTokens_ = 0;
    int batch_ = 0;
    core::MonotonicTime prefillFreeAt_{};
    core::MonotonicTime coldUntil_{};
    std::uint64_t cachedTokens_ = 0;
    std::uint64_t promptTokens_ = 0;
};

} // namespace cyclamenspool::fake
