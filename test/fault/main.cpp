// Runs the fault matrix: every fault at every step, one line a cell.

#include "requestcells.h"

#include <boost/program_options.hpp>

#include <iostream>
#include <map>

namespace cyclamenspool::fault {

namespace po = boost::program_options;

const char *nameOf(Verdict verdict)
{
    switch (verdict) {
    case Verdict::Passed:
        return "passed";
    case Verdict::Failed:
        return "failed";
    case Verdict::NotApplicable:
        return "not_applicable";
    default:
        return "not_written";
    }
}

void print(const Cell &cell, bool withNote)
{
    std::cout << cell.step << ' ' << cell.fault << ' ' << cell.invariant << ' ' << nameOf(cell.verdict);
    if (withNote && !cell.note.empty()) {
        std::cout << " (" << cell.note << ')';
    }
    std::cout << '\n';
}

int run(int argc, char **argv)
{
    po::options_description options("options");
    auto add = options.add_options();
    add("list", "print the cells, one a line, without running them");
    add("verbose", "print every cell that was run");
    add("help", "print this help");
    po::variables_map values;
    po::store(po::parse_command_line(argc, argv, options), values);
    if (values.count("help") > 0) {
        std::cout << options;
        return 0;
    }
    const bool list = values.count("list") > 0;
    std::map<Verdict, int> counts;
    for (const auto &cell : list ? listRequestCells() : runRequestCells()) {
        ++counts[cell.verdict];
        if (list || values.count("verbose") > 0 || cell.verdict == Verdict::Failed) {
            print(cell, !list);
        }
    }
    if (!list) {
        std::cout << counts[Verdict::Passed] << " passed, " << counts[Verdict::Failed] << " failed, " << counts[Verdict::NotApplicable]
                  << " not applicable, " << counts[Verdict::NotWritten] << " not written\n";
    }
    return counts[Verdict::Failed] == 0 ? 0 : 1;
}

} // namespace cyclamenspool::fault

int main(int argc, char **argv)
{
    try {
        return cyclamenspool::fault::run(argc, argv);
    } catch (const std::exception &error) {
        std::cerr << error.what() << '\n';
        return 2;
    }
}
