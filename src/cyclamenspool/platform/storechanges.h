#pragma once

#include <cyclamenspool/member/storereplica.h>

#include <chrono>
#include <vector>

namespace cyclamenspool::platform {

/** @brief Changes that a call has read from the store. */
struct StoreChanges {
    std::vector<member::StoreItem> items;
    member::StorePosition position; /**< Position of the store up to which they are complete. */
    std::chrono::steady_clock::time_point asOf; /**< The changes are complete at least up to this time. */
};

} // namespace cyclamenspool::platform
