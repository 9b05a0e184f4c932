#pragma once

#include <cyclamenspool/core/now.h>
#include <cyclamenspool/gateway/scheduling/recentdemand.h>

#include <deque>
#include <map>
#include <string>

namespace cyclamenspool::gateway {

/** @brief Request that is to be sent to a service. */
struct BacklogQuery {
    core::Milliseconds callerWait{0}; /**< Time after which its caller has left or its deadline has passed, whichever is first. */
    core::Milliseconds objective{0}; /**< Target for the time to the response headers. */
    int urgency = 0; /**< 0 is the most urgent, 9 the least. */
    std::string workspace{}; /**< Empty: none. */
};

/**
 * @brief Requests of this gateway to one service that wait for their response headers. Not thread safe.
 *
 * Decides whether a further request would wait too long for its caller. A service counts as slow only if it responds and its latest responses were slow: a
 * service that is silent, or has a sudden burst of requests, is not judged.
 */
class ServiceBacklog
{
public:
    /** @brief Counts a request as waiting. @param workspace Its workspace; empty: none. */
    void onSent(const std::string &workspace = {});

    /** @brief Counts a request as no longer waiting, as its response headers arrived. @param now Current time. @param wait Time since it was sent.
     * @param workspace As in onSent(). */
    void onHeaders(core::MonotonicTime now, core::MonotonicTime::duration wait, const std::string &workspace = {});

    /** @brief Counts a request as no longer waiting, as its attempt ended without response headers. @param workspace As in onSent(). */
    void onEndedWithoutHeaders(const std::string &workspace = {});

    /** @brief Returns the multiple of the longest wait that a workspace gets for its share of the waiting requests. @param workspace As in onSent(). */
    [[nodiscard]] double shareFactor(const std::string &workspace) const;

    /** @brief Returns the mean time to the latest response headers; zero without enough of them. */
    [[nodiscard]] core::Milliseconds latestWait(core::MonotonicTime now);

    /** @brief Returns the time until the waiting requests are served at the latest rate; zero without enough responses. */
    [[nodiscard]] core::Milliseconds timeToServe(core::MonotonicTime now);

    /**
     * @brief Returns whether a request should be sent, as it will probably be served in time.
     *
     * The most urgent requests of the last seconds may wait for half of the time that their callers wait, those of each further urgency for half as long, and
     * none longer than more urgent ones: the less urgent are refused first. A workspace with over twice its equal share of the waiting requests gets half of
     * that time, one below its equal share half more, so that the requests of the largest are refused first. Nothing is refused while the service meets the
     * objectives of its requests.
     * @param query Request.
     * @param now Current time.
     */
    [[nodiscard]] bool isAdmitted(const BacklogQuery &query, core::MonotonicTime now);

private:
    /** @brief Limits that hold for a request. */
    struct Limits {
        core::Milliseconds wait{0}; /* longest time to serve */
        core::Milliseconds objective{0}; /* smallest of the objectives of this request and of more urgent ones */
    };

    struct Response {
        core::MonotonicTime at;
        core::MonotonicTime::duration wait;
    };

    void discardOld(core::MonotonicTime now);
    void endWaiting(const std::string &workspace);
    [[nodiscard]] Limits limitsOf(const BacklogQuery &query, core::MonotonicTime now);

    int waiting_ = 0;
    std::map<std::string, int> waitingByWorkspace_; /* those with waiting requests */
    scheduling::RecentDemand demand_;
    std::deque<Response> responses_; /* of the latest window, oldest first */
    core::MonotonicTime::duration totalWait_{}; /* of responses_ */
};

} // namespace cyclamenspool::gateway
