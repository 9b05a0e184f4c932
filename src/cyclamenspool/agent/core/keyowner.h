#pragma once

#include <cyclamenspool/agent/core/actions.h>
#include <cyclamenspool/core/now.h>
#include <cyclamenspool/member/fleetview.h>
#include <cyclamenspool/policy/idempotencyregister.h>

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cyclamenspool::agent {

/** @brief Time bounds of idempotency keys and of the hand-over of their records. */
struct KeyOwnerOptions {
    policy::IdempotencyBounds keys;
    core::Milliseconds takeOverDelay{30000}; /**< Longest wait for a former home that is missing from the platform's VM list. */
};

/**
 * @brief Keeps the idempotency records of the keys whose home is this agent, and transfers them when a new revision of the table moves a home.
 *
 * The home of a key is the agent of the backend server that ranks first for the key by rendezvous hashing over
 * FleetView::keyHomes(). The operators' documents alone determine it, and only the home accepts the key. When the set of homes
 * changes, the agent requests from every other member, old and new, the records of the keys whose home it now is. Until a former
 * home has handed over, or has been missing from the platform's VM list for the takeover delay, requests whose keys
 * may have been run there are refused with HomeMoving, that is, without being run. Not thread safe.
 */
class KeyOwner
{
public:
    /** @brief Creates an owner without a view. @param server Own backend server. @param pool Own pool. */
    KeyOwner(std::string server, std::string pool, const KeyOwnerOptions &options, core::Now now);

    /** @brief Applies a new view. If the previous view did not list this agent, calls resetAfterGap() first. */
    void onView(std::shared_ptr<const member::FleetView> view, core::Now now);

    /**
     * @brief Handles the end of a gap in which the process was suspended, isolated or not listed.
     *
     * Another agent may have run keys during the gap. All other members must therefore hand over again, and keys created before now
     * count as possibly run elsewhere. Own records are kept.
     */
    void resetAfterGap(core::Now now);

    /**
     * @brief Checks that this agent may decide on a request's key.
     * @param request Request with a key. A key that a router generated has no home and always passes.
     * @param now Unused.
     * @throws core::Error WrongHome, HomeMoving or StaleView.
     */
    void checkHome(const wire::Submit &request, core::Now now) const;

    /** @brief Decides on a request's key and records the key if the request is to be run. */
    [[nodiscard]] policy::IdempotencyVerdict admit(const wire::Submit &request, core::Now now);

    /** @brief Returns the record of a request's key; null if there is none. */
    [[nodiscard]] const policy::IdempotencyRecord *find(const wire::Submit &request) const;

    /** @brief Stores the outcome of a request. @param response Response; none if it is too large to keep. */
    void finish(const wire::Submit &request, std::optional<policy::StoredResponse> response);

    /** @brief Removes the key of a request of which no byte was sent to the backend server. */
    void forgetNotSent(const wire::Submit &request);

    /**
     * @brief Requests records from the members that have not handed over.
     *
     * A member that has been missing for the takeover delay is no longer waited for; from then on, keys created before that moment count
     * as possibly run elsewhere.
     */
    void onTick(core::Now now, Actions &actions);

    /**
     * @brief Answers the hand-over request of another agent.
     * @return Records of the keys whose home is now the requester; an incomplete reply if the two agents are at different revisions.
     */
    [[nodiscard]] wire::HandOverReply onHandOverRequest(const wire::HandOverRequest &request) const;

    /**
     * @brief Imports the records of a former home; an incomplete reply is ignored.
     *
     * The members whose records the former home itself lacks must then hand over to this agent, too.
     * @param server Backend server of the former home.
     * @param now Unused.
     */
    void onHandOverReply(const std::string &server, const wire::HandOverReply &reply, core::Now now);

    /** @brief Returns the backend servers that have not handed over. */
    [[nodiscard]] const std::set<std::string> &pendingHandOvers() const noexcept
    {
        return pending_;
    }

private:
    using Homes = std::vector<member::Member>;

    /* scoped: idempotency key with its workspace as a prefix */
    [[nodiscard]] std::string homeOf(const std::string &scoped, const Homes &homes) const;
    [[nodiscard]] bool isHandOverPending(const std::string &scoped) const;

    std::string server_;
    std::string pool_;
    KeyOwnerOptions options_;
    policy::IdempotencyRegister register_;
    core::WallTime homeSince_; /* keys created earlier may have been run elsewhere */
    std::shared_ptr<const member::FleetView> view_;
    std::optional<Homes> previousHomes_; /* homes before the last change; none if unknown or if a revision was skipped */
    std::set<std::string> pending_; /* members that have not handed over */
    std::set<std::string> handedOver_; /* members that have handed over since the last change */
    std::map<std::string, core::MonotonicTime> missingSince_;
    core::MonotonicTime lastRequest_{};
};

} // namespace cyclamenspool::agent
