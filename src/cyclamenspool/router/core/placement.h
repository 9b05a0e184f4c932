#pragma once

#include <cyclamenspool/core/random.h>
#include <cyclamenspool/member/fleetview.h>
#include <cyclamenspool/router/core/actions.h>

#include <string>
#include <vector>

namespace cyclamenspool::router {

/** @brief How a request is bound to backend servers. */
enum class Binding {
    Chat, /**< Prefers the chat's home; any member may serve it. */
    Any, /**< Any member may serve it. */
    KeyHome /**< Only the home of the caller's key may serve it. */
};

/** @brief Backend servers to try, best first. */
struct Placement {
    Binding binding = Binding::Any;
    std::vector<std::string> candidates;
    std::string reason;
    bool hinted = false; /**< The first candidate comes from the caller's location hint. */
};

/**
 * @brief Chooses the backend servers to try for a request.
 * @param request Request; its pool is in the view.
 * @param isKeyed True if the request is bound by the caller's idempotency key.
 * @param view Fleet view.
 * @param random Source for requests without a chat.
 * @return Placement; no candidates if no member takes work.
 */
[[nodiscard]] Placement place(const CallerRequest &request, bool isKeyed, const member::FleetView &view, core::RandomSource &random);

} // namespace cyclamenspool::router
