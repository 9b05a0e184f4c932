#include <catch2/catch.hpp>

#include <cyclamenspool/gateway/routinginquiry.h>

#include <algorithm>
#include <array>
#include <functional>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

using namespace cyclamenspool;
using namespace std::chrono_literals;
using gateway::RoutingInquiry;

namespace {

/* A model of who may know the version in force: gateways that run, start, are killed and start again, each with the real RoutingInquiry, around a store that
   holds the latest version, was restored from an older copy, or is away. All orders of events are played. */

constexpr std::size_t gatewayCount = 3;
constexpr std::uint64_t latest = 2;
constexpr std::uint64_t older = 1;
constexpr auto namingTime = 300ms;
constexpr auto answerTime = 1000ms;
const core::MonotonicTime begin = core::MonotonicTime() + 1h;

enum class Store { WithoutEra, Whole, Restored, Away };
enum class Link { Reachable, Frozen, Cut }; /* of a gateway that has run since before */
enum class Mode { Down, Starting, Running };

/** @brief What stays the same in one play. */
struct Setting {
    Store store = Store::Whole;
    std::array<Link, gatewayCount> links{};
    std::array<std::vector<std::string>, gatewayCount> seeds;
    int starts = 0; /* at most */
    int kills = 0; /* at most */
};

struct Gateway {
    Mode mode = Mode::Down;
    bool hasRunSinceBefore = false; /* the play began */
    core::MonotonicTime runsSince{}; /* time at which it put a version in force */
    std::uint64_t known = 0;
    std::uint64_t inForce = 0;
    std::uint64_t awaited = 0; /* version of a document that was asked for */
    core::MonotonicTime startedAt{};
    bool isStoreListed = false;
    std::set<std::string> asked; /* no answer yet */
    std::set<std::string> callers; /* running peers that have called since the start */
    RoutingInquiry inquiry;

    [[nodiscard]] auto key() const
    {
        return std::tie(mode, hasRunSinceBefore, runsSince, known, inForce, awaited, startedAt, isStoreListed, asked, callers, inquiry);
    }

    bool operator<(const Gateway &other) const
    {
        return key() < other.key();
    }
};

struct State {
    std::array<Gateway, gatewayCount> gateways;
    core::MonotonicTime now = begin;
    int starts = 0;
    int kills = 0;

    bool operator<(const State &other) const
    {
        return std::tie(gateways, now, starts, kills) < std::tie(other.gateways, other.now, other.starts, other.kills);
    }
};

std::string nameOf(std::size_t index)
{
    return std::string(1, static_cast<char>('a' + index));
}

/** @brief Plays all orders of events from one first state; counts the states, and the breaches of each rule. */
class Play
{
public:
    explicit Play(Setting setting)
        : setting_(std::move(setting))
    {
    }

    void run(const State &first)
    {
        std::vector<State> open{first};
        while (!open.empty()) {
            const auto state = std::move(open.back());
            open.pop_back();
            if (!seen_.insert(state).second) {
                continue;
            }
            checkWaits(state);
            for (auto &next : successors(state)) {
                open.push_back(std::move(next));
            }
        }
    }

    [[nodiscard]] std::size_t stateCount() const
    {
        return seen_.size();
    }

    int fallenBehind = 0; /* a version in force that is older than one of a running peer that can be reached */
    int waitsInVain = 0; /* a wait although nobody can know more */
    int putInForce = 0;

private:
    [[nodiscard]] bool isReachable(const State &state, std::size_t index) const
    {
        const auto &gateway = state.gateways.at(index);
        return gateway.mode != Mode::Running || !gateway.hasRunSinceBefore || setting_.links.at(index) == Link::Reachable;
    }

    [[nodiscard]] bool isAnswerDue(const State &state, const std::string &peer) const
    {
        const auto index = static_cast<std::size_t>(peer[0] - 'a');
        return index < gatewayCount && isReachable(state, index);
    }

    [[nodiscard]] std::uint64_t stored() const
    {
        return setting_.store == Store::Away ? 0 : (setting_.store == Store::Restored ? older : latest);
    }

    /** @brief Returns whether a peer has had a version in force since before a gateway's start. */
    [[nodiscard]] static bool hasRunSinceStartOf(const State &state, std::size_t peer, std::size_t index)
    {
        const auto &other = state.gateways.at(peer);
        return other.mode == Mode::Running && (other.hasRunSinceBefore || other.runsSince < state.gateways.at(index).startedAt);
    }

    /** @brief Calls a function with each running peer that can call a gateway which starts and has not yet. */
    void forEachCaller(const State &state, std::size_t index, const std::function<void(std::size_t)> &call) const
    {
        for (std::size_t peer = 0; peer < gatewayCount; ++peer) {
            const bool canCall = peer != index && hasRunSinceStartOf(state, peer, index) && isReachable(state, peer);
            if (canCall && state.gateways.at(index).callers.count(nameOf(peer)) == 0) {
                call(peer);
            }
        }
    }

    /** @brief Returns whether all that reaches a gateway within the least time of a wait has reached it. */
    [[nodiscard]] bool isQuiet(const State &state, std::size_t index) const
    {
        const auto &gateway = state.gateways.at(index);
        bool isQuiet = gateway.awaited == 0 && std::none_of(gateway.asked.begin(), gateway.asked.end(), [&](const auto &peer) {
                           return isAnswerDue(state, peer);
                       });
        forEachCaller(state, index, [&isQuiet](std::size_t) {
            isQuiet = false;
        });
        return isQuiet;
    }

    void putInForceIfAllowed(State &state, std::size_t index)
    {
        auto &gateway = state.gateways.at(index);
        if (gateway.mode != Mode::Starting || gateway.known == 0 || gateway.known < gateway.inquiry.lowestVersion(state.now)) {
            return;
        }
        gateway.mode = Mode::Running;
        gateway.inForce = gateway.known;
        gateway.runsSince = state.now;
        gateway.asked.clear();
        gateway.callers.clear();
        gateway.awaited = 0;
        ++putInForce;
        for (std::size_t peer = 0; peer < gatewayCount; ++peer) {
            const auto &other = state.gateways.at(peer);
            // A store without eras has lost nothing: there not even a peer that nobody reaches may be ahead.
            const bool counts = hasRunSinceStartOf(state, peer, index) && (isReachable(state, peer) || setting_.store == Store::WithoutEra);
            fallenBehind += static_cast<int>(counts && other.inForce > gateway.inForce);
        }
    }

    void checkWaits(const State &state)
    {
        for (std::size_t index = 0; index < gatewayCount; ++index) {
            const auto &gateway = state.gateways.at(index);
            if (gateway.mode != Mode::Starting || !gateway.inquiry.isWaiting(state.now)) {
                continue;
            }
            const bool isAnyoneFrozen = std::any_of(gateway.asked.begin(), gateway.asked.end(), [&](const auto &peer) {
                const auto other = static_cast<std::size_t>(peer[0] - 'a');
                return other < gatewayCount && !isReachable(state, other) && setting_.links.at(other) == Link::Frozen;
            });
            const bool mayAnyoneCall = state.now < gateway.startedAt + namingTime;
            const bool isLongEnough = state.now >= gateway.startedAt + answerTime;
            const bool isStoreEnough = setting_.store == Store::WithoutEra && gateway.isStoreListed;
            const bool mayAnyoneKnow = mayAnyoneCall || isAnyoneFrozen || !isQuiet(state, index);
            const bool isInVain = isLongEnough || isStoreEnough || !mayAnyoneKnow || setting_.seeds.at(index).empty();
            waitsInVain += static_cast<int>(isInVain);
        }
    }

    [[nodiscard]] std::vector<State> successors(const State &state)
    {
        std::vector<State> all;
        for (std::size_t index = 0; index < gatewayCount; ++index) {
            const auto mode = state.gateways.at(index).mode;
            if (mode == Mode::Down && state.starts < setting_.starts) {
                all.push_back(start(state, index));
            }
            if (mode != Mode::Down && state.kills < setting_.kills) {
                all.push_back(kill(state, index));
            }
            if (mode == Mode::Starting) {
                addAnswers(state, index, all);
            }
        }
        if (auto later = state; advance(later)) {
            all.push_back(std::move(later));
        }
        return all;
    }

    [[nodiscard]] State start(State state, std::size_t index)
    {
        ++state.starts;
        auto &gateway = state.gateways.at(index);
        gateway = {};
        gateway.mode = Mode::Starting;
        gateway.startedAt = state.now;
        const auto &seeds = setting_.seeds.at(index);
        gateway.asked = {seeds.begin(), seeds.end()};
        gateway.inquiry.start(gateway.asked, state.now);
        return state;
    }

    [[nodiscard]] static State kill(State state, std::size_t index)
    {
        ++state.kills;
        state.gateways.at(index) = {};
        return state;
    }

    void addAnswers(const State &state, std::size_t index, std::vector<State> &all)
    {
        const auto &gateway = state.gateways.at(index);
        for (const auto &peer : gateway.asked) {
            if (isAnswerDue(state, peer)) {
                all.push_back(answer(state, index, peer));
            }
        }
        forEachCaller(state, index, [&](std::size_t peer) {
            auto next = state;
            auto &called = next.gateways.at(index);
            called.callers.insert(nameOf(peer));
            if (called.inquiry.onNamed(nameOf(peer), next.gateways.at(peer).inForce, next.now)) {
                called.asked.insert(nameOf(peer));
            }
            putInForceIfAllowed(next, index);
            all.push_back(std::move(next));
        });
        if (!gateway.isStoreListed && stored() > 0) {
            auto next = state;
            auto &listed = next.gateways.at(index);
            listed.isStoreListed = true;
            listed.inquiry.onStoreRead(setting_.store == Store::WithoutEra ? 0 : 1);
            listed.known = std::max(listed.known, stored());
            putInForceIfAllowed(next, index);
            all.push_back(std::move(next));
        }
        if (gateway.awaited > 0) {
            auto next = state;
            auto &supplied = next.gateways.at(index);
            supplied.known = std::max(supplied.known, std::exchange(supplied.awaited, 0));
            putInForceIfAllowed(next, index);
            all.push_back(std::move(next));
        }
    }

    [[nodiscard]] State answer(State state, std::size_t index, const std::string &peer)
    {
        auto &gateway = state.gateways.at(index);
        const auto &other = state.gateways.at(static_cast<std::size_t>(peer[0] - 'a'));
        gateway.asked.erase(peer);
        if (other.mode == Mode::Down) {
            gateway.inquiry.onFailed(peer);
        } else {
            static_cast<void>(gateway.inquiry.onNamed(peer, other.inForce, state.now));
            gateway.inquiry.onAnswered(peer, other.inForce);
            gateway.awaited = other.inForce > gateway.known ? std::max(gateway.awaited, other.inForce) : gateway.awaited;
        }
        putInForceIfAllowed(state, index);
        return state;
    }

    /** @brief Lets the time pass to the next time limit of any wait. @return False if there is none, or something reaches a gateway before. */
    [[nodiscard]] bool advance(State &state)
    {
        std::optional<core::MonotonicTime> next;
        for (std::size_t index = 0; index < gatewayCount; ++index) {
            const auto &gateway = state.gateways.at(index);
            if (gateway.mode != Mode::Starting) {
                continue;
            }
            const auto change = gateway.inquiry.nextChange(state.now);
            next = change && (!next || *change < *next) ? change : next;
            if (!isQuiet(state, index)) {
                return false;
            }
        }
        if (!next) {
            return false;
        }
        state.now = *next;
        for (std::size_t index = 0; index < gatewayCount; ++index) {
            auto &gateway = state.gateways.at(index);
            if (gateway.mode != Mode::Starting) {
                continue;
            }
            dropUnreached(state, gateway);
            putInForceIfAllowed(state, index);
        }
        return true;
    }

    void dropUnreached(const State &state, Gateway &gateway) const
    {
        if (state.now != gateway.startedAt + namingTime) {
            return;
        }
        for (const auto &peer : gateway.inquiry.unanswered()) {
            const auto other = static_cast<std::size_t>(peer[0] - 'a');
            const bool isGone = other >= gatewayCount;
            if (isGone || (!isReachable(state, other) && setting_.links.at(other) == Link::Cut)) {
                gateway.inquiry.onUnreached(peer);
                gateway.asked.erase(peer);
            }
        }
    }

    Setting setting_;
    std::set<State> seen_;
};

/** @brief Sums of all plays of a kind. */
struct Sums {
    std::size_t states = 0;
    std::size_t plays = 0;
    int fallenBehind = 0;
    int waitsInVain = 0;
    int putInForce = 0;
};

/** @brief Plays all sets of running gateways and all states of their links. @param seeds Of each gateway. */
Sums playAll(Store store, const std::array<std::vector<std::string>, gatewayCount> &seeds, int starts, int kills)
{
    Sums sums;
    constexpr unsigned linkStates = 3;
    for (unsigned running = 0; running < (1U << gatewayCount); ++running) {
        for (unsigned links = 0; links < linkStates * linkStates * linkStates; ++links) {
            Setting setting{store, {}, seeds, starts, kills};
            State first;
            bool isNew = true; /* the link of a gateway that does not run makes no difference */
            unsigned left = links;
            for (std::size_t index = 0; index < gatewayCount; ++index) {
                const bool isRunning = (running >> index & 1U) != 0;
                setting.links.at(index) = static_cast<Link>(left % linkStates);
                isNew = isNew && (isRunning || left % linkStates == 0);
                left /= linkStates;
                if (isRunning) {
                    auto &gateway = first.gateways.at(index);
                    gateway.mode = Mode::Running;
                    gateway.hasRunSinceBefore = true;
                    gateway.known = latest;
                    gateway.inForce = latest;
                }
            }
            if (!isNew) {
                continue;
            }
            Play play(std::move(setting));
            play.run(first);
            ++sums.plays;
            sums.states += play.stateCount();
            sums.fallenBehind += play.fallenBehind;
            sums.waitsInVain += play.waitsInVain;
            sums.putInForce += play.putInForce;
        }
    }
    return sums;
}

} // namespace

// Guards against a version that falls behind one of a running peer, and against a wait in which nobody can know more, in any order of events.
TEST_CASE("start model: no gateway falls behind a running peer that it can reach, or waits once nobody can know more", "[gateway][start]")
{
    using Seeds = std::array<std::vector<std::string>, gatewayCount>;
    const auto store = GENERATE(Store::WithoutEra, Store::Whole, Store::Restored, Store::Away);
    const auto seeds = GENERATE(Seeds{{{"b", "c"}, {"a", "c"}, {"a", "b"}}}, /* all know all */
                                Seeds{{{"b"}, {"a"}, {"a", "b"}}}, /* c is nobody's seed */
                                Seeds{{{"z", "b"}, {"z", "a"}, {"z", "a"}}}); /* the VM of z is gone */
    const auto [starts, kills] = GENERATE(std::pair(3, 0), std::pair(2, 2));
    const auto sums = playAll(store, seeds, starts, kills);
    CAPTURE(static_cast<int>(store), starts, kills, sums.plays, sums.states, sums.putInForce);
    CHECK(sums.fallenBehind == 0);
    CHECK(sums.waitsInVain == 0);
    CHECK(sums.putInForce > 0);
}
