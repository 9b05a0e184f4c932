#pragma once

#include <cyclamenspool/cli/command.h>

#include <boost/program_options.hpp>

#include <functional>
#include <string>

namespace cyclamenspool::cli {

namespace po = boost::program_options;

/**
 * @brief Parses the arguments of a subcommand and runs it.
 *
 * With --help, prints the usage and the options instead. Errors in the arguments are printed to standard error with the usage.
 *
 * @param usage Usage of the subcommand, without the program name.
 * @param options Accepted options; --help is added.
 * @param positional Options that are also accepted by position.
 * @param arguments Command-line arguments after the subcommand.
 * @param body Runs the subcommand with the parsed options and returns the exit code; an exception is printed and mapped to an exit code.
 * @return Exit code.
 */
int runWithOptions(const std::string &usage,
                   po::options_description options,
                   const po::positional_options_description &positional,
                   const Arguments &arguments,
                   const std::function<int(const po::variables_map &)> &body);

} // namespace cyclamenspool::cli
