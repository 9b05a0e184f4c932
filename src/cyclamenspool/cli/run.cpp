#include <cyclamenspool/agent/agentnode.h>
#include <cyclamenspool/cli/options.h>
#include <cyclamenspool/config/settings.h>
#include <cyclamenspool/node/node.h>
#include <cyclamenspool/router/routernode.h>

namespace cyclamenspool::cli {

namespace internal {

/** @brief Reads a settings file and, for an agent, checks that the keys it requires are set. @throws config::InvalidInput The settings are invalid. */
config::Settings readSettings(const std::string &file, bool isAgent)
{
    auto settings = config::Settings::parse(readFile(file), file);
    const bool isMissingAgentKeys = settings.server.empty() || settings.group.empty() || settings.backendAddress.empty();
    if (isAgent && isMissingAgentKeys) {
        throw config::InvalidInput({{file, 1, 1, "an agent requires 'server', 'group' and 'backend_address'"}});
    }
    return settings;
}

template<typename RoleNode>
int runRole(const std::string &usage, bool isAgent, const Arguments &arguments)
{
    po::options_description options("options");
    options.add_options()("settings", po::value<std::string>()->required(), "settings file (YAML)");
    return runWithOptions(usage, options, {}, arguments, [isAgent](const po::variables_map &values) {
        node::Node node(readSettings(values["settings"].as<std::string>(), isAgent));
        RoleNode role(node);
        return node.run(role);
    });
}

} // namespace internal

int runRouter(const Arguments &arguments)
{
    return internal::runRole<router::RouterNode>("router --settings FILE", false, arguments);
}

int runAgent(const Arguments &arguments)
{
    return internal::runRole<agent::AgentNode>("agent --settings FILE", true, arguments);
}

} // namespace cyclamenspool::cli
