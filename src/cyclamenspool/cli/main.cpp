#include <cyclamenspool/cli/command.h>

#include <array>
#include <iostream>

namespace cyclamenspool::cli {

namespace internal {

constexpr std::array<Command, 7> commands{{
    {"router", "run on an entry VM: takes callers' requests", runRouter},
    {"agent", "run beside a backend server: admits requests", runAgent},
    {"gateway", "run on an entry VM of the users' platform: sends requests straight to backend servers", runGateway},
    {"check", "check a settings file or a table", runCheck},
    {"explain", "explain where a chat or a key is placed", runExplain},
    {"trace", "print one request's story from logs", runTrace},
    {"status", "show the state of a process", runStatus},
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

/** @brief Runs the subcommand named by the first word. @param arguments Words of the command line. @return Exit code. */
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
