#pragma once

#include <boost/program_options.hpp>

#include <iostream>
#include <optional>

namespace cyclamenspool::fake {

namespace po = boost::program_options;

/** @brief Parses a command line. @param options Options; --help is added. @param argc Number of words. @param argv Words. @return Values; none after the help
 * was printed. */
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

/** @brief Runs the body of a program; an exception is printed and becomes exit code 2. @param run Body. @param argc Number of words. @param argv Words. @return
 * Exit code. */
inline int runProgram(int (*run)(int, char **), int argc, char **argv)
{
    try {
        return run(argc, argv);
    } catch (const std::exception &error) {
        std::cerr << error.what() << '\n';
        return 2;
    }
}

} // namespace cyclamenspool::fake
