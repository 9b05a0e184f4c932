#pragma once

#include <cyclamenspool/cli/command.h>

#include <boost/program_options.hpp>

#include <functional>
#include <string>

namespace cyclamenspool::cli {

namespace po = boost::program_options;

/**
 * @brief Parses the words of a subcommand and runs its body; prints the help or the error of a wrong call.
 * @param usage First line of the help.
 * @param options Options; --help is added.
 * @param positional Positional options.
 * @param arguments Words.
 * @param body Body; its exceptions become exit codes.
 * @return Exit code.
 */
int runWithOptions(const std::string &usage,
                   po::options_description options,
                   const po::positional_options_description &positional,
                   const Arguments &arguments,
                   const std::function<int(const po::variables_map &)> &body);

} // namespace cyclamenspool::cli
