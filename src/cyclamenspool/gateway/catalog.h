#pragma once

#include <cyclamenspool/core/now.h>
#include <cyclamenspool/gateway/dispatcher.h>
#include <cyclamenspool/gateway/listdelta.h>
#include <cyclamenspool/gateway/storeera.h>
#include <cyclamenspool/member/storereplica.h>

#include <array>
#include <atomic>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace cyclamenspool::gateway {

/** @brief Cache of the platform store's items; applies each change to the dispatcher. Control thread only, except isComplete(). */
class Catalog
{
public:
    /** @brief Parts of the store; each has its own key prefix, watch and position. */
    enum class Section : int { OperatorConfig, Servers, Count };

    /** @brief Creates an empty catalog. @param dispatcher Receiver of the changes; must outlive the catalog. */
    explicit Catalog(Dispatcher &dispatcher);

    /**
     * @brief Handles the era of any response of the store, or of a peer's copy; call it before the content is used.
     * @param era Era.
     * @param source "store" or "peer", for the log.
     * @return False if the era has ended: the content must not be used.
     */
    bool onStoreEra(std::uint64_t era, const char *source);

    /** @brief Applies a full list from the store. @param list All items of the section; ignored if its era has ended. */
    void onStoreList(Section section, const member::StoreSnapshot &list);

    /** @brief Applies changes from the store; ignored if they are of another era than the copy. @param position Position up to which the changes are complete.
     * @param asOf Time up to which they are complete. */
    void onStoreChanges(Section section,
                        const std::vector<member::StoreItem> &changes,
                        const member::StorePosition &position,
                        core::MonotonicTime asOf = std::chrono::steady_clock::now());

    /** @brief Reduces changes of the list of backend servers that are not applied yet, for the other gateways of the zone. @param changes As for
     * onStoreChanges(). @param position As for onStoreChanges(). */
    [[nodiscard]] ListDelta reduceServerChanges(const std::vector<member::StoreItem> &changes, const member::StorePosition &position);

    /** @brief Handles a failed store call: the section counts as unavailable until the next successful one. @param reason Cause, for the log. */
    void onStoreFailure(Section section, const std::string &reason);

    /** @brief Applies a peer's snapshot of a section. @param peerSnapshot Snapshot; ignored if it is earlier than the cached copy or its era has ended.
     * Callers ask for one only while the store is unavailable, its answer is missing or the peer has a later era; this is not checked here. @param uptime The
     * store's uptime as the peer knows it; empty: not reported. */
    void onPeerSnapshot(Section section, const member::StoreSnapshot &peerSnapshot, const std::optional<StoreUptime> &uptime);

    /**
     * @brief Applies changes of the list of backend servers that a peer has read from the store.
     * @param delta Changes; ignored if this copy lacks earlier ones or is of another era.
     * @return True if the copy is as new as the peer's now.
     */
    bool onPeerListDelta(const ListDelta &delta);

    /**
     * @brief Keeps routing documents back until one of at least a version is known; has no effect once one is in force. By default none is kept back.
     * @param lowest Version.
     */
    void setLowestRouting(std::uint64_t lowest);

    /** @brief Applies documents that are in force at a peer, whatever the era and the content of its copy. @param documents Documents; of routing documents a
     * lower version than the known one changes nothing, and all others are ignored. */
    void onPeerDocuments(const std::vector<member::StoreItem> &documents);

    /** @brief Returns the documents of a section that are in force but that its copy holds in another form or not at all: at most the routing document. */
    [[nodiscard]] std::vector<member::StoreItem> documentsBesideCopy(Section section) const;

    /** @brief Returns the version of the routing document in force; 0 if none is. */
    [[nodiscard]] std::uint64_t routingVersion() const noexcept
    {
        return isRoutingInForce_ ? routing_->version : 0;
    }

    /** @brief Returns the highest version of a known routing document, in force or kept back; 0 if none is known. */
    [[nodiscard]] std::uint64_t knownRoutingVersion() const noexcept
    {
        return routing_ ? routing_->version : 0;
    }

    /** @brief Returns the cached items of a section with their position. */
    [[nodiscard]] member::StoreSnapshot snapshot(Section section) const;

    /** @brief Returns the approximate size of the store's response to a list of a section, as far as its copy tells, in bytes. */
    [[nodiscard]] std::uint64_t listBytes(Section section) const;

    /** @brief Returns the position of a section's cached copy; empty if there is no data yet. */
    [[nodiscard]] const member::StorePosition &position(Section section) const;

    /** @brief Returns the position after which changes of a section can be asked for: that of the copy, or an empty one if its era has ended. */
    [[nodiscard]] member::StorePosition watchPosition(Section section) const;

    /** @brief Returns the position of the latest known change of a section; of the copy's era, and empty if that is not known to have one. */
    [[nodiscard]] const member::StorePosition &changePosition(Section section) const;

    /** @brief Returns the latest known era of the store; the copies may be of an earlier one. */
    [[nodiscard]] std::uint64_t era() const noexcept
    {
        return era_.value();
    }

    /** @brief Returns for how long a section has had a copy of an ended era only; empty if its copy is of the latest known era, or there is none. */
    [[nodiscard]] std::optional<core::Milliseconds> timeWithoutEra(Section section) const;

    /** @brief Returns the time since a section's copy was last brought up to date, by a store call or a peer's changes; undefined before the first one. */
    [[nodiscard]] core::Milliseconds age(Section section) const;

    /** @brief Returns the time since the store last began to return changes of a section; very long if it never did. */
    [[nodiscard]] core::Milliseconds timeSinceChange(Section section) const;

    /** @brief Returns whether the last store call for a section failed; also true before the first response. */
    [[nodiscard]] bool isStoreUnavailable(Section section) const;

    /** @brief Returns the number of store calls for a section that have failed since the last successful one. */
    [[nodiscard]] std::uint64_t failedStoreCalls(Section section) const
    {
        return stateOf(section).failedCalls;
    }

    /** @brief Returns whether every section has data from the store or a peer. Thread safe. */
    [[nodiscard]] bool isComplete() const noexcept
    {
        return complete_;
    }

    /** @brief Returns the prefix of a section's keys in the store. */
    [[nodiscard]] static std::string_view prefixOf(Section section);

    /** @brief Returns the section with a key prefix; empty if there is none. */
    [[nodiscard]] static std::optional<Section> sectionOf(std::string_view prefix);

private:
    struct SectionState {
        member::StoreReplica replica;
        core::MonotonicTime lastRefresh{};
        core::MonotonicTime lastChange{}; /* read by a watch */
        member::StorePosition changePosition;
        bool isUnavailable = true;
        std::uint64_t failedCalls = 0; /* since the last successful one */
    };
    struct RoutingDocument {
        std::uint64_t version = 0;
        member::StoreItem item;
        const char *source = "";
    };

    void onStoreSuccess(Section section, core::MonotonicTime asOf);
    void onStoreAnswered(Section section);
    void refreshComplete();
    void replace(Section section, const member::StoreSnapshot &list, const char *source);
    void apply(Section section, const std::vector<member::StoreItem> &changes, const char *source);
    void applyOne(const member::StoreItem &item, const char *source);
    void onRouting(world::RoutingConfig routing, const member::StoreItem &item, const char *source);
    [[nodiscard]] SectionState &stateOf(Section section);
    [[nodiscard]] const SectionState &stateOf(Section section) const;

    Dispatcher &dispatcher_;
    std::array<SectionState, static_cast<std::size_t>(Section::Count)> states_;
    StoreEra era_;
    std::optional<RoutingDocument> routing_; /* the highest known version: a copy of a restored store may hold a lower one */
    std::uint64_t lowestRouting_ = 0;
    bool isRoutingInForce_ = false;
    std::atomic<bool> complete_{false};
};

} // namespace cyclamenspool::gateway
