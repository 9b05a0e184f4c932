#pragma once

#include <cyclamenspool/core/now.h>
#include <cyclamenspool/world/backendserver.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cyclamenspool::gateway {

/** @brief What a gateway knows of a process of a backend server. */
struct KnownProcess {
    std::uint64_t startedUnixMs = 0; /**< As in world::BackendServer. */
    std::optional<std::uint64_t> sequence; /**< As in world::BackendServer; may lag, as further reports of the process are not read in full. */
    bool isLeaving = false; /**< Its entry said so. */
    bool saysLeaving = false; /**< Its responses said so. */
    bool isRemoved = false; /**< Its entry was removed from the store. */
    bool isReported = false; /**< Known from another gateway, as this one has started since. */
};

/** @brief What gateways tell one that starts of a process that leaves or was removed. */
struct ProcessReport {
    std::string server; /**< Id of its backend server. */
    KnownProcess process;
};

/**
 * @brief Finds entries of backend servers that are older than what this gateway knows: a store that is restored from a copy lists them until the servers write
 * again. Without I/O; not thread safe.
 *
 * Within one process, named by its start time, a lower sequence is older. For five minutes after a restore, so is an earlier process, and an entry that takes
 * back that a process leaves or was removed and is not known to be later: until the entry is written once more. Removed processes are remembered for five
 * minutes, at most 1024 of them.
 */
class StaleEntries
{
public:
    /** @brief Handles a restore of the store from an older copy. */
    void onStoreRestored(core::MonotonicTime now) noexcept;

    /** @brief Records the removal of a process from the fleet. @param id Id of its backend server. @param process Process. @param now Current time. */
    void onRemoved(const std::string &id, const KnownProcess &process, core::MonotonicTime now);

    /** @brief Records another gateway's report of a process that leaves or was removed; ignored if a later process, or the removal of the same one, is
     * remembered. @param report Report about a backend server that is not in the fleet. @param now Current time. */
    void onReported(const ProcessReport &report, core::MonotonicTime now);

    /** @brief Returns the process of a backend server that is not in the fleet; empty if none is remembered. */
    [[nodiscard]] std::optional<KnownProcess> rememberedProcess(const std::string &id, core::MonotonicTime now) const;

    /** @brief Returns all remembered processes, to tell a gateway that starts. */
    [[nodiscard]] std::vector<ProcessReport> rememberedProcesses(core::MonotonicTime now) const;

    /**
     * @brief Decides whether a listed entry is withheld; if so, it is kept until the server writes it again.
     * @param entry Entry.
     * @param known Latest known process of the backend server.
     * @param now Current time.
     * @return True if the entry is older than what is known of the process, and must not be applied.
     */
    [[nodiscard]] bool withhold(const world::BackendServer &entry, const KnownProcess &known, core::MonotonicTime now);

    /** @brief Returns the withheld entry of a backend server; null if there is none. @param hash serverHash() of its id. */
    [[nodiscard]] const world::BackendServer *withheldEntry(std::uint32_t hash) const;

    /** @brief Drops the withheld entry of a backend server. */
    void dropWithheld(const std::string &id);

    /** @brief Drops all that is known of a backend server, which is in the fleet again. */
    void onListed(const std::string &id);

private:
    struct RememberedProcess {
        KnownProcess process;
        core::MonotonicTime since{}; /* its removal or report */
    };

    void remember(const std::string &id, const KnownProcess &process, core::MonotonicTime now);
    [[nodiscard]] bool isStale(const world::BackendServer &entry, const KnownProcess &known, core::MonotonicTime now) const;
    [[nodiscard]] bool isWrittenAgain(const world::BackendServer &entry) const;

    std::optional<core::MonotonicTime> restoredAt_;
    std::map<std::string, RememberedProcess> remembered_; /* by id; of servers that are not in the fleet */
    std::map<std::uint32_t, world::BackendServer> withheld_; /* by serverHash() of the id */
};

} // namespace cyclamenspool::gateway
