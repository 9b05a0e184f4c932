#pragma once

#include <cstdint>
#include <string_view>

namespace cyclamenspool::gateway {

/** @brief What makes two requests the same, whatever their ids and the gateways at which they arrive. */
struct RequestIdentity {
    std::string_view method;
    std::string_view host;
    std::string_view target; /**< Path and query. */
    std::string_view apiKey; /**< Of the caller; empty: none. */
    std::string_view body;
};

/** @brief Returns a hash of a request that is equal in all gateways. Equal texts in different fields give different hashes. */
[[nodiscard]] std::uint64_t fingerprintOf(const RequestIdentity &request) noexcept;

} // namespace cyclamenspool::gateway
