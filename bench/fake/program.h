#pragma once

#include <boost/program_options.hpp>

#include <iostream>
#include <optional>

namespace cyclamenspool::fake {

namespace po = boost::program_options;

/**
 * @brief Parses a command line.
 * @param options Options; --help is added.
 * @return Values; none if --help was given, after printing the help.
 * @throws boost::program_options::error If the command line is invalid.
 */
[[nodiscard]] inline std::optional<po::variables_map> parseCommandLine(po::options_description &options, int argc, char **argv)
{
    options.add_options()("help", "print this help");
    po::variables_map values;
    po::store(po::parse_command_line(argc, argv, options), values);
    if (values.count("help") > 0) {
        std::cout << options;
        return std::nullopt;
    }
    po::notify(values);
    return values;
}

/** @brief Runs the body of a program. @return Exit code of the body; 2 after an exception, which is printed to the standard error output. */
inline int runProgram(int (*body)(int, char **), int argc, char **argv)
{
    try {
        return body(argc, argv);
    } catch (const std::exception &error) {
        std::cerr << error.what() << '\n';
        return 2;
    }
}

} // namespace cyclamenspool::fake
