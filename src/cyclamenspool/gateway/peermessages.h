#pragma once

#include <cyclamenspool/gateway/fleet.h>
#include <cyclamenspool/member/mirror.h>
#include <cyclamenspool/wire/generated/messages.pb.h>

#include <optional>
#include <string>
#include <vector>

namespace cyclamenspool::gateway {

/** @brief Decodes a peer update. @param bytes Serialized message. @return Update; empty if it is malformed or holds an impossibly high load. */
[[nodiscard]] std::optional<wire::GatewayNews> readNews(const std::string &bytes);

/** @brief Returns the loads in a peer update. @param update Update that decodePeerUpdate() has accepted. */
[[nodiscard]] std::vector<LoadNews> loadsOf(const wire::GatewayNews &update);

/** @brief Returns the suspected backend servers in a peer update, each with the remaining duration of the suspicion. */
[[nodiscard]] std::vector<SuspicionNews> suspicionsOf(const wire::GatewayNews &update);

/** @brief Decodes a snapshot of the platform store's items. @param bytes Serialized message. @return Items with their revision; empty if malformed. */
[[nodiscard]] std::optional<member::ItemList> readCopy(const std::string &bytes);

/** @brief Encodes a snapshot of the platform store's items. @param list Items with their revision. @return Serialized message. */
[[nodiscard]] std::string writeCopy(const member::ItemList &list);

/** @brief Decodes a peer's request for items. @param bytes Serialized message. @return Prefix of the requested keys; empty if malformed. */
[[nodiscard]] std::string pulledPrefix(const std::string &bytes);

} // namespace cyclamenspool::gateway
