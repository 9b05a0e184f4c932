#pragma once

#include <cyclamenspool/gateway/fleet.h>
#include <cyclamenspool/member/storereplica.h>
#include <cyclamenspool/wire/generated/messages.pb.h>

#include <optional>
#include <string>
#include <vector>

namespace cyclamenspool::gateway {

/** @brief Decodes a peer update. @param bytes Serialized message. @return Update; empty if it is malformed or a load exceeds 1,000,000 requests. */
[[nodiscard]] std::optional<wire::GatewayNews> decodePeerUpdate(const std::string &bytes);

/** @brief Returns the loads in a peer update. @param update Update that decodePeerUpdate() has accepted. */
[[nodiscard]] std::vector<ServerLoad> loadsOf(const wire::GatewayNews &update);

/** @brief Returns the suspected backend servers in a peer update, each with the remaining duration of the suspicion. */
[[nodiscard]] std::vector<Suspicion> suspicionsOf(const wire::GatewayNews &update);

/** @brief Decodes a snapshot of the platform store's items. @param bytes Serialized message. @return Items with their revision; empty if malformed. */
[[nodiscard]] std::optional<member::StoreSnapshot> decodeSnapshot(const std::string &bytes);

/** @brief Encodes a snapshot of the platform store's items. @param snapshot Items with their revision. @return Serialized message. */
[[nodiscard]] std::string encodeSnapshot(const member::StoreSnapshot &snapshot);

/** @brief Decodes a peer's request for items. @param bytes Serialized message. @return Prefix of the requested keys; empty if malformed. */
[[nodiscard]] std::string decodePullPrefix(const std::string &bytes);

} // namespace cyclamenspool::gateway
