#pragma once

#include <cyclamenspool/config/settings.h>
#include <cyclamenspool/http/server.h>
#include <cyclamenspool/member/fleetview.h>
#include <cyclamenspool/router/core/actions.h>

#include <string>

namespace cyclamenspool::router {

/**
 * @brief Reads a caller's request from its HTTP form.
 * @param request HTTP request.
 * @param id Request id.
 * @param settings Settings.
 * @param view Fleet view, for the pool that serves a model; may be null.
 * @return Request.
 * @throws core::Error With the kind and place of the first error.
 */
[[nodiscard]] CallerRequest readRequest(const http::Request &request, const std::string &id, const config::Settings &settings, const member::FleetView *view);

} // namespace cyclamenspool::router
