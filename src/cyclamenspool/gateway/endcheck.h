#pragma once

#include <cyclamenspool/gateway/backendcall.h>

namespace cyclamenspool::gateway {

/** @brief What ended a successful response, and what the gateway can still do about it. */
struct ResponseEnd {
    BodyEnd bodyEnd = BodyEnd::None;
    bool isResumable = false; /**< The response is an event stream that another backend server can continue. */
    bool isEmptyRest = false; /**< An earlier backend server's stream had ended, and this one, asked for the rest, has sent nothing. */
    bool isAttemptLeft = false; /**< The route allows a further attempt. */
};

/** @brief How the end of a response is checked. */
enum class EndCheck : int {
    Framing, /**< A length or the last chunk proves it. */
    OtherServer, /**< Another backend server is asked for the rest of the stream. */
    Presence, /**< The backend server's process must still run: a crash ends its connections like a regular end. */
};

/** @brief Returns how the end of a response is checked before it counts as complete. */
[[nodiscard]] EndCheck checkOf(const ResponseEnd &end) noexcept;

} // namespace cyclamenspool::gateway
