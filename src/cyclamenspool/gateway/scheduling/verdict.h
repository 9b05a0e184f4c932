#pragma once

#include <cyclamenspool/core/now.h>

namespace cyclamenspool::gateway::scheduling {

/** @brief What to do with a request at this moment. */
enum class Verdict : int {
    Send, /**< A backend server can serve it in time. */
    Hold, /**< None can yet, but one is expected to before the request's limit: it waits at this gateway. */
    Reject, /**< None is expected to in time: it is refused at once. */
};

/** @brief Verdict on a request, with its reason. */
struct Decision {
    Verdict verdict = Verdict::Send;
    core::Milliseconds availableIn{0}; /**< Expected time until the request can be sent; zero: now, or not known. */
    const char *reason = ""; /**< For the log. */
};

} // namespace cyclamenspool::gateway::scheduling
