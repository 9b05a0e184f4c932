#pragma once

#include <cyclamenspool/core/now.h>
#include <cyclamenspool/telemetry/log.h>

#include <cstddef>
#include <optional>
#include <string>

namespace cyclamenspool::gateway::internal {

using core::Milliseconds;

inline constexpr std::size_t peersPerUpdate = 2; /* peers advertised in one update, in rotation, to a recipient that has the full list */
inline constexpr Milliseconds advertisedMaxAge{10000}; /* only peers with a more recent sign of life are advertised, and count as live in other zones */
inline constexpr const char *zonePath = "/zone";
inline constexpr const char *listPath = "/list";
inline constexpr const char *sharePath = "/totals";
inline constexpr const char *promptsPath = "/prompts";

/** @brief Returns the time between two points in time. */
[[nodiscard]] inline Milliseconds elapsed(core::MonotonicTime time, core::MonotonicTime now)
{
    return std::chrono::duration_cast<Milliseconds>(now - time);
}

/** @brief Logs a message that could not be decoded. @param message Decoded message, or empty. @param path Path of the message. @param bytes Its size.
 * @return The message unchanged. */
template<typename Message>
std::optional<Message> logIfUnreadable(std::optional<Message> message, const char *path, std::size_t bytes)
{
    if (!message) {
        telemetry::logRateLimited("peer_message_unreadable", {{"path", path}, {"bytes", bytes}});
    }
    return message;
}

/** @brief Returns whether a text is an IP address with a port; logs it if it is not. */
[[nodiscard]] bool isValidAddress(const std::string &text);

} // namespace cyclamenspool::gateway::internal
