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

/** @brief Result of offering a document update. */
enum class OfferResult {
    Accepted, /**< Applied. */
    Outdated, /**< Ignored: not newer than the accepted revision, or of an unknown document. */
    Refused, /**< Invalid, or a snapshot whose digest does not match its rows. */
    NeedsSnapshot /**< The delta does not fit the accepted content; a full snapshot is needed. */
};

/**
 * @brief Stores the documents that a process has accepted.
 *
 * Accepts an update, as a full snapshot or as a delta, only if its revision is higher than the accepted one. An invalid update leaves the store unchanged.
 *
 * Thread safe. Lock order: the store's mutex is acquired before the mutex of a router or agent core, never while one is held.
 */
class DocumentStore
{
public:
    /**
     * @brief Creates an empty store.
     * @param names Names of the operators' documents; the VM list is added.
     */
    explicit DocumentStore(std::vector<std::string> names);

    /**
     * @brief Offers the full text of a document as read from the configuration service or the VM list.
     * @param name Name of the document; an unknown name counts as outdated.
     * @param revision Revision of the text.
     * @param text YAML text.
     * @param errors Set to the error messages if the text is refused.
     * @return Accepted, outdated or refused.
     */
    OfferResult offer(const std::string &name, std::uint64_t revision, const std::string &text, std::string &errors);

    /**
     * @brief Offers an update from a peer.
     * @param delta Changed rows, or a full snapshot if the base revision is 0.
     * @return Result; a full snapshot is needed if the delta's base or resulting digest does not match the accepted content.
     */
    OfferResult offer(const wire::DocumentDelta &delta);

    /** @brief Returns name, revision and digest of each document, to be sent to peers. */
    [[nodiscard]] std::vector<wire::DocumentState> states() const;

    /**
     * @brief Returns the updates that bring a peer to this store's revisions.
     * @param peerStates States of the documents that the peer has accepted.
     * @return One update per outdated document: a delta, or a full snapshot if the change history does not reach back to the peer's revision.
     */
    [[nodiscard]] std::vector<wire::DocumentDelta> deltasFor(const std::vector<wire::DocumentState> &peerStates) const;

    /** @brief Returns an immutable table with the content of all accepted documents. */
    [[nodiscard]] std::shared_ptr<const Table> table() const;

    /** @brief Returns the sum of the revisions of the operators' documents; it grows with every accepted change to one of them, but not to the VM list. */
    [[nodiscard]] std::uint64_t tableRevision() const;

    /** @brief Returns the accepted revision of a document; 0 if there is none. */
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

    [[nodiscard]] OfferResult validateAndApply(const std::string &name, Entry &entry, std::uint64_t revision, const Rows &changes, std::string &errors);
    [[nodiscard]] wire::DocumentDelta makeDelta(const std::string &name, const Entry &entry, const wire::DocumentState &peerState) const;

    mutable std::mutex mutex_;
    std::map<std::string, Entry> entries_;
    std::shared_ptr<const Table> table_;
};

} // namespace cyclamenspool::config
