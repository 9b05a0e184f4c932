#pragma once

#include <cyclamenspool/core/now.h>

#include <cstdint>

namespace cyclamenspool::gateway {

/** @brief Delays within which changes in the store must take effect; from the settings. */
struct WatchBounds {
    core::Milliseconds leaving{2000}; /**< Of a backend server that starts leaving. */
    core::Milliseconds configuration{2000}; /**< Of the routing configuration. */
};

/**
 * @brief Returns the time until the next watch of the list of backend servers.
 *
 * A watcher pauses between two watches, so that reports of many servers arrive in one call. The other gateways of its zone get the changes from it, and watch
 * the list themselves once their copy is older than the watcher's pause.
 * @param bounds Bounds.
 * @param isWatcher True if this gateway watches the list for its zone.
 * @param age Time since the copy was last known to be up to date.
 * @return Zero or less: now.
 */
[[nodiscard]] core::Milliseconds listPause(const WatchBounds &bounds, bool isWatcher, core::Milliseconds age) noexcept;

/**
 * @brief Returns how long the store may hold a watch of the list of backend servers without a change.
 *
 * A watcher's is short, since a call that the store never answers would hide changes from its zone. The others' calls are held longer: the watcher's changes
 * reach them meanwhile.
 * @param isWatcher As in listPause().
 */
[[nodiscard]] core::Milliseconds listWatchTime(bool isWatcher) noexcept;

/**
 * @brief Returns the time until the next watch of the routing configuration.
 *
 * The first change takes effect at once; changes that follow closely are read together.
 * @param bounds Bounds.
 * @param sinceChange Time since the latest change was read.
 * @return Zero or less: now.
 */
[[nodiscard]] core::Milliseconds configurationPause(const WatchBounds &bounds, core::Milliseconds sinceChange) noexcept;

/**
 * @brief Returns the age from which a copy of the list of backend servers is overdue if a peer has a later one: the gateway's own call is not answered.
 * @param bounds Bounds.
 */
[[nodiscard]] core::Milliseconds listOverdueAge(const WatchBounds &bounds) noexcept;

/**
 * @brief Returns the time after which a change of the routing configuration that a peer has read is overdue: the gateway's own call is not answered.
 * @param bounds Bounds.
 */
[[nodiscard]] core::Milliseconds configurationOverdueTime(const WatchBounds &bounds) noexcept;

/**
 * @brief Returns the time without response headers after which a call to the store counts as unanswered while a peer has a later copy.
 * @param bounds Bounds.
 */
[[nodiscard]] core::Milliseconds unansweredTime(const WatchBounds &bounds) noexcept;

/**
 * @brief Returns the time between two checks of the store by the gateway that checks it for its zone, at most 500 ms.
 * @param bounds Bounds.
 */
[[nodiscard]] core::Milliseconds storeCheckPeriod(const WatchBounds &bounds) noexcept;

/**
 * @brief Returns the time until a gateway lists a section of a restored store itself.
 *
 * The gateway that checks the store lists at once; the others of its zone take its copy, so that not all list together.
 * @param bounds Bounds.
 * @param isChecker True if this gateway checks the store for its zone.
 * @param sinceRestore Time since this gateway knows of the store's new era.
 * @return Zero or less: now.
 */
[[nodiscard]] core::Milliseconds restoredListDelay(const WatchBounds &bounds, bool isChecker, core::Milliseconds sinceRestore) noexcept;

/** @brief Returns how long the store may hold a watch of the routing configuration without a change. */
[[nodiscard]] core::Milliseconds configurationWatchTime() noexcept;

/**
 * @brief Returns the size of a watch's response from which on a list is read instead, in bytes: it holds more than one version of the same items.
 *
 * A small response is read in any case, as a further call takes longer.
 * @param listBytes Size of the response to a list.
 */
[[nodiscard]] std::uint64_t maxWatchBytes(std::uint64_t listBytes) noexcept;

} // namespace cyclamenspool::gateway
