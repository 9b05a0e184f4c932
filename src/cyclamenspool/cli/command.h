#pragma once

#include <string>
#include <vector>

namespace cyclamenspool::cli {

/** @brief Exit codes, as in sysexits.h. */
enum ExitCode : int { Ok = 0, Invalid = 1, Usage = 64, DataError = 65, NoInput = 66, Unavailable = 69, Software = 70 };

using Arguments = std::vector<std::string>;

/** @brief A subcommand of the program. */
struct Command {
    const char *name;
    const char *summary;
    int (*run)(const Arguments &);
};

/** @brief Runs a router until it is stopped. @param arguments Words after the subcommand. @return Exit code. */
int runRouter(const Arguments &arguments);

/** @brief Runs an agent until it is stopped. @param arguments Words after the subcommand. @return Exit code. */
int runAgent(const Arguments &arguments);

/** @brief Runs a gateway until it is stopped. @param arguments Words after the subcommand. @return Exit code. */
int runGateway(const Arguments &arguments);

/** @brief Checks a settings file or a table. @param arguments Words after the subcommand. @return Exit code. */
int runCheck(const Arguments &arguments);

/** @brief Explains where a chat or a key is placed. @param arguments Words after the subcommand. @return Exit code. */
int runExplain(const Arguments &arguments);

/** @brief Prints one request's story from logs. @param arguments Words after the subcommand. @return Exit code. */
int runTrace(const Arguments &arguments);

/** @brief Shows the state of a process. @param arguments Words after the subcommand. @return Exit code. */
int runStatus(const Arguments &arguments);

/** @brief Reads a file. @param name File. @return Content. @throws std::runtime_error If it cannot be read. */
[[nodiscard]] std::string readFile(const std::string &name);

} // namespace cyclamenspool::cli
