#pragma once

#include <chrono>
#include <string>
#include <vector>

namespace cyclamenspool::world {

/** @brief A set of backend servers that serve the same model or plain service. */
struct Pool {
    std::string name;
    std::string kind = "model"; /**< "model" or "service". */
    std::string model;
    double loadBound = 1.25; /**< Largest load of one engine, as a multiple of the pool's mean. */
    double maxTokens = 200000.0; /**< Outstanding tokens that one unit of weight bears when warm. */
    double coldTokens = 4000.0; /**< Outstanding tokens that one unit of weight bears at cold start. */
    std::chrono::milliseconds warmUp{30000}; /**< Length of the cold start ramp. */
    std::vector<std::string> nonIdempotent; /**< Methods that may not be repeated. */
    std::chrono::milliseconds retention{600000}; /**< How long idempotency records are kept. */

    /** @brief Tells whether the pool serves a plain service. @return True for a plain service. */
    [[nodiscard]] bool isService() const noexcept
    {
        return kind == "service";
    }
};

} // namespace cyclamenspool::world
