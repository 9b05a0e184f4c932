#include <cyclamenspool/cli/options.h>
#include <cyclamenspool/config/gatewaysettings.h>
#include <cyclamenspool/gateway/gatewaynode.h>
#include <cyclamenspool/platform/headers.h>

#include <cstdlib>

namespace cyclamenspool::cli {

int runGateway(const Arguments &arguments)
{
    const char *defaultFile = std::getenv(platform::settingsFileVariable);
    auto *file = po::value<std::string>()->required();
    if (defaultFile != nullptr) {
        file->default_value(defaultFile);
    }
    po::options_description options("options");
    options.add_options()("settings", file, "settings file (YAML)");
    return runWithOptions("gateway --settings FILE", options, {}, arguments, [](const po::variables_map &values) {
        const auto &name = values["settings"].as<std::string>();
        gateway::GatewayNode node([name] {
            return config::GatewaySettings::parse(readFile(name), name);
        });
        return node.run();
    });
}

} // namespace cyclamenspool::cli
