#include <catch2/catch.hpp>

#include <cyclamenspool/gateway/scheduling/servicecapacity.h>

#include <algorithm>
#include <array>
#include <deque>
#include <vector>

using namespace cyclamenspool;
using namespace std::chrono_literals;
using core::Milliseconds;
using gateway::scheduling::FirstEventDemand;
using gateway::scheduling::FirstEventEstimate;
using gateway::scheduling::PromptWork;
using gateway::scheduling::SentPrompt;
using gateway::scheduling::ServerCapacity;
using gateway::scheduling::ServerOccupancy;
using gateway::scheduling::ServiceCapacity;
using gateway::scheduling::Verdict;

namespace {

const core::MonotonicTime start = core::MonotonicTime() + 1h;
constexpr int tokensPerMs = 60;

/** @brief Capacity that has learned the rate from prompts that were processed alone. */
struct Learned {
    Learned()
    {
        for (int i = 0; i < 40; ++i) {
            const auto tokens = static_cast<std::uint32_t>(i % 5 * 2500);
            SentPrompt prompt{{tokens, 0}, capacity.estimate(server, {0, 0, 64}, {tokens, 0}, now), now, std::nullopt};
            capacity.onSent(server, prompt);
            now += std::chrono::microseconds(tokens * 1000 / tokensPerMs);
            capacity.onFirstEvent(server, prompt, now);
            now += 2s;
            capacity.onEnded(server, prompt, true, now);
        }
    }

    /** @brief Sends a prompt that stays without a first event. */
    void send(PromptWork work)
    {
        capacity.onSent(server, {work, {}, now, std::nullopt});
    }

    ServiceCapacity capacity;
    ServerCapacity server;
    core::MonotonicTime now = start;
};

} // namespace

TEST_CASE("nothing is expected before the rate is known, and the request is sent", "[gateway][scheduling]")
{
    ServiceCapacity capacity;
    const ServerCapacity server;
    const auto estimate = capacity.estimate(server, {100, 100, 64}, {10000, 0}, start);
    CHECK(estimate.expected == 0ms);
    CHECK(ServiceCapacity::decide({0, 500ms, 1}, estimate, 400ms).verdict == Verdict::Send);
}

TEST_CASE("a request waits for prompts that are at least as urgent", "[gateway][scheduling]")
{
    Learned learned;
    learned.send({30000, 1});
    const auto urgent = learned.capacity.estimate(learned.server, {1, 0, 64}, {6000, 0}, learned.now);
    CHECK(urgent.expected.count() == Approx(100).margin(5));
    const auto equal = learned.capacity.estimate(learned.server, {1, 0, 64}, {6000, 1}, learned.now);
    CHECK(equal.expected.count() == Approx(600).margin(15));
    CHECK(equal.tokensAhead == 30000);
}

TEST_CASE("requests of peers count with the work that waits for a request of this gateway", "[gateway][scheduling]")
{
    Learned learned;
    learned.send({6000, 0});
    learned.now += 5s; /* the recent mean is 6,000 tokens a request */
    const ServerCapacity other;
    const auto estimate = learned.capacity.estimate(other, {0, 4, 64}, {600, 0}, learned.now);
    CHECK(estimate.tokensAhead == Approx(24000).epsilon(0.01));
    CHECK(estimate.expected.count() == Approx(410).margin(15));
}

TEST_CASE("without a free slot a request waits for streams to end", "[gateway][scheduling]")
{
    Learned learned; /* streams of 2 s */
    const auto free = learned.capacity.estimate(learned.server, {63, 0, 64}, {600, 0}, learned.now);
    CHECK(free.slotWait == 0ms);
    const auto full = learned.capacity.estimate(learned.server, {64, 0, 64}, {600, 0}, learned.now);
    CHECK(full.slotWait.count() == Approx(31).margin(1)); /* a 64th of a stream */
    for (int i = 0; i < 9; ++i) {
        learned.send({1, 0});
    }
    const auto queued = learned.capacity.estimate(learned.server, {73, 0, 64}, {600, 0}, learned.now);
    CHECK(queued.slotWait.count() == Approx(312).margin(10));
}

TEST_CASE("a slow machine lengthens the expected time", "[gateway][scheduling]")
{
    Learned learned;
    learned.server.onReport({1, 0, 64, learned.now}, 3.0);
    const auto estimate = learned.capacity.estimate(learned.server, {0, 0, 64}, {6000, 0}, learned.now);
    CHECK(estimate.expected.count() == Approx(200).margin(10));
}

TEST_CASE("each urgency below others that are present gets half of their time", "[gateway][scheduling]")
{
    ServiceCapacity capacity;
    CHECK(capacity.limitOf({2, 1500ms, 1}, start) == 1200ms); /* alone */
    CHECK(capacity.limitOf({0, 800ms, 1}, start) == 640ms);
    CHECK(capacity.limitOf({1, 800ms, 1}, start) == 320ms);
    CHECK(capacity.limitOf({2, 1500ms, 1}, start) == 160ms); /* of the smallest objective before it */
    CHECK(capacity.limitOf({2, 1500ms, 1}, start + 3s) == 1200ms);
    CHECK(capacity.limitOf({0, 800ms, 0.5}, start) == 320ms); /* workspace with a large share */
    CHECK(capacity.limitOf({0, 800ms, 1.5}, start) == 800ms);
}

TEST_CASE("a request that misses its objective is rejected, one behind more urgent ones is held", "[gateway][scheduling]")
{
    const FirstEventDemand demand{1, 800ms, 1};
    FirstEventEstimate estimate;
    estimate.behindOthers = 200ms;
    estimate.expected = 320ms;
    CHECK(ServiceCapacity::decide(demand, estimate, 320ms).verdict == Verdict::Send);
    estimate.expected = 500ms;
    CHECK(ServiceCapacity::decide(demand, estimate, 320ms).verdict == Verdict::Hold);
    CHECK(ServiceCapacity::decide(demand, estimate, 320ms).availableIn == 180ms);
    estimate.expected = 1000ms;
    CHECK(ServiceCapacity::decide(demand, estimate, 320ms).verdict == Verdict::Reject);
    CHECK(ServiceCapacity::decide(demand, estimate, 320ms).availableIn == 680ms);
}

TEST_CASE("a prompt that takes longer than the objective by itself is sent if nothing is ahead of it", "[gateway][scheduling]")
{
    FirstEventEstimate estimate;
    estimate.expected = 3000ms;
    CHECK(ServiceCapacity::decide({0, 800ms, 1}, estimate, 640ms).verdict == Verdict::Send);
}

namespace {

/** @brief Outcomes of the requests of an urgency. */
struct Totals {
    int arrived = 0;
    int sent = 0;
    int inTime = 0; /* first event within the objective */
};

constexpr Milliseconds objective{800};
constexpr int gateways = 4;
constexpr int seconds = 20;

/** @brief Prompt at the server. */
struct Queued {
    std::size_t gateway = 0;
    SentPrompt prompt;
};

/**
 * @brief Plays the loss of most servers of a service: several gateways send to the one that is left, which processes the most urgent prompt first.
 *
 * Per 100 ms arrive, in turn at the gateways, 4 prompts of 10,000 tokens with urgency 0, 6 of 800 with urgency 1 and 6 of 2,000 with urgency 2: 9 times what
 * the server processes.
 * @param hasControl False: all requests are sent.
 */
std::array<Totals, 3> playLostServers(bool hasControl)
{
    const std::array<std::uint32_t, 3> sizes{10000, 800, 2000};
    const std::array<int, 3> arrivals{4, 6, 6};
    std::array<Learned, gateways> nodes;
    auto now = start;
    for (const auto &node : nodes) {
        now = std::max(now, node.now);
    }
    std::array<Totals, 3> totals;
    std::vector<Queued> queue;
    std::deque<std::array<int, gateways>> loads; /* in flight by gateway, of the last 300 ms */
    std::array<int, gateways> inFlight{};
    double budget = 0;
    int turn = 0;
    for (int tick = 0; tick < seconds * 100; ++tick) {
        now += 10ms;
        loads.push_back(inFlight);
        if (loads.size() > 30) {
            loads.pop_front();
        }
        for (std::size_t urgency = 0; urgency < sizes.size() && tick % 10 == 0; ++urgency) {
            for (int i = 0; i < arrivals[urgency]; ++i) {
                const auto gateway = static_cast<std::size_t>(++turn % gateways);
                auto &node = nodes[gateway];
                int peers = 0;
                for (std::size_t peer = 0; peer < gateways; ++peer) {
                    peers += peer == gateway ? 0 : loads.front()[peer];
                }
                const FirstEventDemand demand{static_cast<int>(urgency), objective, 1};
                const PromptWork work{sizes[urgency], demand.urgency};
                const ServerOccupancy occupancy{static_cast<double>(inFlight[gateway]), static_cast<double>(peers), 64};
                const auto estimate = node.capacity.estimate(node.server, occupancy, work, now);
                const auto limit = node.capacity.limitOf(demand, now);
                ++totals[urgency].arrived;
                if (hasControl && ServiceCapacity::decide(demand, estimate, limit).verdict != Verdict::Send) {
                    continue;
                }
                ++totals[urgency].sent;
                const SentPrompt prompt{work, estimate, now, std::nullopt};
                node.capacity.onSent(node.server, prompt);
                queue.push_back({gateway, prompt});
                ++inFlight[gateway];
            }
        }
        budget = queue.empty() ? 0 : budget + 10 * tokensPerMs;
        while (!queue.empty()) {
            const auto next = std::min_element(queue.begin(), queue.end(), [](const Queued &left, const Queued &right) {
                return left.prompt.work.urgency < right.prompt.work.urgency;
            });
            if (budget < next->prompt.work.tokens) {
                break;
            }
            budget -= next->prompt.work.tokens;
            auto &node = nodes[next->gateway];
            totals[static_cast<std::size_t>(next->prompt.work.urgency)].inTime += now - next->prompt.sentAt <= objective ? 1 : 0;
            node.capacity.onFirstEvent(node.server, next->prompt, now);
            node.capacity.onEnded(node.server, next->prompt, true, now);
            --inFlight[next->gateway];
            queue.erase(next);
        }
    }
    return totals;
}

} // namespace

TEST_CASE("servers lost: what is sent gets its first event in time, and the most urgent is served most", "[gateway][scheduling]")
{
    const auto uncontrolled = playLostServers(false);
    const auto totals = playLostServers(true);
    const int sent = totals[0].sent + totals[1].sent + totals[2].sent;
    const int inTime = totals[0].inTime + totals[1].inTime + totals[2].inTime;
    INFO("sent " << totals[0].sent << ' ' << totals[1].sent << ' ' << totals[2].sent << ", in time " << totals[0].inTime << ' ' << totals[1].inTime << ' '
                 << totals[2].inTime << ", in time without control " << uncontrolled[0].inTime);
    CHECK(inTime >= sent * 9 / 10);
    CHECK(totals[0].inTime > 4 * uncontrolled[0].inTime);
    const double served = totals[0].inTime * 10000.0 + totals[1].inTime * 800.0 + totals[2].inTime * 2000.0;
    CHECK(served >= 0.6 * seconds * 1000 * tokensPerMs);
}
