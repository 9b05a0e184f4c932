#include <catch2/catch.hpp>

#include <cyclamenspool/gateway/servicebacklog.h>

#include <algorithm>
#include <array>
#include <cstddef>
#include <deque>
#include <string>

using namespace cyclamenspool;
using namespace std::chrono_literals;
using core::Milliseconds;
using gateway::ServiceBacklog;

namespace {

/** @brief Outcome of a load pattern. */
struct Totals {
    int inTime = 0; /* headers within half of that time */
    int late = 0; /* headers after it, but before the caller left */
    int lost = 0; /* admitted, and the caller left first */
    int rejected = 0; /* twice */
};

constexpr Milliseconds callerWait{2000};
constexpr Milliseconds retryAfter{1500};

/**
 * @brief Plays requests at a service that serves one after the other. The caller of a rejected request returns once.
 * @param arrivals Requests per second during each of the seconds.
 * @param servedPerSecond Capacity.
 * @param hasControl False: all requests are admitted.
 */
Totals play(const std::vector<int> &arrivals, int servedPerSecond, bool hasControl)
{
    struct Waiting {
        core::MonotonicTime sentAt;
    };
    ServiceBacklog backlog;
    std::deque<Waiting> queue;
    std::deque<Milliseconds> returning; /* times of the second attempts */
    Totals totals;
    const auto start = core::MonotonicTime() + 1h;
    double due = 0;
    double capacity = 0;
    const auto end = Milliseconds(1000) * static_cast<int>(arrivals.size()) + 5s;
    for (Milliseconds time{0}; time < end; time += 1ms) {
        const auto now = start + time;
        const auto second = static_cast<std::size_t>(time / 1s);
        due += second < arrivals.size() ? arrivals[second] / 1000.0 : 0;
        const auto offer = [&](bool isReturning) {
            if (!hasControl || backlog.isAdmitted({callerWait, 300ms, 0}, now)) {
                backlog.onSent();
                queue.push_back({now});
            } else if (isReturning) {
                ++totals.rejected;
            } else {
                returning.push_back(time + retryAfter);
            }
        };
        for (; !returning.empty() && returning.front() <= time; returning.pop_front()) {
            offer(true);
        }
        for (; due >= 1; due -= 1) {
            offer(false);
        }
        capacity = std::min(capacity + servedPerSecond / 1000.0, 4.0);
        while (!queue.empty() && now - queue.front().sentAt > callerWait) {
            backlog.onEndedWithoutHeaders();
            ++totals.lost;
            queue.pop_front();
        }
        // A server works on a request until its caller has left, so that those which are lost in the queue cost nothing.
        for (; capacity >= 1 && !queue.empty() && now - queue.front().sentAt >= 50ms; capacity -= 1) {
            const auto wait = now - queue.front().sentAt;
            backlog.onHeaders(now, wait);
            ++(wait <= callerWait / 2 ? totals.inTime : totals.late);
            queue.pop_front();
        }
    }
    return totals;
}

} // namespace

TEST_CASE("overload for seconds: requests are rejected at once instead of waiting until their callers leave", "[gateway][admission]")
{
    const std::vector<int> burst{100, 100, 800, 800, 800, 800, 100, 100};
    const auto without = play(burst, 200, false);
    const auto with = play(burst, 200, true);
    CAPTURE(without.inTime, without.late, without.lost, with.inTime, with.late, with.lost, with.rejected);
    CHECK(without.lost > 1000);
    CHECK(with.lost < 0.1 * without.lost);
    CHECK(with.inTime > without.inTime);
    CHECK(with.inTime + with.late >= without.inTime + without.late); /* no capacity stays unused */
}

TEST_CASE("burst within the capacity: nothing is rejected", "[gateway][admission]")
{
    const auto totals = play({20, 20, 400, 400, 20, 400, 20}, 450, true);
    CHECK(totals.rejected == 0);
    CHECK(totals.lost == 0);
}

TEST_CASE("silent service: nothing is rejected while no response tells how slow it is", "[gateway][admission]")
{
    ServiceBacklog backlog;
    const auto start = core::MonotonicTime() + 1h;
    for (int i = 0; i < 50; ++i) {
        backlog.onSent();
        backlog.onHeaders(start, 50ms);
    }
    for (int i = 0; i < 500; ++i) {
        CHECK(backlog.isAdmitted({callerWait, 300ms, 9}, start + i * 10ms));
        backlog.onSent();
    }
}

TEST_CASE("half of a service is silent: its waiting requests do not make the other half look slow", "[gateway][admission]")
{
    ServiceBacklog backlog;
    const auto start = core::MonotonicTime() + 1h;
    for (int i = 0; i < 400; ++i) {
        const auto now = start + i * 5ms;
        CHECK(backlog.isAdmitted({callerWait, 300ms, 9}, now));
        backlog.onSent();
        if (i % 2 == 0) {
            backlog.onHeaders(now, 60ms);
        }
    }
}

TEST_CASE("overload: less urgent requests, and those with less time, are refused first", "[gateway][admission]")
{
    ServiceBacklog backlog;
    const auto now = core::MonotonicTime() + 1h;
    for (int i = 0; i < 100; ++i) {
        backlog.onSent();
    }
    for (int i = 0; i < 40; ++i) {
        backlog.onHeaders(now, 700ms);
    }
    CHECK(backlog.latestWait(now) == 700ms);
    CHECK(backlog.timeToServe(now) == 750ms);
    CHECK(backlog.isAdmitted({2000ms, 300ms, 7}, now)); /* the most urgent of those that are present */
    CHECK(backlog.isAdmitted({2000ms, 300ms, 2}, now));
    CHECK_FALSE(backlog.isAdmitted({2000ms, 300ms, 7}, now));
    CHECK_FALSE(backlog.isAdmitted({9000ms, 300ms, 7}, now)); /* a longer wait does not take precedence over urgency */
    CHECK_FALSE(backlog.isAdmitted({1000ms, 300ms, 2}, now));
}

namespace {

/** @brief Shares of the requests that are served in time, when one of six workspaces sends many times as much as the others. */
struct Shares {
    double hot = 0;
    double others = 0;
};

Shares playHotWorkspace(int hotPerSecond, int otherPerSecond, int servedPerSecond, bool areWorkspacesKnown)
{
    struct Waiting {
        core::MonotonicTime sentAt;
        bool isHot;
        std::string workspace;
    };
    ServiceBacklog backlog;
    std::deque<Waiting> queue;
    const auto start = core::MonotonicTime() + 1h;
    std::array<double, 6> due{};
    double capacity = 0;
    double sentHot = 0;
    double sentOthers = 0;
    Shares served;
    for (Milliseconds time{0}; time < 11s; time += 1ms) {
        const auto now = start + time;
        const bool isArriving = time < 8s; /* the rest is served afterwards */
        for (std::size_t i = 0; isArriving && i < due.size(); ++i) {
            const bool isHot = i == 0;
            for (due[i] += (isHot ? hotPerSecond : otherPerSecond) / 1000.0; due[i] >= 1; due[i] -= 1) {
                const std::string workspace = areWorkspacesKnown ? "workspace-" + std::to_string(i) : "";
                (isHot ? sentHot : sentOthers) += 1;
                if (backlog.isAdmitted({callerWait, 300ms, 0, workspace}, now)) {
                    backlog.onSent(workspace);
                    queue.push_back({now, isHot, workspace});
                }
            }
        }
        capacity = std::min(capacity + servedPerSecond / 1000.0, 4.0);
        for (; capacity >= 1 && !queue.empty() && now - queue.front().sentAt >= 50ms; capacity -= 1) {
            const auto &first = queue.front();
            const auto wait = now - first.sentAt;
            backlog.onHeaders(now, wait, first.workspace);
            (first.isHot ? served.hot : served.others) += wait <= callerWait ? 1 : 0;
            queue.pop_front();
        }
    }
    return {served.hot / sentHot, served.others / sentOthers};
}

} // namespace

TEST_CASE("hot workspace in an overload: its requests are refused before those of the others", "[gateway][admission]")
{
    const auto without = playHotWorkspace(800, 15, 200, false);
    const auto with = playHotWorkspace(800, 15, 200, true);
    CAPTURE(without.hot, without.others, with.hot, with.others);
    CHECK(without.others < 0.7);
    CHECK(with.others > 0.9);
    CHECK(with.hot * 800 + with.others * 75 > 0.9 * 200); /* no capacity stays unused */
}

TEST_CASE("hot workspace within the capacity: nothing of it is refused", "[gateway][admission]")
{
    const auto shares = playHotWorkspace(300, 15, 450, true);
    CHECK(shares.hot == 1.0);
    CHECK(shares.others == 1.0);
}

TEST_CASE("overload by the only workspace: it gets the whole time that callers wait", "[gateway][admission]")
{
    ServiceBacklog backlog;
    const auto now = core::MonotonicTime() + 1h;
    for (int i = 0; i < 100; ++i) {
        backlog.onSent("desk");
    }
    for (int i = 0; i < 40; ++i) {
        backlog.onHeaders(now, 700ms, "desk");
    }
    CHECK(backlog.isAdmitted({2000ms, 300ms, 0, "desk"}, now));
}
