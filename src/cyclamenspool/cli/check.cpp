#include <cyclamenspool/cli/options.h>
#include <cyclamenspool/config/document.h>
#include <cyclamenspool/config/gatewaysettings.h>
#include <cyclamenspool/config/settings.h>
#include <cyclamenspool/config/table.h>

#include <iostream>

namespace cyclamenspool::cli {

namespace internal {

void checkTable(const std::string &file)
{
    config::Table table;
    table.apply(config::parseRows(readFile(file), file));
    table.checkReferences(file);
}

int checkFile(const std::string &kind, const std::string &file)
{
    try {
        if (kind == "settings") {
            static_cast<void>(config::Settings::parse(readFile(file), file));
        } else if (kind == "gateway") {
            static_cast<void>(config::GatewaySettings::parse(readFile(file), file));
        } else if (kind == "table") {
            checkTable(file);
        } else {
            std::cerr << "the first argument of check must be 'settings', 'gateway' or 'table', not '" << kind << "'\n";
            return ExitCode::Usage;
        }
    } catch (const config::InvalidInput &error) {
        std::cerr << error.what();
        return ExitCode::Invalid;
    }
    std::cout << file << ": no errors\n";
    return ExitCode::Ok;
}

} // namespace internal

int runCheck(const Arguments &arguments)
{
    po::options_description options("options");
    options.add_options()("kind", po::value<std::string>()->required(), "kind of file: settings, gateway or table")(
        "file", po::value<std::string>()->required(), "file to check (YAML)");
    po::positional_options_description positional;
    positional.add("kind", 1).add("file", 1);
    return runWithOptions("check settings|gateway|table FILE", options, positional, arguments, [](const po::variables_map &values) {
        return internal::checkFile(values["kind"].as<std::string>(), values["file"].as<std::string>());
    });
}

} // namespace cyclamenspool::cli
