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

/** @brief Outcome of a request with an idempotency key, kept for repeats. */
struct StoredAnswer {
    int status = 0;
    std::string contentType;
    std::string body;
};

/** @brief What the agent remembers of one idempotency key. */
struct KeyRecord {
    std::string key;
    std::uint64_t bodyHash = 0;
    core::WallTime recorded{};
    bool finished = false;
    bool answerKept = false;
    StoredAnswer answer;
};

/** @brief Verdict on a request with an idempotency key. */
enum class KeyVerdict {
    Run, /**< Recorded now; run it. */
    StoredAnswer, /**< Finished before; answer from the record. */
    AlreadyRun, /**< Finished before; the answer is no longer kept. */
    MayHaveRun, /**< Is running, or was cut, or may have run at another home. */
    Conflict, /**< The key was used with another body. */
    Expired, /**< The key is older than the retention window. */
    FromFuture /**< The key's time is ahead by more than the clock bound. */
};

/** @brief Time bounds of the register. */
struct KeyBounds {
    core::Milliseconds retention;
    core::Milliseconds clockBound;
};

/**
 * @brief Register of idempotency keys of one plain service. Each key is run at most once within the retention window.
 *
 * A key is recorded before the first byte of its request goes to the service. The register cannot know what ran before it
 * became the keys' home, so it runs only keys created after that moment plus the clock bound; UUIDs of version 7 carry their
 * creation time, other keys are run only after a full retention window as home.
 */
class KeyRegister
{
public:
    /** @brief Creates a register. @param bounds Time bounds. @param homeSince Since when this process is the keys' home. */
    KeyRegister(KeyBounds bounds, core::WallTime homeSince) noexcept
        : bounds_(bounds)
        , homeSince_(homeSince)
    {
    }

    /** @brief Starts anew as home, because the process slept or a home has moved without its records. @param at Time. */
    void restartHome(core::WallTime at) noexcept
    {
        homeSince_ = at;
    }

    /**
     * @brief Decides on a key and records it when it is to be run.
     * @param key Scoped key.
     * @param created Creation time from the caller's part of the key; none if it carries no time.
     * @param bodyHash Hash of the request.
     * @param knownFresh True if the key was created by the router for this request and never sent before.
     * @param at Time.
     * @return Verdict.
     */
    KeyVerdict admit(const std::string &key, std::optional<core::WallTime> created, std::uint64_t bodyHash, bool knownFresh, core::WallTime at);

    /** @brief Stores the outcome of a key. @param key Scoped key. @param answer Answer, kept while there is room; none: too large to keep. */
    void finish(const std::string &key, std::optional<StoredAnswer> answer);

    /** @brief Removes a key whose request was certainly not sent to the service. @param key Scoped key. */
    void forgetNotSent(const std::string &key);

    /** @brief Finds a record. @param key Scoped key. @return Record; null if there is none. */
    [[nodiscard]] const KeyRecord *find(const std::string &key) const;

    /** @brief Takes records from a former home; a record that exists stays. @param record Record. */
    void import(const KeyRecord &record);

    /** @brief Lists the records that belong elsewhere. @param moved Predicate on the scoped key. @return Records. */
    [[nodiscard]] std::vector<KeyRecord> exportIf(const std::function<bool(const std::string &)> &moved) const;

    /** @brief Drops records past the retention window. @param at Time. */
    void expire(core::WallTime at);

    /** @brief Counts the records. @return Number of keys. */
    [[nodiscard]] std::size_t size() const noexcept
    {
        return records_.size();
    }

private:
    void insert(KeyRecord record);
    void boundAnswers();
    [[nodiscard]] KeyVerdict verdictOnRepeat(const KeyRecord &record, std::uint64_t bodyHash) const;

    KeyBounds bounds_;
    core::WallTime homeSince_;
    std::map<std::string, KeyRecord> records_;
    std::deque<std::pair<core::WallTime, std::string>> order_;
    std::deque<std::string> answers_;
    std::size_t answerBytes_ = 0;
};

} // namespace cyclamenspool::policy
