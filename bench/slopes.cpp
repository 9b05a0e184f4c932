// Measures memory, processor time and message bytes at several sizes and fits a line to each; docs/CAPACITY.md uses the slopes.

#include <cyclamenspool/agent/core/agentcore.h>
#include <cyclamenspool/config/documentstore.h>
#include <cyclamenspool/core/uuid.h>
#include <cyclamenspool/member/fleetview.h>
#include <cyclamenspool/policy/chatdirectory.h>
#include <cyclamenspool/policy/idempotencyregister.h>
#include <cyclamenspool/policy/rendezvous.h>
#include <cyclamenspool/router/core/routercore.h>

#include <malloc.h>

#include <chrono>
#include <cmath>
#include <functional>
#include <iomanip>
#include <iostream>
#include <numeric>
#include <vector>

namespace cyclamenspool::bench {

/** @brief Measured value at one size. */
struct Point {
    double size;
    double value;
};

/** @brief Line fitted by least squares. */
struct Fit {
    double slope = 0.0;
    double intercept = 0.0;
    double r2 = 0.0; /**< Coefficient of determination. */
};

Fit fit(const std::vector<Point> &points)
{
    const auto count = static_cast<double>(points.size());
    double sumX = 0;
    double sumY = 0;
    double sumXX = 0;
    double sumXY = 0;
    double sumYY = 0;
    for (const auto &point : points) {
        sumX += point.size;
        sumY += point.value;
        sumXX += point.size * point.size;
        sumXY += point.size * point.value;
        sumYY += point.value * point.value;
    }
    Fit result;
    result.slope = (count * sumXY - sumX * sumY) / (count * sumXX - sumX * sumX);
    result.intercept = (sumY - result.slope * sumX) / count;
    const double covariance = count * sumXY - sumX * sumY;
    const double varianceProduct = (count * sumXX - sumX * sumX) * (count * sumYY - sumY * sumY);
    result.r2 = varianceProduct > 0 ? covariance * covariance / varianceProduct : 1.0;
    return result;
}

/** @brief Returns the bytes that are allocated on the heap. */
double heapBytes()
{
    const auto info = mallinfo2();
    return static_cast<double>(info.uordblks + info.hblkhd);
}

/** @brief Measures the heap memory of an object. @param make Creates and returns the object. @return Bytes. */
template<typename Make>
double bytesOf(const Make &make)
{
    const double before = heapBytes();
    const auto object = make();
    return heapBytes() - before;
}

/** @brief Measures processor time. @param repeats Number of calls. @param work Function called with the index of the call. @return Microseconds per call. */
double microsecondsOf(int repeats, const std::function<void(int)> &work)
{
    const auto start = std::clock();
    for (int i = 0; i < repeats; ++i) {
        work(i);
    }
    return static_cast<double>(std::clock() - start) / CLOCKS_PER_SEC * 1e6 / repeats;
}

core::Now timeAt(long timeMs)
{
    const core::Milliseconds base(3600000);
    return {core::MonotonicTime(base + core::Milliseconds(timeMs)), core::WallTime(base + core::Milliseconds(timeMs))};
}

/** @brief Returns a table as YAML. @param firstRate Requests per second of the first workspace; the delta measurements change only this row. */
std::string tableText(int workspaces, int firstRate = 10)
{
    std::string text = "workspaces:\n";
    for (int i = 0; i < workspaces; ++i) {
        const int rate = i == 0 ? firstRate : 10;
        text += "  - {name: workspace-" + std::to_string(i) + ", weight: 2, requests_per_second: " + std::to_string(rate) + ", pools: [notes]}\n";
    }
    text += "pools:\n  - {name: notes, kind: model, model: lamp}\ngroups:\n  - {name: engines, pool: notes}\n";
    return text;
}

std::string vmsText(int agents, int routers)
{
    std::string text = "vms:\n";
    for (int i = 0; i < agents; ++i) {
        const auto number = std::to_string(i);
        text += "  - {name: vm-engine-" + number + ", zone: region-1-az-" + std::to_string(i % 11) + ", address: '10.0.0.1:" + std::to_string(1000 + i % 60000)
            + "', role: agent, group: engines, server: engine-" + number + "}\n";
    }
    for (int i = 0; i < routers; ++i) {
        text += "  - {name: vm-router-" + std::to_string(i) + ", zone: region-1-az-" + std::to_string(i % 11) + ", address: '10.0.1.1:9000', role: router}\n";
    }
    return text;
}

std::shared_ptr<const config::Table> makeTable(int workspaces, int agents)
{
    auto table = std::make_shared<config::Table>();
    table->apply(config::parseRows(tableText(workspaces, 0), "table"));
    table->apply(config::parseRows(vmsText(agents, 10), "vms"));
    return table;
}

/** @brief Quantity that is measured at several sizes. */
struct Quantity {
    const char *name;
    const char *unit; /**< Unit of the slope. */
    std::vector<int> sizes;
    std::function<double(int)> measure; /**< Returns the value at a size. */
};

double configurationRowBytes(int workspaces)
{
    return bytesOf([workspaces] {
        auto store = std::make_unique<config::DocumentStore>(std::vector<std::string>{"table"});
        std::string errors;
        store->offer("table", 1, tableText(workspaces), errors);
        return store;
    });
}

double listedVmBytes(int vms)
{
    return bytesOf([vms] {
        auto store = std::make_unique<config::DocumentStore>(std::vector<std::string>{"table"});
        std::string errors;
        store->offer("table", 1, tableText(1), errors);
        store->offer("vms", 1, vmsText(vms, 0), errors);
        return store;
    });
}

double viewMemberBytes(int members)
{
    const auto table = makeTable(1, members);
    return bytesOf([&table] {
        return std::make_unique<member::FleetView>(table, 1);
    });
}

double chatEntryBytes(int chats)
{
    return bytesOf([chats] {
        auto directory = std::make_unique<policy::ChatDirectory>(static_cast<std::size_t>(chats));
        for (int i = 0; i < chats; ++i) {
            directory->put("0190a1b2-c3d4-7e5f-8a9b-" + std::to_string(100000000000 + i), {"", 100, {}});
        }
        return directory;
    });
}

double idempotencyRecordBytes(int keys)
{
    return bytesOf([keys] {
        const policy::IdempotencyBounds bounds{core::Milliseconds(600000), core::Milliseconds(500)};
        auto records = std::make_unique<policy::IdempotencyRegister>(bounds, timeAt(0).wall);
        for (int i = 0; i < keys; ++i) {
            records->admit("desk/0190a1b2-c3d4-7e5f-8a9b-" + std::to_string(100000000000 + i), timeAt(1000).wall, 1, false, timeAt(1000).wall);
        }
        return records;
    });
}

double openRequestBytes(int requests)
{
    router::RouterCore core("router", {}, 1);
    static_cast<void>(core.onView(std::make_shared<member::FleetView>(makeTable(1, 100), 1), timeAt(0)));
    const double before = heapBytes();
    for (int i = 0; i < requests; ++i) {
        router::CallerRequest request;
        request.id = "0190a1b2-c3d4-7e5f-8a9b-" + std::to_string(100000000000 + i);
        request.workspace = "workspace-0";
        request.pool = "notes";
        request.chat = "chat-" + std::to_string(i);
        request.body = std::string(2000, 'x');
        static_cast<void>(core.onRequest(std::move(request), timeAt(0)));
    }
    return heapBytes() - before;
}

double deltaBytes(int workspaces)
{
    config::DocumentStore store({"table"});
    std::string errors;
    store.offer("table", 1, tableText(workspaces), errors);
    const auto before = store.states();
    store.offer("table", 2, tableText(workspaces, 11), errors);
    return static_cast<double>(store.deltasFor(before).at(0).ByteSizeLong());
}

double applyDeltaMicroseconds(int workspaces)
{
    config::DocumentStore source({"table"});
    config::DocumentStore follower({"table"});
    std::string errors;
    source.offer("table", 1, tableText(workspaces), errors);
    follower.offer(source.deltasFor(follower.states()).at(0));
    std::vector<wire::DocumentDelta> deltas;
    constexpr int changes = 20;
    for (int i = 0; i < changes; ++i) {
        const auto before = source.states();
        source.offer("table", static_cast<std::uint64_t>(i + 2), tableText(workspaces, i + 20), errors);
        deltas.push_back(source.deltasFor(before).at(0));
    }
    return microsecondsOf(changes, [&](int i) {
        follower.offer(deltas[static_cast<std::size_t>(i)]);
    });
}

double readDocumentMicroseconds(int workspaces)
{
    config::DocumentStore store({"table"});
    std::string errors;
    const auto text = tableText(workspaces);
    return microsecondsOf(3, [&](int i) {
        store.offer("table", static_cast<std::uint64_t>(i + 1), text, errors);
    });
}

double buildViewMicroseconds(int members)
{
    const auto table = makeTable(1, members);
    return microsecondsOf(20, [&](int) {
        const member::FleetView view(table, 1);
    });
}

double rankMembersMicroseconds(int members)
{
    const member::FleetView view(makeTable(1, members), 1);
    return microsecondsOf(500, [&](int i) {
        static_cast<void>(policy::rankByRendezvous("chat-" + std::to_string(i), view.members("notes"), 4));
    });
}

double routeRequestMicroseconds(int members)
{
    router::RouterLimits limits;
    limits.maxOpenRequests = 100000;
    router::RouterCore core("router", limits, 1);
    static_cast<void>(core.onView(std::make_shared<member::FleetView>(makeTable(1, members), 1), timeAt(0)));
    return microsecondsOf(2000, [&](int i) {
        router::CallerRequest request;
        request.id = "request-" + std::to_string(i);
        request.workspace = "workspace-0";
        request.pool = "notes";
        request.chat = "chat-" + std::to_string(i);
        static_cast<void>(core.onRequest(std::move(request), timeAt(0)));
    });
}

double exchangeBytes(int rounds)
{
    auto a = member::makePairwiseEstimator({});
    auto b = member::makePairwiseEstimator({});
    a->setLoad(12345.5, 1, timeAt(0));
    double bytes = 0;
    for (int i = 0; i < rounds; ++i) {
        auto request = a->startExchange(timeAt(i * 250));
        request.set_pool("notes");
        request.set_backend_server("engine-1234");
        auto reply = b->answer(request, timeAt(i * 250));
        reply.set_pool("notes");
        reply.set_backend_server("engine-4321");
        bytes += static_cast<double>(request.ByteSizeLong() + reply.ByteSizeLong());
        a->finishExchange(reply, timeAt(i * 250));
    }
    return bytes;
}

double exchangeMicroseconds(int rounds)
{
    auto a = member::makePairwiseEstimator({});
    auto b = member::makePairwiseEstimator({});
    a->setLoad(1, 1, timeAt(0));
    return rounds * microsecondsOf(rounds, [&](int i) {
               wire::Exchange request;
               request.ParseFromString(a->startExchange(timeAt(i)).SerializeAsString());
               wire::Exchange reply;
               reply.ParseFromString(b->answer(request, timeAt(i)).SerializeAsString());
               a->finishExchange(reply, timeAt(i));
           });
}

const std::vector<Quantity> &quantities()
{
    static const std::vector<Quantity> quantityList{
        {"memory of a configuration row (workspace)", "B", {500, 1000, 2000, 4900}, configurationRowBytes},
        {"memory of a listed VM", "B", {500, 2000, 4000, 8120}, listedVmBytes},
        {"memory of a pool member in a view", "B", {500, 2000, 4000, 8120}, viewMemberBytes},
        {"memory of a remembered chat", "B", {500, 1000, 4000, 16000}, chatEntryBytes},
        {"memory of an idempotency record", "B", {500, 1000, 4000, 16000}, idempotencyRecordBytes},
        {"memory of an open request in the router's core, 2000 B body", "B", {250, 500, 1000, 2000}, openRequestBytes},
        {"bytes of a delta with one changed row, by rows", "B", {500, 1000, 2000, 4900}, deltaBytes},
        {"time to apply a delta, by rows", "us", {500, 1000, 2000, 4900}, applyDeltaMicroseconds},
        {"time to read a whole value, by rows", "us", {500, 1000, 2000, 4900}, readDocumentMicroseconds},
        {"time to build a view, by members", "us", {500, 2000, 4000, 8120}, buildViewMicroseconds},
        {"time to rank a chat's homes, by members", "us", {100, 500, 925, 1850}, rankMembersMicroseconds},
        {"time to route a request, by members", "us", {100, 500, 925, 1850}, routeRequestMicroseconds},
        {"bytes of load exchanges, by exchanges", "B", {100, 400, 1000}, exchangeBytes},
        {"time of load exchanges, by exchanges", "us", {1000, 4000, 10000}, exchangeMicroseconds},
    };
    return quantityList;
}

void report(const Quantity &quantity)
{
    std::vector<Point> points;
    for (const int size : quantity.sizes) {
        points.push_back({static_cast<double>(size), quantity.measure(size)});
    }
    const auto lineFit = fit(points);
    std::cout << quantity.name << "\n  ";
    for (const auto &point : points) {
        std::cout << std::fixed << std::setprecision(0) << point.size << ": " << std::setprecision(1) << point.value << "  ";
    }
    std::cout << std::setprecision(4) << "\n  slope " << lineFit.slope << ' ' << quantity.unit << ", intercept " << std::setprecision(1) << lineFit.intercept
              << ' ' << quantity.unit << ", R2 " << std::setprecision(4) << lineFit.r2 << '\n';
}

} // namespace cyclamenspool::bench

int main()
{
    for (const auto &quantity : cyclamenspool::bench::quantities()) {
        cyclamenspool::bench::report(quantity);
    }
    return 0;
}
