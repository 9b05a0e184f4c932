#pragma once

#include <cyclamenspool/gateway/backendcall.h>

namespace cyclamenspool::gateway {

/** @brief State of an event stream whose body has ended. */
struct StreamEnd {
    BodyEnd bodyEnd = BodyEnd::None;
    bool isInsideEvent = false; /**< Bytes follow the last complete event. */
    bool hasEvents = false; /**< An event was received, from this or an earlier backend server. */
    bool isResumed = false; /**< The request named an event after which the stream continues. */
};

/** @brief Returns why a stream whose body has ended is incomplete; null if it is complete. */
[[nodiscard]] const char *incompleteReason(const StreamEnd &end) noexcept;

} // namespace cyclamenspool::gateway
