#pragma once

#include <cyclamenspool/platform/storeconnection.h>

#include <string>

namespace cyclamenspool::gateway {

/** @brief Logs an item of the store that was skipped, as platform::MalformedItemHandler. */
void logMalformedItem(const std::string &key, const std::string &reason);

/** @brief Logs a response whose body took 100 ms or longer to arrive. @param prefix Prefix of the requested keys. @param call "watch", "list" or "check". */
void logSlowRead(const std::string &prefix, const char *call, const platform::StoreResponse &response);

/** @brief Logs that a watch's response with several versions of the same items is not read, and the items are listed. @param prefix As for logSlowRead(). */
void logListPreferred(const std::string &prefix);

} // namespace cyclamenspool::gateway
