#include <cyclamenspool/cli/options.h>
#include <cyclamenspool/config/document.h>
#include <cyclamenspool/member/fleetview.h>
#include <cyclamenspool/router/core/placement.h>

#include <iostream>

namespace cyclamenspool::cli {

namespace internal {

member::FleetView readView(const std::string &tableFile, const std::string &vmsFile)
{
    auto table = std::make_shared<config::Table>();
    table->apply(config::parseRows(readFile(tableFile), tableFile));
    table->checkReferences(tableFile);
    table->apply(config::parseRows(readFile(vmsFile), vmsFile));
    return {table, 1};
}

void printMembers(const member::FleetView &view, const std::string &pool)
{
    std::cout << "members of pool '" << pool << "':\n";
    for (const auto &member : view.members(pool)) {
        std::cout << "  " << member.server << " on " << member.vm << " in " << member.zone << ", weight " << member.weight;
        std::cout << (member.accepting ? "" : ", leaving: accepts no new requests") << '\n';
    }
}

int explain(const po::variables_map &values)
{
    const auto view = readView(values["table"].as<std::string>(), values["vms"].as<std::string>());
    router::CallerRequest request;
    request.workspace = values["workspace"].as<std::string>();
    request.pool = values["pool"].as<std::string>();
    request.chat = values["chat"].as<std::string>();
    request.idempotencyKey = values["key"].as<std::string>();
    if (view.table().pools().count(request.pool) == 0) {
        std::cerr << "pool '" << request.pool << "' is not in the table\n";
        return ExitCode::DataError;
    }
    printMembers(view, request.pool);
    core::RandomSource random(1);
    const auto placement = router::choosePlacement(request, !request.idempotencyKey.empty(), view, random);
    std::cout << "rule: " << placement.reason << '\n';
    int rank = 1;
    for (const auto &server : placement.candidates) {
        std::cout << "  " << rank++ << ". " << server << '\n';
    }
    if (placement.candidates.empty()) {
        std::cout << "  no backend server accepts this request now\n";
    }
    return ExitCode::Ok;
}

} // namespace internal

int runExplain(const Arguments &arguments)
{
    po::options_description options("options");
    auto add = options.add_options();
    add("table", po::value<std::string>()->required(), "table (YAML)");
    add("vms", po::value<std::string>()->required(), "VM list (YAML)");
    add("pool", po::value<std::string>()->required(), "name of the pool");
    add("workspace", po::value<std::string>()->default_value(""), "name of the workspace");
    add("chat", po::value<std::string>()->default_value(""), "id of the chat");
    add("key", po::value<std::string>()->default_value(""), "idempotency key");
    return runWithOptions("explain --table FILE --vms FILE --pool POOL --chat ID", options, {}, arguments, internal::explain);
}

} // namespace cyclamenspool::cli
