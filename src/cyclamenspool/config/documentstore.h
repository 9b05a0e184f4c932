#pragma once

#include <cyclamenspool/config/document.h>
#include <cyclamenspool/config/table.h>

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace cyclamenspool::config {

/** @brief What became of an offered value. */
enum class Verdict { Accepted, Old, Refused, NeedsWhole };

/**
 * @brief The documents that a process has accepted. Accepts only higher revisions, whole or as deltas, and never goes back.
 *
 * Thread safe. Lock order: this lock is taken before the lock of a router or agent core and never inside it.
 */
class DocumentStore
{
public:
    /** @brief Creates an empty store. @param names Names of the documents. */
    explicit DocumentStore(std::vector<std::string> names);

    /**
     * @brief Offers a whole value as read from the platform.
     * @param name Document.
     * @param revision Revision.
     * @param text YAML text.
     * @param errors Receives the errors of a refused value.
     * @return Verdict.
     */
    Verdict offer(const std::string &name, std::uint64_t revision, const std::string &text, std::string &errors);

    /** @brief Offers a peer's delta. @param delta Delta. @return Verdict; NeedsWhole if it does not fit the accepted content. */
    Verdict offer(const wire::DocumentDelta &delta);

    /** @brief Lists what was accepted. @return State of each document. */
    [[nodiscard]] std::vector<wire::DocumentState> states() const;

    /**
     * @brief Makes the deltas that a peer lacks.
     * @param have What the peer has accepted.
     * @return Deltas, whole documents where the history does not reach back.
     */
    [[nodiscard]] std::vector<wire::DocumentDelta> deltasFor(const std::vector<wire::DocumentState> &have) const;

    /** @brief Returns the typed content in force. @return Immutable table. */
    [[nodiscard]] std::shared_ptr<const Table> table() const;

    /** @brief Returns a number that grows with every accepted change of the operators' documents. @return Sum of the revisions. */
    [[nodiscard]] std::uint64_t tableRevision() const;

    /** @brief Returns the revision of a document. @param name Document. @return Revision; 0 if none was accepted. */
    [[nodiscard]] std::uint64_t revision(const std::string &name) const;

private:
    struct Change {
        std::uint64_t baseRevision;
        std::uint64_t baseDigest;
        std::uint64_t revision;
        Rows rows;
    };
    struct Entry {
        Document document;
        std::deque<Change> history;
    };

    [[nodiscard]] Verdict accept(const std::string &name, Entry &entry, std::uint64_t revision, const Rows &changes, std::string &errors);
    [[nodiscard]] wire::DocumentDelta makeDelta(const std::string &name, const Entry &entry, const wire::DocumentState &peer) const;

    mutable std::mutex mutex_;
    std::map<std::string, Entry> entries_;
    std::shared_ptr<const Table> table_;
};

} // namespace cyclamenspool::config
