#pragma once

#include <cyclamenspool/core/now.h>

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cyclamenspool::gateway {

/**
 * @brief Decides when a gateway asks a peer for the routing document in force there, and which versions it may put in force after its start. Without I/O; not
 * thread safe.
 *
 * The store, and with it each gateway's copy, may have been restored from an older copy, so that only gateways that have run since before know the version in
 * force. A gateway that starts waits until a peer that has a version in force has replied, or no peer is left that may, for 0.3 s at least, in which peers that
 * run may call it, and for at most 1 s; and then for the highest version that was named, for at most 3 s from its start. A store that names no era has lost
 * nothing that it has acknowledged: its own list ends the wait at once, as no peer can know a later version.
 */
class RoutingInquiry
{
public:
    /** @brief Versions of this gateway's routing documents. */
    struct Versions {
        std::uint64_t known = 0; /**< Highest known version, in force or not. */
        std::uint64_t inForce = 0; /**< 0: none. */
    };

    /** @brief Begins the wait of a gateway that starts; without it there is nothing to wait for. @param peers Addresses of the peers that are asked. */
    void start(const std::set<std::string> &peers, core::MonotonicTime now);

    /**
     * @brief Handles any message of a peer.
     * @param peer Its address.
     * @param version Version in force there; 0: none yet, or not named.
     * @param now Current time.
     * @return True if this gateway, which starts, has to ask the peer now.
     */
    [[nodiscard]] bool onNamed(const std::string &peer, std::uint64_t version, core::MonotonicTime now);

    /** @brief Handles a peer's reply to a message of this gateway. @param peer Its address. @param version Version in force there; 0: none yet; empty: not
     * named. */
    void onAnswered(const std::string &peer, std::optional<std::uint64_t> version);

    /** @brief Handles a peer that could not be asked or did not answer; has no effect on one that has answered. @param peer Its address. */
    void onFailed(const std::string &peer);

    /** @brief Handles a peer to which no connection could be established in the time for which peers are waited for at least; one that has named a version is
     * waited for all the same. @param peer Its address. */
    void onUnreached(const std::string &peer);

    /** @brief Returns the addresses of the peers that were asked and have neither answered nor failed. */
    [[nodiscard]] std::vector<std::string> unanswered() const;

    /** @brief Handles the routing documents that the store itself has returned since the start, or the changes since a peer's copy. @param era Latest known era
     * of the store; 0: neither the store nor a peer has named one. */
    void onStoreRead(std::uint64_t era) noexcept;

    /** @brief Returns whether a peer with a version in force has replied. */
    [[nodiscard]] bool hasRunningPeer() const noexcept
    {
        return isTold_;
    }

    /** @brief Returns whether a peer may still name a version that has to be waited for. */
    [[nodiscard]] bool isWaiting(core::MonotonicTime now) const noexcept;

    /** @brief Returns the next time at which lowestVersion() may change without any event; empty if there is none. */
    [[nodiscard]] std::optional<core::MonotonicTime> nextChange(core::MonotonicTime now) const noexcept;

    /** @brief Returns the lowest version that may be put in force; the highest number while none may. */
    [[nodiscard]] std::uint64_t lowestVersion(core::MonotonicTime now) const noexcept;

    /**
     * @brief Returns whether to ask a peer for its document: at once for a version that was not asked for yet, again after 0.3 s, or once any is in
     * force after 1 s, 2 s and so on up to 60 s.
     * @param version Version in force at the peer.
     * @param own Versions here.
     * @param hasLaterCopy True if the peer's copy of the store is later than the own one: a running gateway gets that copy, and the version with it.
     * @param now Current time.
     */
    [[nodiscard]] bool isPullDue(std::uint64_t version, const Versions &own, bool hasLaterCopy, core::MonotonicTime now) const noexcept;

    /** @brief Records that a peer was asked for its document. @param version Version in force there; 0: none, or not named. */
    void onPull(std::uint64_t version, core::MonotonicTime now) noexcept;

    /** @brief Orders inquiries by all that they have been told, for sets of states. */
    [[nodiscard]] auto operator<=>(const RoutingInquiry &) const = default;

private:
    std::map<std::string, bool> unanswered_; /* true: the peer has named a version in force */
    bool isAnyoneAsked_ = false;
    core::MonotonicTime startedAt_{};
    bool isTold_ = false; /* by a peer with a version in force */
    bool isStoreComplete_ = false; /* it has lost nothing, and its list has been read */
    std::uint64_t highestNamed_ = 0;
    core::MonotonicTime pulledAt_{};
    std::uint64_t pulledVersion_ = 0;
    int pulls_ = 0; /* since the first one for that version */
};

} // namespace cyclamenspool::gateway
