#pragma once

#include "backend.h"

#include <cstdint>
#include <list>
#include <map>
#include <string>

namespace cyclamenspool::fake {

/** @brief Times and sizes of a modelled engine. */
struct EngineTimes {
    double prefillTokensPerSecond = 8000.0;
    std::chrono::microseconds decodeStep{20000}; /**< For one token, alone. */
    double batchReference = 24.0; /**< Batch size at which a decode step takes twice as long as alone. */
    std::uint64_t cacheTokens = 400000;
    core::Milliseconds coldFor{20000};
    int coldBatch = 6; /**< Requests that a cold engine bears. */
    double collapseFactor = 8.0; /**< Slowdown of a cold engine beyond that. */
};

/** @brief Engine with a prefix cache: prefill one after the other, decode in a batch, collapse when cold and overloaded. */
class EngineModel final : public Backend
{
public:
    /** @brief Creates an engine. @param times Times and sizes. @param model Model loaded. */
    EngineModel(const EngineTimes &times, const std::string &model);

    void run(const std::string &name, const wire::Submit &request, EventQueue &queue, const BackendSink &sink) override;
    [[nodiscard]] agent::EngineState state() const override;

    /** @brief Serves a request without an agent. @param chat Chat. @param prompt Prompt tokens. @param decode Tokens to generate. @param now Time. @return
     * Times until first and last token. */
    struct Service {
        std::chrono::microseconds firstToken;
        std::chrono::microseconds lastToken;
        std::uint64_t cachedTokens;
    };
    [[nodiscard]] Service serve(const std::string &chat, std::uint64_t prompt, std::uint64_t decode, core::MonotonicTime now);

    /** @brief Notes that a request has ended. */
    void finish() noexcept
    {
        --batch_;
    }

    /** @brief Empties the cache and starts cold. @param now Time. */
    void restart(core::MonotonicTime now);

    /** @brief Returns the prompt tokens that were found warm, and all. @return Pair of both. */
    [[nodiscard]] std::pair<std::uint64_t, std::uint64_t> warmOfAll() const noexcept
    {
        return {warmTokens_, promptTokens_};
    }

private:
    using Entry = std::pair<std::string, std::uint64_t>;

    [[nodiscard]] std::uint64_t lookup(const std::string &chat);
    void store(const std::string &chat, std::uint64_t tokens);

    EngineTimes times_;
    agent::EngineState state_;
    std::list<Entry> entries_; /* most recently used first */
    std::map<std::string, std::list<Entry>::iterator> index_;
    std::uint64_t used_ = 0;
    int batch_ = 0;
    core::MonotonicTime prefillFree_{};
    core::MonotonicTime coldUntil_{};
    std::uint64_t warmTokens_ = 0;
    std::uint64_t promptTokens_ = 0;
};

} // namespace cyclamenspool::fake
