#pragma once

#include <cyclamenspool/gateway/fleet.h>
#include <cyclamenspool/member/mirror.h>
#include <cyclamenspool/wire/generated/messages.pb.h>

#include <optional>
#include <string>
#include <vector>

namespace cyclamenspool::gateway {

/** @brief Reads a gateway's news. @param bytes Message. @return News; empty: unreadable, or with a load that no gateway can have. */
[[nodiscard]] std::optional<wire::GatewayNews> readNews(const std::string &bytes);

/** @brief Returns the loads that news tell. @param news News that readNews() gave. @return Loads. */
[[nodiscard]] std::vector<LoadNews> loadsOf(const wire::GatewayNews &news);

/** @brief Returns the suspicions that news tell. @param news News. @return Suspicions. */
[[nodiscard]] std::vector<SuspicionNews> suspicionsOf(const wire::GatewayNews &news);

/** @brief Reads a copy of the platform's items. @param bytes Message. @return Items; empty: unreadable. */
[[nodiscard]] std::optional<member::ItemList> readCopy(const std::string &bytes);

/** @brief Writes a copy of the platform's items. @param list Items. @return Message. */
[[nodiscard]] std::string writeCopy(const member::ItemList &list);

/** @brief Reads which items a gateway asks for. @param bytes Message. @return Prefix of their keys; empty: unreadable. */
[[nodiscard]] std::string pulledPrefix(const std::string &bytes);

} // namespace cyclamenspool::gateway
