#pragma once

#include <cyclamenspool/agent/core/actions.h>
#include <cyclamenspool/core/now.h>
#include <cyclamenspool/member/fleetview.h>
#include <cyclamenspool/policy/keyregister.h>

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cyclamenspool::agent {

/** @brief Time bounds of the key homes. */
struct KeyKeeperBounds {
    policy::KeyBounds keys;
    core::Milliseconds takeOver{30000}; /**< A former home counts as gone after missing from the list this long. */
};

/**
 * @brief Holds the idempotency keys whose home is this agent and moves them when a revision moves a home.
 *
 * A key is taken only here if the operators' documents make this agent its home. When they change, the agent asks every
 * other member, old and new, for the records that are now its own; until a former home has handed over, or has been missing
 * from the platform's list for the takeover time, keys that may have been run there are refused as not run.
 */
class KeyKeeper
{
public:
    /** @brief Creates a keeper without a view. @param server Own backend server. @param pool Own pool. @param bounds Time bounds. @param now Time. */
    KeyKeeper(std::string server, std::string pool, const KeyKeeperBounds &bounds, core::Now now);

    /** @brief Takes a new view; a time in which the list did not name this agent counts as a gap. @param view View. @param now Time. */
    void onView(std::shared_ptr<const member::FleetView> view, core::Now now);

    /** @brief Notes that the process slept or lost touch: what ran elsewhere meanwhile is unknown. @param now Time. */
    void onGap(core::Now now);

    /**
     * @brief Checks whether a request's key may be decided here.
     * @param request Request with a key.
     * @param now Time.
     * @throws core::Error WrongHome, HomeMoving or StaleView.
     */
    void checkHome(const wire::Submit &request, core::Now now) const;

    /** @brief Decides on a key and records it when it is to be run. @param request Request. @param now Time. @return Verdict. */
    [[nodiscard]] policy::KeyVerdict admit(const wire::Submit &request, core::Now now);

    /** @brief Finds a key's record. @param request Request. @return Record; null if there is none. */
    [[nodiscard]] const policy::KeyRecord *find(const wire::Submit &request) const;

    /** @brief Stores an outcome. @param request Request. @param answer Answer; none: too large to keep. */
    void finish(const wire::Submit &request, std::optional<policy::StoredAnswer> answer);

    /** @brief Removes the key of a request that was certainly not sent. @param request Request. */
    void forgetNotSent(const wire::Submit &request);

    /** @brief Asks the members that have not handed over and counts the missing ones as gone. @param now Time. @param actions Receives the questions. */
    void onTick(core::Now now, Actions &actions);

    /** @brief Answers a new home. @param request Question. @return Records that moved. */
    [[nodiscard]] wire::HandOverReply handOver(const wire::HandOverRequest &request) const;

    /** @brief Takes over a former home's records. @param server Former home. @param reply Its answer. @param now Time. */
    void onHandOver(const std::string &server, const wire::HandOverReply &reply, core::Now now);

    /** @brief Lists the members that have not handed over. @return Names. */
    [[nodiscard]] const std::set<std::string> &pending() const noexcept
    {
        return pending_;
    }

private:
    using Homes = std::vector<member::Member>;

    [[nodiscard]] std::string homeOf(const std::string &scoped, const Homes &homes) const;
    [[nodiscard]] bool isWaitingFor(const std::string &scoped) const;

    std::string server_;
    std::string pool_;
    KeyKeeperBounds bounds_;
    policy::KeyRegister register_;
    core::WallTime homeSince_;
    std::shared_ptr<const member::FleetView> view_;
    std::optional<Homes> previousHomes_; /* homes before the last change; none if unknown or if a revision was not seen */
    std::set<std::string> pending_;
    std::set<std::string> handedOver_; /* members that have handed over since the last change */
    std::map<std::string, core::MonotonicTime> missingSince_;
    core::MonotonicTime lastAsked_{};
};

} // namespace cyclamenspool::agent
