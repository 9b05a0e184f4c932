#include <catch2/catch.hpp>

#include <cyclamenspool/core/uuid.h>

#include <fault/matrixfleet.h>

#include <map>
#include <set>

using namespace cyclamenspool;
using core::Milliseconds;
using core::RunState;
using fault::MatrixFleet;
using fault::RequestMode;

namespace {

/** @brief A random history of requests and faults on a fleet. */
class History
{
public:
    explicit History(std::uint64_t seed)
        : random_(seed)
    {
        matrix_.ledger->partTime = Milliseconds(100);
    }

    void play(int steps)
    {
        for (int i = 0; i < steps; ++i) {
            act();
            fleet().run(Milliseconds(static_cast<long>(random_.index(400))));
        }
        heal();
        fleet().run(Milliseconds(90000));
    }

    void judge()
    {
        for (const auto &[key, count] : matrix_.ledger->runsByKey) {
            INFO("key " << key);
            CHECK(count <= 1);
        }
        for (const auto &[id, request] : asked_) {
            const auto &answer = fleet().answer(id);
            const auto runs = matrix_.ledger->runsByRequest.count(id) > 0 ? matrix_.ledger->runsByRequest.at(id) : 0;
            INFO("request " << id);
            CHECK(answer.final);
            CHECK(answer.finals <= 1);
            CHECK_FALSE((answer.finals == 1 && !answer.whole && answer.runState == RunState::NotRun && runs > 0));
            if (answer.whole && !isRouterKeyed(request)) {
                wire::Submit shape;
                shape.set_request_id(id);
                shape.set_key(request.key);
                CHECK(answer.body == fault::expectedAnswer(shape));
            }
        }
    }

private:
    static bool isRouterKeyed(const router::CallerRequest &request)
    {
        return request.pool == "bookings" && request.key.empty();
    }

    fake::FakeFleet &fleet()
    {
        return *matrix_.fleet;
    }

    std::string victim()
    {
        const std::vector<std::string> all{
            "router-0", "router-1", "vm-booking-0", "vm-booking-1", "vm-booking-2", "vm-engine-0", "booking-0", "booking-1", "engine-0"};
        return all[random_.index(all.size())];
    }

    void act()
    {
        const auto draw = random_.unit();
        if (draw < 0.6) {
            ask();
        } else if (draw < 0.68) {
            strike(&fake::FakeFleet::kill, &fake::FakeFleet::restart);
        } else if (draw < 0.78) {
            strike(&fake::FakeFleet::freeze, &fake::FakeFleet::wake);
        } else if (draw < 0.84) {
            fleet().reset("router-" + std::to_string(random_.index(2)), "vm-booking-" + std::to_string(random_.index(3)));
        } else if (draw < 0.94) {
            publish();
        } else {
            heal();
        }
    }

    void ask()
    {
        const auto id = "r" + std::to_string(asked_.size());
        const RequestMode modes[] = {RequestMode::Chat, RequestMode::CallerKey, RequestMode::CallerKey, RequestMode::RouterKey};
        const auto mode = modes[random_.index(4)];
        const bool repeats = !keys_.empty() && random_.unit() < 0.6;
        if (mode == RequestMode::CallerKey && !repeats) {
            keys_.push_back(core::makeUuid7(fleet().queue().now().wall, random_));
        }
        const auto key = keys_.empty() ? "" : repeats ? keys_[random_.index(keys_.size())] : keys_.back();
        auto request = fault::makeRequest(mode, id, key);
        request.deadline = Milliseconds(5000 + static_cast<long>(random_.index(15000)));
        fleet().ask("router-" + std::to_string(random_.index(2)), request);
        asked_[id] = request;
    }

    void strike(void (fake::FakeFleet::*begin)(const std::string &), void (fake::FakeFleet::*end)(const std::string &))
    {
        const auto name = victim();
        if (struck_.count(name) > 0) {
            return;
        }
        const auto strike = ++strikes_;
        struck_[name] = strike;
        (fleet().*begin)(name);
        const Milliseconds length(500 + static_cast<long>(random_.index(12000)));
        fleet().queue().add(length, {"end", "network", [this, name, end, strike] {
                                         const auto found = struck_.find(name);
                                         if (found != struck_.end() && found->second == strike) {
                                             struck_.erase(found);
                                             (fleet().*end)(name);
                                         }
                                     }});
        ends_[name] = end;
    }

    void publish()
    {
        fault::TableParts parts;
        const auto out = random_.index(5);
        if (out < 3) {
            parts.leaving = "  - {name: booking-" + std::to_string(out) + ", kind: server}\n";
        }
        std::set<std::string> informed;
        for (const std::string vm : {"router-0", "router-1", "vm-engine-0", "vm-engine-1", "vm-engine-2", "vm-booking-0", "vm-booking-1", "vm-booking-2"}) {
            if (random_.unit() < 0.8) {
                informed.insert(vm);
            }
        }
        informed.insert("vm-engine-2");
        fleet().publish(fault::matrixTable(parts), "", informed);
    }

    void heal()
    {
        const auto struck = struck_;
        for (const auto &[name, strike] : struck) {
            struck_.erase(name);
            (fleet().*ends_.at(name))(name);
        }
        fleet().publish(fault::matrixTable({}), "");
    }

    core::RandomSource random_;
    MatrixFleet matrix_;
    std::map<std::string, router::CallerRequest> asked_;
    std::vector<std::string> keys_;
    std::map<std::string, int> struck_; /* process to the number of its strike */
    int strikes_ = 0;
    std::map<std::string, void (fake::FakeFleet::*)(const std::string &)> ends_;
};

} // namespace

TEST_CASE("random histories keep the invariants", "[histories]")
{
    const auto seed = static_cast<std::uint64_t>(GENERATE(112, range(1, 41)));
    CAPTURE(seed);
    History history(seed);
    history.play(150);
    history.judge();
}
