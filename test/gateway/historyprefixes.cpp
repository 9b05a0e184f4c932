#include <catch2/catch.hpp>

#include <cyclamenspool/gateway/dispatcher.h>
#include <cyclamenspool/gateway/historyprefixes.h>

#include <map>
#include <set>
#include <string>
#include <vector>

using namespace cyclamenspool;
using namespace std::chrono_literals;
using gateway::HistoryDirectory;

namespace {

constexpr int serverCount = 12;

/** @brief A gateway's dispatcher with one route to twelve backend servers, whose addresses are their ids. */
struct Desk {
    Desk()
    {
        world::Route route;
        route.name = "r";
        route.host = "desk.example";
        route.prefix = "/";
        route.services = {{"pool", 1.0}};
        route.usesPromptCache = true;
        route.anonymous = true;
        world::RoutingConfig routing;
        routing.version = 1;
        routing.routes.push_back(route);
        dispatcher.onRouting(std::move(routing));
        dispatcher.withFleet([](gateway::Fleet &fleet, core::MonotonicTime now) {
            for (int i = 0; i < serverCount; ++i) {
                world::BackendServer server;
                server.id = "s" + std::to_string(i);
                server.address = server.id;
                server.service = "pool";
                fleet.onServerListed(server, now);
            }
        });
    }

    /** @brief Sends one request that ends at once. @return Chosen server and the source of its history. */
    std::pair<std::string, std::string> send(const std::vector<platform::PromptPart> &parts)
    {
        platform::RequestHead head;
        head.host = "desk.example";
        head.parts = parts;
        const auto placement = dispatcher.place(dispatcher.admit(head, "/x"), {}, 1s);
        return {placement.inFlight->server().id, placement.historySource};
    }

    gateway::Dispatcher dispatcher{config::GatewaySettings()};
};

} // namespace

TEST_CASE("growing chats: each turn goes to the backend server of the turn before", "[gateway][history]")
{
    Desk desk;
    for (std::uint64_t chat = 1; chat <= 20; ++chat) {
        std::vector<platform::PromptPart> parts{{1, 300}, {chat * 1000, 2000}, {chat * 1000 + 1, 50}};
        const auto first = desk.send(parts).first;
        for (std::uint64_t turn = 2; turn <= 12; ++turn) {
            parts.push_back({chat * 1000 + turn, 200});
            CHECK(desk.send(parts).first == first);
        }
    }
}

TEST_CASE("new documents behind one shared part: a server without that part fetches it from one that has it", "[gateway][history]")
{
    Desk desk;
    std::set<std::string> holders;
    for (std::uint64_t document = 1; document <= 200; ++document) {
        const auto [server, source] = desk.send({{1, 300}, {document * 1000, 2000}, {document * 1000 + 1, 50}});
        const bool isNeeded = !holders.empty() && holders.count(server) == 0;
        CHECK((!isNeeded || holders.count(source) == 1));
        holders.insert(server);
    }
}

TEST_CASE("new documents behind one large shared part are spread over all backend servers", "[gateway][history]")
{
    Desk desk;
    std::map<std::string, int> documents;
    for (std::uint64_t document = 1; document <= 240; ++document) {
        ++documents[desk.send({{1, 9000}, {document * 1000, 500}, {document * 1000 + 1, 50}}).first];
    }
    CHECK(documents.size() == serverCount);
    for (const auto &[server, count] : documents) {
        CHECK(count <= 3 * 240 / serverCount);
    }
}

TEST_CASE("the holders of the longest known prefix are found, and most of a history counts as the whole", "[gateway][history]")
{
    const core::MonotonicTime now = core::MonotonicTime() + 1h;
    HistoryDirectory directory(100);
    const auto prefixes = gateway::historyPrefixesOf({{1, 300}, {2, 2000}, {3, 200}, {4, 50}});
    REQUIRE(prefixes.size() == 3);
    CHECK(prefixes[0].tokens == 300);
    CHECK(prefixes[2].tokens == 2500);
    CHECK(gateway::findHistoryHolders(directory, prefixes, now).whole.empty());
    directory.add({prefixes[0].key, "a"}, now);
    CHECK(gateway::findHistoryHolders(directory, prefixes, now).whole.empty());
    CHECK(gateway::findHistoryHolders(directory, prefixes, now).beginning == std::vector<std::string>{"a"});
    directory.add({prefixes[1].key, "b"}, now);
    CHECK(gateway::findHistoryHolders(directory, prefixes, now).whole == std::vector<std::string>{"b"});
    CHECK(gateway::findHistoryHolders(directory, prefixes, now).beginning.empty());
}

TEST_CASE("the prefixes of a prompt of many parts are its longest ones, and end with the part before the last", "[gateway][history]")
{
    std::vector<platform::PromptPart> parts;
    for (std::uint64_t i = 1; i <= 40; ++i) {
        parts.push_back({i, 10});
    }
    const auto prefixes = gateway::historyPrefixesOf(parts);
    REQUIRE(prefixes.size() == 8);
    CHECK(prefixes.front().tokens == 320);
    CHECK(prefixes.back().tokens == 390);
    CHECK(gateway::historyPrefixesOf({}).empty());
    CHECK(gateway::historyPrefixesOf({{1, 500}}).back().tokens == 0);
}
