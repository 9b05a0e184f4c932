#pragma once

#include <string>
#include <vector>

namespace cyclamenspool::cli {

/** @brief Exit codes of the program. Invalid: the checked file has errors; those from 64 on have the values of sysexits.h. */
enum ExitCode : int { Ok = 0, Invalid = 1, Usage = 64, DataError = 65, NoInput = 66, Unavailable = 69, Software = 70 };

/** @brief Command-line arguments without the program name; a subcommand gets those after its own name. */
using Arguments = std::vector<std::string>;

/** @brief A subcommand of the program: its name, its line in the help text and its function, which returns the exit code. */
struct Command {
    const char *name;
    const char *summary;
    int (*run)(const Arguments &);
};

/** @brief Runs a router, which sends callers' requests to agents, until it is stopped by a signal. @return Exit code. */
int runRouter(const Arguments &arguments);

/** @brief Runs an agent, which admits requests to the backend server on its VM, until it is stopped by a signal. @return Exit code. */
int runAgent(const Arguments &arguments);

/** @brief Runs a gateway, which sends callers' requests directly to backend servers, until it is stopped by a signal. @return Exit code. */
int runGateway(const Arguments &arguments);

/** @brief Validates a settings file of a node or gateway, or the operators' table, and prints the errors. @return Exit code. */
int runCheck(const Arguments &arguments);

/** @brief Prints which backend servers a chat or idempotency key would be placed on, and by which rule. @return Exit code. */
int runExplain(const Arguments &arguments);

/** @brief Prints the log lines related to one request. @return Exit code. */
int runTrace(const Arguments &arguments);

/** @brief Prints the status that a running process reports. @return Exit code. */
int runStatus(const Arguments &arguments);

/**
 * @brief Reads a file.
 * @param name Path of the file.
 * @return Content.
 * @throws std::ios_base::failure The file cannot be opened.
 */
[[nodiscard]] std::string readFile(const std::string &name);

} // namespace cyclamenspool::cli
