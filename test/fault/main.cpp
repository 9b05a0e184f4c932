// Runs the fault matrix: every fault at every step, one line a cell.

#include "cell.h"

#include <fake/program.h>

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

struct Section {
    const char *name;
    Cells (*visit)(bool run);
};

const Section sections[] = {
    {"request", requestCells},
    {"departure", departureCells},
    {"order", orderCells},
    {"configuration", configurationCells},
};

/** @brief Visits the sections. @param only Name of the one wanted; empty: all. @param run False to list the cells only. @return Cells. */
Cells visit(const std::string &only, bool run)
{
    Cells all;
    for (const auto &section : sections) {
        if (only.empty() || only == section.name) {
            const auto cells = section.visit(run);
            all.insert(all.end(), cells.begin(), cells.end());
        }
    }
    return all;
}

int run(int argc, char **argv)
{
    po::options_description options("options");
    auto add = options.add_options();
    add("list", "print the cells, one a line, without running them");
    add("section", po::value<std::string>()->default_value(""), "request, departure, order or configuration; empty: all");
    add("verbose", "print every cell that was run");
    const auto parsed = fake::parseCommandLine(options, argc, argv);
    if (!parsed) {
        return 0;
    }
    const auto &values = *parsed;
    const bool list = values.count("list") > 0;
    std::map<Verdict, int> counts;
    for (const auto &cell : visit(values["section"].as<std::string>(), !list)) {
        ++counts[cell.verdict];
        if (list || values.count("verbose") > 0 || cell.verdict == Verdict::Failed) {
            print(cell, !list);
        }
    }
    if (!list) {
        std::cout << counts[Verdict::Passed] << " passed, " << counts[Verdict::Failed] << " failed, " << counts[Verdict::NotApplicable] << " not applicable, "
                  << counts[Verdict::NotWritten] << " not written\n";
    }
    return counts[Verdict::Failed] == 0 ? 0 : 1;
}

} // namespace cyclamenspool::fault

int main(int argc, char **argv)
{
    return cyclamenspool::fake::runProgram(cyclamenspool::fault::run, argc, argv);
}
