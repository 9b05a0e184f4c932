#include <cyclamenspool/cli/command.h>

#include <array>
#include <iostream>

namespace cyclamenspool::cli {

namespace internal {

constexpr std::array<Command, 7> commands{{
    {"router", "run on an entry VM: routes callers' requests to agents", runRouter},
    {"agent", "run next to a backend server: admits requests to it", runAgent},
    {"gateway", "run on an entry VM of the platform: sends callers' requests directly to backend servers", runGateway},
    {"check", "validate a settings file or a table", runCheck},
    {"explain", "explain which backend servers a chat or idempotency key is placed on", runExplain},
    {"trace", "print the log lines related to one request", runTrace},
    {"status", "print the status of a running process", runStatus},
}};

void printHelp(std::ostream &out)
{
    out << "usage: cyclamenspool SUBCOMMAND [options]\n\n";
    for (const auto &command : commands) {
        out << "  " << command.name << ": " << command.summary << '\n';
    }
    out << "\nSUBCOMMAND --help lists its options.\n";
}

} // namespace internal

/** @brief Runs the subcommand that the first command-line argument names. @return Exit code. */
int dispatch(const Arguments &arguments)
{
    if (arguments.empty()) {
        internal::printHelp(std::cerr);
        return ExitCode::Usage;
    }
    const auto &name = arguments.front();
    if (name == "--help") {
        internal::printHelp(std::cout);
        return ExitCode::Ok;
    }
    if (name == "--version") {
        std::cout << "cyclamenspool " << CYCLAMENSPOOL_VERSION << '\n';
        return ExitCode::Ok;
    }
    for (const auto &command : internal::commands) {
        if (name == command.name) {
            return command.run(Arguments(arguments.begin() + 1, arguments.end()));
        }
    }
    std::cerr << "unknown subcommand '" << name << "'\n";
    internal::printHelp(std::cerr);
    return ExitCode::Usage;
}

} // namespace cyclamenspool::cli

int main(int argc, char **argv)
{
    return cyclamenspool::cli::dispatch(cyclamenspool::cli::Arguments(argv + 1, argv + argc));
}
