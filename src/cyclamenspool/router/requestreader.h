#pragma once

#include <cyclamenspool/config/settings.h>
#include <cyclamenspool/http/server.h>
#include <cyclamenspool/member/fleetview.h>
#include <cyclamenspool/router/core/actions.h>

#include <string>

namespace cyclamenspool::router {

/**
 * @brief Parses and validates a caller's HTTP request.
 * @param request HTTP request.
 * @param id Request id.
 * @param settings Settings; the default deadline is also the longest that a caller may ask for.
 * @param view Fleet view that maps a model to its pool. May be null: the model's name is then taken as the pool's name.
 * @return Request.
 * @throws core::Error if the request is not valid, with the kind and position of the first error.
 */
[[nodiscard]] CallerRequest readRequest(const http::Request &request, const std::string &id, const config::Settings &settings, const member::FleetView *view);

} // namespace cyclamenspool::router
