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

void explainMembers(const member::FleetView &view, const std::string &pool)
{
    std::cout << "members of pool '" << pool << "':\n";
    for (const auto &member : view.members(pool)) {
        std::cout << "  " << member.server << " on " << member.vm << " in " << member.zone << ", weight " << member.weight;
        std::cout << (member.accepting ? "" : ", leaving: takes no new work") << '\n';
    }
}

int explain(const po::variables_map &values)
{
    const auto view = readView(values["table"].as<std::string>(), values["vms"].as<std::string>());
    router::CallerRequest request;
    request.workspace = values["workspace"].as<std::string>();
    request.pool = values["pool"].as<std::string>();
    request.chat = values["chat"].as<std::string>();
    request.key = values["key"].as<std::string>();
    if (view.table().pools().count(request.pool) == 0) {
        std::cerr << "pool '" << request.pool << "' is not in the table\n";
        return ExitCode::DataError;
    }
    explainMembers(view, request.pool);
    core::RandomSource random(1);
    const auto placement = router::place(request, !request.key.empty(), view, random);
    std::cout << "rule: " << placement.reason << '\n';
    int order = 1;
    for (const auto &server : placement.candidates) {
        std::cout << "  " << order++ << ". " << server << '\n';
    }
    if (placement.candidates.empty()) {
        std::cout << "  no backend server takes this request now\n";
    }
    return ExitCode::Ok;
}

} // namespace internal

int runExplain(const Arguments &arguments)
{
    po::options_description options("options");
    auto add = options.add_options();
    add("table", po::value<std::string>()->required(), "table (YAML)");
    add("vms", po::value<std::string>()->required(), "list of VMs (YAML)");
    add("pool", po::value<std::string>()->required(), "pool");
    add("workspace", po::value<std::string>()->default_value(""), "workspace");
    add("chat", po::value<std::string>()->default_value(""), "chat");
    add("key", po::value<std::string>()->default_value(""), "idempotency key");
    return runWithOptions("explain --table FILE --vms FILE --pool POOL --chat ID", options, {}, arguments, internal::explain);
}

} // namespace cyclamenspool::cli
