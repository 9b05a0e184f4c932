#pragma once

#include <cyclamenspool/core/random.h>
#include <cyclamenspool/member/fleetview.h>
#include <cyclamenspool/router/core/actions.h>

#include <string>
#include <vector>

namespace cyclamenspool::router {

/**
 * @brief What ties a request to certain backend servers.
 *
 * The home of a chat or an idempotency key is the backend server that ranks first for it by rendezvous hashing: over the members that
 * accept new requests for a chat, over FleetView::keyHomes() for a key.
 */
enum class Affinity {
    Chat, /**< Prefers the chat's home; any member of the pool may serve the request. */
    None, /**< No preference: any member of the pool may serve the request. */
    IdempotencyKey /**< Only the home of the caller's idempotency key may serve the request. */
};

/** @brief Backend servers to try for a request. */
struct Placement {
    Affinity affinity = Affinity::None;
    std::vector<std::string> candidates; /**< In order of preference. */
    std::string reason; /**< Why the first candidate was chosen, for the log. */
    bool isHinted = false; /**< The first candidate comes from the caller's location hint. */
};

/**
 * @brief Chooses the backend servers to try for a request.
 * @param request Request; its pool must be in the view.
 * @param isKeyed True if the request carries an idempotency key from the caller.
 * @param random Random source for requests without a chat and a key.
 * @return At most 1 candidate for a keyed request; otherwise up to 4. For a request with a chat, the backend server of a valid location
 * hint comes first, as a fifth if it is not among the 4; other requests ignore the hint. None if no member accepts new requests or, for a keyed
 * request, if the pool has no home for keys; the home of a key may be down.
 */
[[nodiscard]] Placement choosePlacement(const CallerRequest &request, bool isKeyed, const member::FleetView &view, core::RandomSource &random);

} // namespace cyclamenspool::router
