#include <cyclamenspool/cli/options.h>
#include <cyclamenspool/telemetry/trace.h>

#include <fstream>
#include <iomanip>
#include <iostream>
#include <memory>

namespace cyclamenspool::cli {

namespace internal {

constexpr int timeWidth = 8; /* characters */

int trace(const po::variables_map &values)
{
    std::vector<std::unique_ptr<std::ifstream>> files;
    std::vector<std::istream *> logs;
    for (const auto &name : values["log"].as<std::vector<std::string>>()) {
        files.push_back(std::make_unique<std::ifstream>(name));
        if (!*files.back()) {
            std::cerr << name << ": cannot open file\n";
            return ExitCode::NoInput;
        }
        logs.push_back(files.back().get());
    }
    const auto request = values["request"].as<std::string>();
    const auto found = telemetry::traceRequest(logs, request, std::chrono::milliseconds(values["around"].as<int>()));
    if (found.unreadableLines > 0) {
        std::cerr << found.unreadableLines << " lines without a JSON object were ignored\n";
    }
    if (found.requestLines == 0) {
        std::cerr << "request '" << request << "' is not in any of the logs\n";
        return ExitCode::DataError;
    }
    for (const auto &line : found.lines) {
        const auto elapsed = line.time - found.requestStart;
        std::cout << std::setw(timeWidth) << std::showpos << elapsed.count() << std::noshowpos << " ms  " << line.vm << "  " << line.event << "  "
                  << line.fields << '\n';
    }
    return ExitCode::Ok;
}

} // namespace internal

int runTrace(const Arguments &arguments)
{
    po::options_description options("options");
    auto add = options.add_options();
    add("log", po::value<std::vector<std::string>>()->required(), "log files of processes");
    add("request", po::value<std::string>()->required(), "id of the request to trace");
    add("around", po::value<int>()->default_value(3000), "milliseconds before and after the request in which related lines are included");
    po::positional_options_description positional;
    positional.add("log", -1);
    return runWithOptions("trace FILE... --request ID [--around MS]", options, positional, arguments, internal::trace);
}

} // namespace cyclamenspool::cli
