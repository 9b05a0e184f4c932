#include <catch2/catch.hpp>

#include <cyclamenspool/core/random.h>
#include <cyclamenspool/gateway/listdelta.h>
#include <cyclamenspool/gateway/storeera.h>
#include <cyclamenspool/gateway/watchpolicy.h>
#include <cyclamenspool/member/storereplica.h>

#include <algorithm>
#include <array>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <utility>
#include <vector>

using namespace cyclamenspool;
using namespace std::chrono_literals;
using core::Milliseconds;
using member::StoreItem;
using member::StorePosition;
using member::StoreReplica;
using member::StoreSnapshot;

namespace {

/** @brief Response of the modelled store. */
struct Answer {
    std::uint64_t era = 0;
    bool isCompacted = false;
    bool isFailed = false; /* without content: refused or cut */
    StorePosition position;
    std::vector<StoreItem> items;
    std::string lastKey;
    bool hasMore = false;
};

/** @brief Store that can be replaced by an earlier copy of itself; remembers the changes of every era as the reference for what gateways apply. */
class ModelStore
{
public:
    using History = std::map<std::uint64_t, StoreItem>;

    void put(const std::string &key, const std::string &value, bool isDeleted = false)
    {
        const StoreItem item{key, value, {era_, ++revision_}, isDeleted};
        histories_[era_][revision_] = item;
    }

    /** @brief Begins the next era with the changes up to a revision of this one. */
    void restore(std::uint64_t revision)
    {
        auto &next = histories_[era_ + 1];
        for (auto [at, item] : histories_[era_]) {
            if (at <= revision) {
                item.position.era = era_ + 1;
                next[at] = item;
            }
        }
        ++era_;
        revision_ = revision;
    }

    [[nodiscard]] StorePosition position() const
    {
        return {era_, revision_};
    }

    [[nodiscard]] std::map<std::string, StoreItem> itemsAt(const StorePosition &position, const std::string &prefix) const
    {
        std::map<std::string, StoreItem> items;
        for (const auto &[revision, item] : histories_.at(position.era)) {
            if (revision > position.revision || item.key.compare(0, prefix.size(), prefix) != 0) {
                continue;
            }
            if (item.isDeleted) {
                items.erase(item.key);
            } else {
                items[item.key] = item;
            }
        }
        return items;
    }

    [[nodiscard]] Answer range(const std::string &prefix, const std::string &after, std::size_t pageSize) const
    {
        Answer answer;
        answer.era = era_;
        answer.position = position();
        const auto items = itemsAt(position(), prefix);
        for (auto item = items.upper_bound(after); item != items.end(); ++item) {
            if (answer.items.size() == pageSize) {
                answer.hasMore = true;
                break;
            }
            answer.items.push_back(item->second);
            answer.lastKey = item->first;
        }
        return answer;
    }

    [[nodiscard]] Answer watch(const std::string &prefix, std::uint64_t after) const
    {
        Answer answer;
        answer.era = era_;
        answer.position = position();
        answer.isCompacted = after > revision_;
        const auto &history = histories_.at(era_);
        for (auto change = history.upper_bound(after); change != history.end() && !answer.isCompacted; ++change) {
            if (change->second.key.compare(0, prefix.size(), prefix) == 0) {
                answer.items.push_back(change->second);
            }
        }
        return answer;
    }

    /** @brief Returns whether an era's history has exactly this change at its position. */
    [[nodiscard]] bool hasChange(const StoreItem &item) const
    {
        const auto era = histories_.find(item.position.era);
        const auto found = era == histories_.end() ? History::const_iterator() : era->second.find(item.position.revision);
        const bool isKnown = era != histories_.end() && found != era->second.end();
        return isKnown && found->second.key == item.key && found->second.value == item.value && found->second.isDeleted == item.isDeleted;
    }

private:
    std::uint64_t era_ = 1;
    std::uint64_t revision_ = 1;
    std::map<std::uint64_t, History> histories_{{1, {}}};
};

constexpr gateway::WatchBounds bounds;
constexpr std::array<const char *, 2> prefixes{"op/", "servers/"};
constexpr std::size_t configuration = 0;
constexpr std::size_t servers = 1;
constexpr int serverCount = 5;

/** @brief Gateways, store, operator and servers on a clock of their own, without a network. */
class Model
{
public:
    Model(std::size_t gateways, std::size_t zones, std::uint64_t seed)
        : random_(seed)
        , zones_(zones)
        , gateways_(gateways)
    {
        write("op/config");
        for (int i = 0; i < serverCount; ++i) {
            write(serverKey(i));
        }
        for (std::size_t i = 0; i < gateways; ++i) {
            gateways_[i].zone = i % zones;
            at(jitter(200ms), [this, i] {
                call(i, configuration);
                call(i, servers);
            });
            at(jitter(500ms), [this, i] {
                poll(i);
            });
            at(jitter(updatePeriod()), [this, i] {
                update(i);
            });
        }
        for (std::size_t zone = 0; zone < zones; ++zone) {
            at(jitter(100ms), [this, zone] {
                pullTotals(zone);
            });
        }
        operate();
        for (int i = 0; i < serverCount; ++i) {
            at(jitter(1s), [this, i] {
                report(i);
            });
        }
    }

    /** @brief Takes the store away at a time and brings back a copy of it. */
    void restoreAt(Milliseconds time, Milliseconds away, Milliseconds copyAge)
    {
        at(time - now_, [this, away, copyAge] {
            isAway_ = true;
            const auto revision = revisionAt(now_ - copyAge);
            cutWaiting();
            at(away, [this, revision] {
                isAway_ = false;
                store_.restore(revision);
                returnedAt_ = now_;
                revisions_.clear();
                revisions_.emplace_back(now_, revision);
                answerWaiting();
                // What was written since the copy is written again, as it is now.
                at(jitter(500ms), [this] {
                    write("op/config");
                });
            });
        });
    }

    void runUntil(Milliseconds time, Milliseconds quietAfter)
    {
        quietAfter_ = quietAfter;
        while (!events_.empty() && events_.top().time <= time) {
            auto event = events_.top();
            events_.pop();
            now_ = event.time;
            event.run();
        }
        now_ = time;
    }

    /** @brief Returns how many copies differ from the store. */
    [[nodiscard]] int differences() const
    {
        int count = 0;
        for (const auto &each : gateways_) {
            for (std::size_t section = 0; section < prefixes.size(); ++section) {
                const auto &replica = each.replicas[section];
                const auto wanted = store_.itemsAt(store_.position(), prefixes[section]);
                const bool isEqual = std::equal(wanted.begin(), wanted.end(), replica.items().begin(), replica.items().end(), [](const auto &a, const auto &b) {
                    return a.first == b.first && a.second.value == b.second.value && a.second.position == b.second.position;
                });
                count += isEqual && replica.position().era == store_.position().era ? 0 : 1;
            }
        }
        return count;
    }

    std::vector<std::string> errors; /**< What a gateway applied although it must not, and changes that came into force late. */
    Milliseconds slowestCopy{0}; /**< From the store's return to a copy of its era, the longest of all. */
    int mostReads = 0; /**< In one second, after the first list. */

private:
    struct Gateway {
        std::size_t zone = 0;
        std::array<StoreReplica, 2> replicas;
        std::array<std::uint64_t, 2> calls{}; /* number of the current call; answers to earlier ones are dropped */
        std::array<bool, 2> needsList{};
        std::array<Milliseconds, 2> refreshedAt{};
        std::array<std::pair<Milliseconds, std::uint64_t>, 2> lastPulls{}; /* time, era */
        gateway::StoreEra era;
        int version = 0; /* of the configuration in force */
    };
    struct Event {
        Milliseconds time;
        std::uint64_t number;
        std::function<void()> run;
        bool operator<(const Event &other) const
        {
            return std::pair(time, number) > std::pair(other.time, other.number);
        }
    };
    struct Waiting {
        std::string prefix;
        std::uint64_t after;
        Milliseconds until;
        std::function<void(const Answer &)> onAnswer;
    };

    static std::string serverKey(int server)
    {
        return "servers/s" + std::to_string(server);
    }
    Milliseconds jitter(Milliseconds range)
    {
        return Milliseconds(static_cast<int>(random_.index(static_cast<std::size_t>(range.count()))));
    }
    [[nodiscard]] core::MonotonicTime clock() const
    {
        return core::MonotonicTime(1h) + now_;
    }
    Milliseconds latency()
    {
        return 5ms + jitter(50ms);
    }
    [[nodiscard]] Milliseconds updatePeriod() const
    {
        return 200ms + 5ms * static_cast<int>(gateways_.size() / zones_);
    }
    void at(Milliseconds delay, std::function<void()> run)
    {
        events_.push({now_ + delay, ++eventNumber_, std::move(run)});
    }
    [[nodiscard]] bool isChecker(std::size_t g) const
    {
        return g < zones_;
    }
    [[nodiscard]] std::uint64_t revisionAt(Milliseconds time) const
    {
        std::uint64_t revision = revisions_.front().second;
        for (const auto &[since, each] : revisions_) {
            revision = since <= time ? each : revision;
        }
        return revision;
    }

    void write(const std::string &key)
    {
        if (isAway_ || now_ > quietAfter_) {
            return;
        }
        store_.put(key, std::to_string(key == "op/config" ? ++version_ : ++sequence_));
        revisions_.emplace_back(now_, store_.position().revision);
        if (key == "op/config") {
            const auto era = store_.position().era;
            at(bounds.configuration, [this, era, version = version_] {
                for (const auto &each : gateways_) {
                    if (store_.position().era == era && !isAway_ && each.version < version) {
                        errors.push_back("version " + std::to_string(version) + " is not in force 2 s after its confirmation");
                    }
                }
            });
        }
        answerWaiting();
    }
    void operate()
    {
        at(300ms + jitter(1200ms), [this] {
            if (random_.index(3) == 0 && !isAway_ && now_ < quietAfter_) {
                // Evacuations and their ends.
                store_.put("op/evacuate/z" + std::to_string(random_.index(2)), "{}", random_.index(2) == 0);
                revisions_.emplace_back(now_, store_.position().revision);
                answerWaiting();
            }
            write("op/config");
            operate();
        });
    }
    void report(int server)
    {
        write(serverKey(server));
        at(1s, [this, server] {
            report(server);
        });
    }

    void answerWaiting()
    {
        auto waiting = std::exchange(waiting_, {});
        for (auto &each : waiting) {
            auto answer = store_.watch(each.prefix, each.after);
            if (answer.isCompacted || !answer.items.empty() || now_ >= each.until) {
                each.onAnswer(answer);
            } else {
                waiting_.push_back(std::move(each));
            }
        }
    }
    void cutWaiting()
    {
        auto waiting = std::exchange(waiting_, {});
        for (auto &each : waiting) {
            if (random_.index(2) == 0) {
                Answer cut;
                cut.era = store_.position().era;
                cut.isFailed = true;
                each.onAnswer(cut);
            } else {
                waiting_.push_back(std::move(each)); /* held until the store is back */
            }
        }
    }
    /** @brief Sends a call. The store answers with its state when the call arrives, or when a change occurs; the answer travels for a while. */
    void send(std::function<Answer()> read, std::optional<Waiting> wait, std::function<void(const Answer &)> onAnswer)
    {
        const auto deliver = [this, onAnswer = std::move(onAnswer)](const Answer &answer) {
            at(latency(), [onAnswer, answer] {
                onAnswer(answer);
            });
        };
        at(latency(), [this, read = std::move(read), wait = std::move(wait), deliver] {
            countRead();
            if (isAway_) {
                Answer refused;
                refused.era = store_.position().era;
                refused.isFailed = true;
                deliver(refused);
                return;
            }
            const auto answer = read();
            if (wait && answer.items.empty() && !answer.isCompacted) {
                waiting_.push_back({wait->prefix, wait->after, now_ + wait->until, deliver});
                at(wait->until, [this] {
                    answerWaiting();
                });
                return;
            }
            deliver(answer);
        });
    }
    void countRead()
    {
        reads_.push_back(now_);
        while (reads_.front() < now_ - 1s) {
            reads_.pop_front();
        }
        if (now_ > 2s) {
            mostReads = std::max(mostReads, static_cast<int>(reads_.size()));
        }
    }

    [[nodiscard]] StorePosition watchPosition(std::size_t g, std::size_t section) const
    {
        const auto &own = gateways_[g].replicas[section].position();
        return gateways_[g].era.hasEnded(own.era) ? StorePosition(gateways_[g].era.value(), 0) : own;
    }
    /** @brief The store client of a section: decides on the next call. */
    void call(std::size_t g, std::size_t section)
    {
        auto &self = gateways_[g];
        const auto number = ++self.calls[section];
        const auto again = [this, g, section, number](Milliseconds delay) {
            at(delay, [this, g, section, number] {
                if (gateways_[g].calls[section] == number) {
                    call(g, section);
                }
            });
        };
        const auto position = watchPosition(g, section);
        if (position.isEmpty()) {
            const bool hasCopy = !self.replicas[section].position().isEmpty();
            const auto delay = hasCopy ? gateway::restoredListDelay(bounds, isChecker(g), self.era.age(clock())) : 0ms;
            if (delay > 0ms && !self.needsList[section]) {
                again(std::min(delay, Milliseconds(50)));
                return;
            }
        }
        if (position.isEmpty() || self.needsList[section]) {
            list(g, section, number, {}, {});
            return;
        }
        const auto pause = section == servers ? gateway::listPause(bounds, isChecker(g), now_ - self.refreshedAt[section]) : 0ms;
        if (pause > 0ms) {
            again(pause);
            return;
        }
        const auto wait = section == servers ? gateway::listWatchTime(isChecker(g)) : gateway::configurationWatchTime();
        send(
            [this, section, position] {
                return store_.watch(prefixes[section], position.revision);
            },
            Waiting{prefixes[section], position.revision, wait, {}},
            [this, g, section, number, position](const Answer &answer) {
                onWatched(g, section, number, position, answer);
            });
    }
    void list(std::size_t g, std::size_t section, std::uint64_t number, StoreSnapshot all, const std::string &after)
    {
        constexpr std::size_t pageSize = 2;
        const auto read = [this, section, after] {
            return store_.range(prefixes[section], after, pageSize);
        };
        send(read, {}, [this, g, section, number, all = std::move(all)](const Answer &page) mutable {
            if (!accept(g, section, number, page)) {
                return;
            }
            if (!all.position.isEmpty() && all.position.era != page.era) {
                list(g, section, number, {}, {});
                return;
            }
            all.position = all.position.isEmpty() ? page.position : all.position;
            all.items.insert(all.items.end(), page.items.begin(), page.items.end());
            if (page.hasMore) {
                list(g, section, number, std::move(all), page.lastKey);
                return;
            }
            gateways_[g].needsList[section] = false;
            replace(g, section, all);
            call(g, section);
        });
    }
    void onWatched(std::size_t g, std::size_t section, std::uint64_t number, const StorePosition &from, const Answer &answer)
    {
        if (!accept(g, section, number, answer)) {
            return;
        }
        if (answer.era == from.era && answer.isCompacted) {
            gateways_[g].needsList[section] = true;
        } else if (answer.era == from.era) {
            merge(g, section, answer.items, answer.position);
        }
        call(g, section);
    }
    /** @brief Handles what precedes the content of an answer. @return False if the content must not be used; the call is then repeated. */
    bool accept(std::size_t g, std::size_t section, std::uint64_t number, const Answer &answer)
    {
        auto &self = gateways_[g];
        const bool isCurrent = self.calls[section] == number;
        if (!self.era.hasEnded(answer.era)) {
            raiseEra(g, answer.era, section);
        }
        const bool isUsed = isCurrent && !self.era.hasEnded(answer.era) && !answer.isFailed;
        if (isCurrent && !isUsed) {
            at(200ms, [this, g, section, number] {
                if (gateways_[g].calls[section] == number) {
                    call(g, section);
                }
            });
        }
        return isUsed;
    }
    void raiseEra(std::size_t g, std::uint64_t era, std::optional<std::size_t> caller)
    {
        auto &self = gateways_[g];
        if (!self.era.onReported(era, clock())) {
            return;
        }
        for (std::size_t section = 0; section < prefixes.size(); ++section) {
            if (section != caller && !self.replicas[section].position().isEmpty()) {
                call(g, section);
            }
        }
    }

    void replace(std::size_t g, std::size_t section, const StoreSnapshot &snapshot)
    {
        auto &self = gateways_[g];
        if (self.era.hasEnded(snapshot.position.era)) {
            return;
        }
        raiseEra(g, snapshot.position.era, section);
        const auto before = self.replicas[section].position();
        apply(g, self.replicas[section].replace(snapshot));
        const auto &after = self.replicas[section].position();
        if (after < before) {
            errors.emplace_back("a copy went back");
        }
        if (after.era > before.era && !before.isEmpty()) {
            slowestCopy = std::max(slowestCopy, now_ - returnedAt_);
        }
        self.refreshedAt[section] = now_;
    }
    void merge(std::size_t g, std::size_t section, const std::vector<StoreItem> &changes, const StorePosition &position)
    {
        auto &self = gateways_[g];
        if (!self.replicas[section].position().isEmpty() && position.era != self.replicas[section].position().era) {
            return;
        }
        const auto before = self.replicas[section].position();
        apply(g, self.replicas[section].merge(changes, position));
        if (self.replicas[section].position() < before) {
            errors.emplace_back("a copy went back");
        }
        self.refreshedAt[section] = now_;
    }
    void apply(std::size_t g, const std::vector<StoreItem> &changes)
    {
        auto &self = gateways_[g];
        for (const auto &item : changes) {
            if (item.position.era < self.era.value()) {
                errors.emplace_back("an item of an ended era was applied");
            }
            // A list reports what it lacks as deleted at its own position.
            if (!item.isDeleted && !store_.hasChange(item)) {
                errors.emplace_back("an item was applied that its era has not");
            }
            if (item.key == "op/config" && !item.isDeleted) {
                self.version = std::max(self.version, std::stoi(item.value));
            }
        }
    }

    void poll(std::size_t g)
    {
        at(gateway::storeCheckPeriod(bounds), [this, g] {
            poll(g);
        });
        if (isChecker(g)) {
            pollSection(g, servers);
        }
    }
    void pollSection(std::size_t g, std::size_t section)
    {
        const auto position = watchPosition(g, section);
        if (position.isEmpty()) {
            return;
        }
        const auto read = [this, section, position] {
            return store_.watch(prefixes[section], position.revision);
        };
        send(read, {}, [this, g, section, position](const Answer &answer) {
            onPolled(g, section, position, answer);
        });
    }
    void onPolled(std::size_t g, std::size_t section, const StorePosition &from, const Answer &answer)
    {
        auto &self = gateways_[g];
        if (self.era.hasEnded(answer.era)) {
            return;
        }
        raiseEra(g, answer.era, {});
        if (answer.isFailed || answer.era != from.era) {
            return;
        }
        if (answer.isCompacted) {
            self.needsList[section] = true;
            call(g, section);
            return;
        }
        if (section == servers && self.replicas[section].position().isContinuedBy(answer.position)) {
            gateway::ListDelta delta;
            delta.base = self.replicas[section].position();
            delta.position = answer.position;
            delta.items = answer.items;
            for (std::size_t other = 0; other < gateways_.size(); ++other) {
                if (other != g && gateways_[other].zone == self.zone) {
                    at(1ms + jitter(30ms), [this, other, delta] {
                        onDelta(other, delta);
                    });
                }
            }
        }
        merge(g, section, answer.items, answer.position);
        if (section == servers && self.replicas[configuration].position() < answer.position) {
            pollSection(g, configuration);
        }
    }
    void onDelta(std::size_t g, const gateway::ListDelta &delta)
    {
        const auto own = gateways_[g].replicas[servers].position();
        if (!own.isEmpty() && !gateways_[g].era.hasEnded(own.era) && delta.base.isContinuedBy(own) && own.isContinuedBy(delta.position)) {
            merge(g, servers, delta.items, delta.position);
        }
    }

    void update(std::size_t g)
    {
        at(updatePeriod(), [this, g] {
            update(g);
        });
        for (std::size_t other = gateways_[g].zone; other < gateways_.size(); other += zones_) {
            if (other != g) {
                tell(g, other);
            }
        }
    }
    void pullTotals(std::size_t zone)
    {
        at(100ms, [this, zone] {
            pullTotals(zone);
        });
        const auto members = gateways_.size() / zones_;
        for (std::size_t other = 0; other < zones_; ++other) {
            if (other != zone) {
                tell(other + zones_ * random_.index(members), zone + zones_ * random_.index(members));
            }
        }
    }
    /** @brief Tells a gateway the positions of another one's copies, and lets it pull what is of a later era. */
    void tell(std::size_t source, std::size_t target)
    {
        const std::array<StorePosition, 2> told{gateways_[source].replicas[0].position(), gateways_[source].replicas[1].position()};
        at(1ms + jitter(30ms), [this, source, target, told] {
            auto &self = gateways_[target];
            for (std::size_t section = 0; section < prefixes.size(); ++section) {
                const auto &own = self.replicas[section].position();
                auto &[pulledAt, pulledEra] = self.lastPulls[section];
                if (own.isEmpty() || told[section].era <= own.era) {
                    continue;
                }
                raiseEra(target, told[section].era, {});
                if (pulledEra == told[section].era && now_ - pulledAt < 300ms) {
                    continue;
                }
                pulledAt = now_;
                pulledEra = told[section].era;
                at(1ms + jitter(30ms), [this, source, target, section] {
                    const auto copy = gateways_[source].replicas[section].toSnapshot();
                    at(1ms + jitter(30ms), [this, target, section, copy] {
                        replace(target, section, copy);
                    });
                });
            }
        });
    }

    core::RandomSource random_;
    std::size_t zones_;
    ModelStore store_;
    std::vector<Gateway> gateways_;
    std::priority_queue<Event> events_;
    std::uint64_t eventNumber_ = 0;
    Milliseconds now_{0};
    Milliseconds quietAfter_{1h};
    Milliseconds returnedAt_{0};
    bool isAway_ = false;
    int version_ = 0;
    int sequence_ = 0;
    std::vector<std::pair<Milliseconds, std::uint64_t>> revisions_{{0ms, 1}};
    std::vector<Waiting> waiting_;
    std::deque<Milliseconds> reads_;
};

struct Size {
    std::size_t gateways;
    std::size_t zones;
    int readsPerSecond; /* limit of the store on sites of that size */
};

void play(const Size &size, std::uint64_t seed)
{
    CAPTURE(size.gateways, size.zones, seed);
    core::RandomSource random(seed);
    Model model(size.gateways, size.zones, seed);
    const auto restores = 1 + random.index(3);
    auto time = 4000ms;
    for (std::size_t i = 0; i < restores; ++i) {
        const auto away = 100ms + Milliseconds(static_cast<int>(random.index(1400)));
        model.restoreAt(time, away, Milliseconds(static_cast<int>(random.index(4000))));
        time += away + Milliseconds(static_cast<int>(random.index(2500)));
    }
    model.runUntil(time + 5s, time + 3s);
    const std::set<std::string> errors(model.errors.begin(), model.errors.end());
    CAPTURE(errors, restores, model.slowestCopy.count());
    CHECK(model.errors.empty());
    CHECK(model.differences() == 0);
    CHECK(model.slowestCopy < bounds.configuration);
    CHECK(model.mostReads < size.readsPerSecond);
}

} // namespace

// Guards against copies that stay in an ended era, go back to it, or mix two histories, whenever the store is restored: during a list, between its pages,
// during a watch or while changes of the list are on their way.
TEST_CASE("restored store: after one to three restores in a row, all copies of 3 gateways equal the store and every change is in force in time",
          "[gateway][era][model]")
{
    const auto seed = GENERATE(range(1, 301));
    play({3, 3, 2000}, static_cast<std::uint64_t>(seed));
    play({3, 1, 2000}, static_cast<std::uint64_t>(seed));
}

// As above; also guards against gateways that wait for a copy which nobody passes on.
TEST_CASE("restored store: the copies of 30 gateways follow one to three restores in time", "[gateway][era][model]")
{
    const auto seed = GENERATE(range(1, 31));
    play({30, 3, 2000}, static_cast<std::uint64_t>(seed));
}

// Guards against a store that refuses reads since all gateways list at once.
TEST_CASE("restored store: the copies of 300 gateways follow one to three restores in time and within the store's limit of reads", "[gateway][era][model]")
{
    const auto seed = GENERATE(range(1, 4));
    play({300, 6, 6000}, static_cast<std::uint64_t>(seed));
}

namespace {

/** @brief One document, a store and two gateways; every order of writes, a restore, calls and copies between the gateways is played. */
class Exploration
{
public:
    struct Call {
        bool isSent = false;
        bool isAnswered = false;
        StorePosition from; /* empty: a list */
        Answer answer;
    };
    struct Gateway {
        StoreReplica replica;
        gateway::StoreEra era;
        Call call;
        std::optional<StoreSnapshot> pulled; /* a peer's copy on its way */
    };
    struct State {
        ModelStore store;
        int writes = 0;
        bool isRestored = false;
        std::array<Gateway, 2> gateways;
    };

    void explore(const State &state)
    {
        if (!seen_.insert(keyOf(state)).second) {
            return;
        }
        check(state);
        if (state.writes < 3) {
            auto next = state;
            next.store.put("op/config", "v" + std::to_string(++next.writes));
            explore(next);
        }
        if (!state.isRestored) {
            for (std::uint64_t revision = 1; revision < state.store.position().revision; ++revision) {
                auto next = state;
                next.isRestored = true;
                next.store.restore(revision);
                explore(next);
            }
        }
        for (std::size_t g = 0; g < state.gateways.size(); ++g) {
            exploreGateway(state, g);
        }
    }

    [[nodiscard]] std::size_t states() const
    {
        return seen_.size();
    }
    [[nodiscard]] const std::set<std::string> &errors() const
    {
        return errors_;
    }

private:
    static std::string text(const StorePosition &position)
    {
        return std::to_string(position.era) + "." + std::to_string(position.revision);
    }
    static std::string text(const std::vector<StoreItem> &items)
    {
        std::string all;
        for (const auto &item : items) {
            all += item.value + "@" + text(item.position) + ",";
        }
        return all;
    }
    static std::string keyOf(const State &state)
    {
        std::string key = text(state.store.position()) + (state.isRestored ? "R" : "") + std::to_string(state.writes) + text(state.store.watch("op/", 0).items);
        for (const auto &each : state.gateways) {
            key += "|" + text(each.replica.position()) + text(each.replica.toSnapshot().items) + "e" + std::to_string(each.era.value());
            if (each.call.isSent) {
                key += "c" + text(each.call.from);
            }
            if (each.call.isAnswered) {
                key += "a" + std::to_string(each.call.answer.era) + (each.call.answer.isCompacted ? "g" : "") + text(each.call.answer.position)
                    + text(each.call.answer.items);
            }
            if (each.pulled) {
                key += "p" + text(each.pulled->position) + text(each.pulled->items);
            }
        }
        return key;
    }

    void exploreGateway(const State &state, std::size_t g)
    {
        const auto &self = state.gateways[g];
        if (!self.call.isSent) {
            auto next = state;
            send(next.gateways[g]);
            explore(next);
        }
        if (self.call.isSent && !self.call.isAnswered) {
            auto next = state;
            answer(next.store, next.gateways[g]);
            explore(next);
        }
        if (self.call.isAnswered) {
            auto next = state;
            receive(next.gateways[g]);
            explore(next);
        }
        const auto &peer = state.gateways[1 - g];
        if (!self.pulled && peer.replica.position() > self.replica.position()) {
            auto next = state;
            next.gateways[g].pulled = peer.replica.toSnapshot();
            explore(next);
        }
        if (self.pulled) {
            auto next = state;
            auto &own = next.gateways[g];
            const auto copy = *std::exchange(own.pulled, std::nullopt);
            own.era.onReported(copy.position.era, {});
            if (!own.era.hasEnded(copy.position.era)) {
                static_cast<void>(own.replica.replace(copy));
            }
            explore(next);
        }
    }
    static void send(Gateway &own)
    {
        own.call.isSent = true;
        const auto &position = own.replica.position();
        own.call.from = own.era.hasEnded(position.era) ? StorePosition(own.era.value(), 0) : position;
    }
    static void answer(const ModelStore &store, Gateway &own)
    {
        own.call.isAnswered = true;
        own.call.answer = own.call.from.isEmpty() ? store.range("op/", "", 9) : store.watch("op/", own.call.from.revision);
    }
    static void receive(Gateway &own)
    {
        const auto call = std::exchange(own.call, Call());
        own.era.onReported(call.answer.era, {});
        if (own.era.hasEnded(call.answer.era)) {
            return;
        }
        if (call.from.isEmpty()) {
            static_cast<void>(own.replica.replace({call.answer.items, call.answer.position}));
        } else if (call.from.era == call.answer.era && !call.answer.isCompacted) {
            static_cast<void>(own.replica.merge(call.answer.items, call.answer.position));
        }
    }

    void check(const State &state)
    {
        for (std::size_t g = 0; g < state.gateways.size(); ++g) {
            const auto &replica = state.gateways[g].replica;
            if (replica.position().isEmpty()) {
                continue;
            }
            const auto wanted = state.store.itemsAt(replica.position(), "op/");
            const bool isEqual = std::equal(wanted.begin(), wanted.end(), replica.items().begin(), replica.items().end(), [](const auto &a, const auto &b) {
                return a.second.value == b.second.value && a.second.position == b.second.position;
            });
            if (!isEqual) {
                errors_.insert("a copy differs from the history of its position: " + keyOf(state));
            }
            // Whatever is on its way: the answers to this call and to two more bring the copy up to the store.
            auto later = state;
            for (int i = 0; i < 3; ++i) {
                auto &own = later.gateways[g];
                if (!own.call.isSent) {
                    send(own);
                }
                if (!own.call.isAnswered) {
                    answer(later.store, own);
                }
                receive(own);
            }
            if (later.gateways[g].replica.position() != later.store.position()) {
                errors_.insert("a copy does not follow the store: " + keyOf(state));
            }
        }
    }

    std::set<std::string> seen_;
    std::set<std::string> errors_;
};

} // namespace

// Guards against an order of events that random plays do not meet.
TEST_CASE("restored store: with one document, two gateways, three writes and a restore, every order of events keeps each copy equal to a history of the store",
          "[gateway][era][model]")
{
    Exploration exploration;
    exploration.explore({});
    CAPTURE(exploration.states());
    const auto firstError = exploration.errors().empty() ? std::string() : *exploration.errors().begin();
    CHECK(firstError.empty());
    CHECK(exploration.states() > 1000);
}
