#define CATCH_CONFIG_RUNNER
#include <catch2/catch.hpp>

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <string>

namespace {

/** @brief Returns a test's name for a pattern, in which a comma separates alternatives even inside quotes. */
std::string escapeCommas(const std::string &name)
{
    std::string escaped;
    for (const char character : name) {
        if (character == ',') {
            escaped += '\\';
        }
        escaped += character;
    }
    return escaped;
}

} // namespace

/**
 * @brief Runs the tests of a program, without those named in the file of CYCLAMENSPOOL_EXCLUDED_TESTS, one exact name a line.
 *
 * A name that is no test of this program is ignored, as the file serves several programs.
 */
int main(int argc, char **argv)
{
    Catch::Session session;
    const int invalid = session.applyCommandLine(argc, argv);
    if (invalid != 0) {
        return invalid;
    }
    if (const char *file = std::getenv("CYCLAMENSPOOL_EXCLUDED_TESTS")) {
        std::ifstream names(file);
        if (!names) {
            std::cerr << "cannot read CYCLAMENSPOOL_EXCLUDED_TESTS: " << file << '\n';
            return 1;
        }
        for (std::string name; std::getline(names, name);) {
            session.configData().testsOrTags.push_back("~\"" + escapeCommas(name) + "\" ");
        }
    }
    return session.run();
}
