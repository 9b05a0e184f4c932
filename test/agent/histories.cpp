#include <catch2/catch.hpp>

#include <cyclamenspool/core/uuid.h>

#include <fault/matrixfleet.h>

#include <map>
#include <set>

using namespace cyclamenspool;
using core::Milliseconds;
using core::RunState;
using fault::MatrixFleet;
using fault::RequestKind;

namespace {

/** @brief Sends random requests to a fleet, injects random faults and publishes random tables, then checks the invariants. */
class RandomHistory
{
public:
    explicit RandomHistory(std::uint64_t seed)
        : random_(seed)
    {
        matrix_.runRecord->partDelay = Milliseconds(100);
    }

    void run(int steps)
    {
        for (int i = 0; i < steps; ++i) {
            step();
            fleet().run(Milliseconds(static_cast<long>(random_.index(400))));
        }
        endAllFaults();
        fleet().run(Milliseconds(90000));
    }

    void checkInvariants()
    {
        for (const auto &[key, count] : matrix_.runRecord->runsByKey) {
            INFO("key " << key);
            CHECK(count <= 1);
        }
        for (const auto &[id, request] : requests_) {
            const auto &answer = fleet().responseTo(id);
            const auto runCount = matrix_.runRecord->runsByRequest.count(id) > 0 ? matrix_.runRecord->runsByRequest.at(id) : 0;
            INFO("request " << id);
            CHECK(answer.final);
            CHECK(answer.finalCount <= 1);
            CHECK_FALSE((answer.finalCount == 1 && !answer.isComplete && answer.runState == RunState::NotRun && runCount > 0));
            if (answer.isComplete && !isRouterKeyed(request)) {
                wire::Submit sent;
                sent.set_request_id(id);
                sent.set_key(request.idempotencyKey);
                CHECK(answer.body == fault::expectedResponse(sent));
            }
        }
    }

private:
    static bool isRouterKeyed(const router::CallerRequest &request)
    {
        return request.pool == "bookings" && request.idempotencyKey.empty();
    }

    fake::FakeFleet &fleet()
    {
        return *matrix_.fleet;
    }

    std::string pickProcess()
    {
        const std::vector<std::string> all{
            "router-0", "router-1", "vm-booking-0", "vm-booking-1", "vm-booking-2", "vm-engine-0", "booking-0", "booking-1", "engine-0"};
        return all[random_.index(all.size())];
    }

    void step()
    {
        const auto draw = random_.uniform();
        if (draw < 0.6) {
            sendRequest();
        } else if (draw < 0.68) {
            injectFault(&fake::FakeFleet::kill, &fake::FakeFleet::restart);
        } else if (draw < 0.78) {
            injectFault(&fake::FakeFleet::freeze, &fake::FakeFleet::resume);
        } else if (draw < 0.84) {
            fleet().resetConnection("router-" + std::to_string(random_.index(2)), "vm-booking-" + std::to_string(random_.index(3)));
        } else if (draw < 0.94) {
            publishTable();
        } else {
            endAllFaults();
        }
    }

    void sendRequest()
    {
        const auto id = "r" + std::to_string(requests_.size());
        const RequestKind kinds[] = {RequestKind::Chat, RequestKind::CallerKey, RequestKind::CallerKey, RequestKind::RouterKey};
        const auto kind = kinds[random_.index(4)];
        const bool reusesKey = !keys_.empty() && random_.uniform() < 0.6;
        if (kind == RequestKind::CallerKey && !reusesKey) {
            keys_.push_back(core::makeUuid7(fleet().queue().now().wall, random_));
        }
        const auto key = keys_.empty() ? "" : reusesKey ? keys_[random_.index(keys_.size())] : keys_.back();
        auto request = fault::makeRequest(kind, id, key);
        request.timeout = Milliseconds(5000 + static_cast<long>(random_.index(15000)));
        fleet().sendRequest("router-" + std::to_string(random_.index(2)), request);
        requests_[id] = request;
    }

    void injectFault(void (fake::FakeFleet::*beginFault)(const std::string &), void (fake::FakeFleet::*endFault)(const std::string &))
    {
        const auto name = pickProcess();
        if (faults_.count(name) > 0) {
            return;
        }
        const auto faultNumber = ++faultCount_;
        faults_[name] = faultNumber;
        (fleet().*beginFault)(name);
        const Milliseconds duration(500 + static_cast<long>(random_.index(12000)));
        fleet().queue().add(duration, {"end", "network", [this, name, endFault, faultNumber] {
                                           const auto found = faults_.find(name);
                                           if (found != faults_.end() && found->second == faultNumber) {
                                               faults_.erase(found);
                                               (fleet().*endFault)(name);
                                           }
                                       }});
        endFaults_[name] = endFault;
    }

    void publishTable()
    {
        fault::TableParts parts;
        const auto leavingServer = random_.index(5);
        if (leavingServer < 3) {
            parts.leavingRows = "  - {name: booking-" + std::to_string(leavingServer) + ", kind: server}\n";
        }
        std::set<std::string> informed;
        for (const std::string vm : {"router-0", "router-1", "vm-engine-0", "vm-engine-1", "vm-engine-2", "vm-booking-0", "vm-booking-1", "vm-booking-2"}) {
            if (random_.uniform() < 0.8) {
                informed.insert(vm);
            }
        }
        informed.insert("vm-engine-2");
        fleet().publish(fault::matrixTable(parts), "", informed);
    }

    void endAllFaults()
    {
        const auto faults = faults_;
        for (const auto &[name, faultNumber] : faults) {
            faults_.erase(name);
            (fleet().*endFaults_.at(name))(name);
        }
        fleet().publish(fault::matrixTable({}), "");
    }

    core::RandomSource random_;
    MatrixFleet matrix_;
    std::map<std::string, router::CallerRequest> requests_;
    std::vector<std::string> keys_;
    std::map<std::string, int> faults_; /* number of the current fault by process */
    int faultCount_ = 0;
    std::map<std::string, void (fake::FakeFleet::*)(const std::string &)> endFaults_;
};

} // namespace

TEST_CASE("under random faults each key runs at most once and every request ends once with a correct run state", "[histories]")
{
    const auto seed = static_cast<std::uint64_t>(GENERATE(112, range(1, 41)));
    CAPTURE(seed);
    RandomHistory history(seed);
    history.run(150);
    history.checkInvariants();
}
