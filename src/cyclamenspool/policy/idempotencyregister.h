#pragma once

#include <cyclamenspool/core/now.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cyclamenspool::policy {

/** @brief Response to a request with an idempotency key, stored for retries of that request. */
struct StoredResponse {
    int status = 0;
    std::string contentType;
    std::string body;
};

/** @brief Record of one idempotency key. */
struct IdempotencyRecord {
    std::string key; /**< Scoped key: the workspace and the caller's key. */
    std::uint64_t requestHash = 0; /**< Hash of the method, path and body of the request. */
    core::WallTime recorded{}; /**< Time of the admission. */
    bool finished = false; /**< Whether the request has finished. */
    bool hasStoredResponse = false; /**< Whether the response is stored. */
    StoredResponse response;
};

/** @brief Decision on a request with an idempotency key. */
enum class IdempotencyVerdict {
    Run, /**< Not run before; the key is now recorded. */
    Replay, /**< Finished before; reply with the stored response. */
    AlreadyRun, /**< Finished before; the response is no longer stored. */
    MayHaveRun, /**< In progress, interrupted, or possibly run while another process was the key's home. */
    Conflict, /**< The key was used with a different method, path or body. */
    Expired, /**< The key is older than the retention period less the maximum clock skew. */
    FromFuture /**< The key's creation time is ahead of the clock by more than the maximum clock skew. */
};

/** @brief Time limits of the register. */
struct IdempotencyBounds {
    core::Milliseconds retention; /**< Period after its creation during which a key is accepted, shortened by maxClockSkew. */
    core::Milliseconds maxClockSkew; /**< Largest expected difference between the clocks of two processes. */
};

/**
 * @brief Idempotency keys of one plain service, that is a pool without a model; runs the request of each key at most once within the retention period.
 *
 * A key is recorded before the first byte of its request is sent to the service. The home of a key is the backend server whose
 * agent keeps its record. The register has no record of what ran before it became the home, so it only runs keys created after
 * that time plus the maximum clock skew. Version 7 UUIDs carry their creation time; a key without one only runs after the register
 * has been the home for a full retention period plus the maximum clock skew.
 */
class IdempotencyRegister
{
public:
    /** @brief Creates an empty register. @param bounds Time limits. @param homeSince Time at which this process became the home of the keys. */
    IdempotencyRegister(IdempotencyBounds bounds, core::WallTime homeSince) noexcept
        : bounds_(bounds)
        , homeSince_(homeSince)
    {
    }

    /** @brief Resets the time at which this process became the home, after it was suspended or keys moved here without their records. */
    void resetHomeSince(core::WallTime at) noexcept
    {
        homeSince_ = at;
    }

    /**
     * @brief Decides on a request and records its key if the request is to be run.
     * @param key Scoped key.
     * @param created Creation time encoded in the caller's part of the key; none if it carries no time.
     * @param requestHash Hash of the method, path and body of the request.
     * @param neverSentBefore Whether the router generated the key for this request and has not sent it before; skips the checks of its age.
     * @param at Current time.
     * @return Decision; Run exactly if the key was recorded by this call.
     */
    IdempotencyVerdict admit(const std::string &key, std::optional<core::WallTime> created, std::uint64_t requestHash, bool neverSentBefore, core::WallTime at);

    /**
     * @brief Marks a request as finished and stores its response; does nothing if the key is unknown or has a stored response.
     * @param key Scoped key.
     * @param response Response, evicted oldest first when the stored bodies exceed 4 MiB; none if it is too large to store.
     */
    void finish(const std::string &key, std::optional<StoredResponse> response);

    /** @brief Removes an unfinished key whose request is known not to have been sent to the service. @param key Scoped key. */
    void removeUnsent(const std::string &key);

    /** @brief Looks up a record. @param key Scoped key. @return Record; null if there is none. */
    [[nodiscard]] const IdempotencyRecord *find(const std::string &key) const;

    /** @brief Adds a record handed over by the previous home, unless the key already has one. */
    void import(const IdempotencyRecord &record);

    /** @brief Returns copies of the records that match a predicate. @param predicate Predicate on the scoped key. */
    [[nodiscard]] std::vector<IdempotencyRecord> exportIf(const std::function<bool(const std::string &)> &predicate) const;

    /**
     * @brief Removes the records whose admission is longer ago than the retention period plus twice the maximum clock skew.
     *
     * Records are checked in the order of their insertion, so an imported one can stay until those inserted before it are removed.
     */
    void expire(core::WallTime at);

    /** @brief Returns the number of records. */
    [[nodiscard]] std::size_t size() const noexcept
    {
        return records_.size();
    }

private:
    /** @brief Names one record; a key can be recorded again once its record has been removed. */
    struct RecordId {
        core::WallTime recorded;
        std::string key;
    };

    [[nodiscard]] std::map<std::string, IdempotencyRecord>::iterator findRecord(const RecordId &id);
    void insert(IdempotencyRecord record);
    void storeResponse(IdempotencyRecord &record, StoredResponse response);
    void evictOldestResponses();
    [[nodiscard]] IdempotencyVerdict verdictOnKnownKey(const IdempotencyRecord &record, std::uint64_t requestHash) const;

    IdempotencyBounds bounds_;
    core::WallTime homeSince_;
    std::map<std::string, IdempotencyRecord> records_;
    std::deque<RecordId> expiryQueue_; /* in order of insertion */
    std::deque<RecordId> storedKeys_; /* records with a stored response, oldest first; may name removed ones behind the first */
    std::size_t storedBytes_ = 0;
};

} // namespace cyclamenspool::policy
