#pragma once

#include <chrono>
#include <string>
#include <vector>

namespace cyclamenspool::world {

/** @brief Backend servers that serve the same model, or the same plain service (one without a model). */
struct Pool {
    std::string name;
    std::string kind = "model"; /**< "model" or "service". */
    std::string model; /**< Name of the model. */
    double loadFactor = 1.25; /**< Load limit of one engine, as a multiple of the pool's mean load. */
    double maxTokens = 200000.0; /**< Capacity per unit of weight when warm, in outstanding tokens. */
    double coldTokens = 4000.0; /**< Capacity per unit of weight at the beginning of a cold start, in outstanding tokens. */
    std::chrono::milliseconds warmUp{30000}; /**< Duration of the ramp from cold to warm capacity. */
    std::vector<std::string> nonIdempotent; /**< Methods whose requests must not run more than once. */
    std::chrono::milliseconds retention{600000}; /**< Period during which an idempotency key is accepted and its record kept. */

    /** @brief Returns whether the pool serves a plain service rather than a model. */
    [[nodiscard]] bool isService() const noexcept
    {
        return kind == "service";
    }
};

} // namespace cyclamenspool::world
