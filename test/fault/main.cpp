// Runs the fault matrix: injects every fault at every step and checks the invariants. Prints one line per failed cell,
// or per cell with --list or --verbose, and the totals.

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

void print(const Cell &cell, bool withDetails)
{
    std::cout << cell.step << ' ' << cell.fault << ' ' << cell.invariant << ' ' << nameOf(cell.verdict);
    if (withDetails && !cell.note.empty()) {
        std::cout << " (" << cell.note << ')';
    }
    std::cout << '\n';
}

struct Section {
    const char *name;
    Cells (*cells)(bool run);
};

const Section sections[] = {
    {"request", requestCells},
    {"departure", departureCells},
    {"order", orderCells},
    {"configuration", configurationCells},
};

/** @brief Returns the cells of the sections. @param only Name of a single section; empty: all. @param run True to run the cells, false to list them only. */
Cells collectCells(const std::string &only, bool run)
{
    Cells all;
    for (const auto &section : sections) {
        if (only.empty() || only == section.name) {
            const auto cells = section.cells(run);
            all.insert(all.end(), cells.begin(), cells.end());
        }
    }
    return all;
}

int run(int argc, char **argv)
{
    po::options_description options("options");
    auto add = options.add_options();
    add("list", "print the cells, one per line, without running them");
    add("section", po::value<std::string>()->default_value(""), "request, departure, order or configuration; empty: all");
    add("verbose", "print every cell that was run");
    const auto parsed = fake::parseCommandLine(options, argc, argv);
    if (!parsed) {
        return 0;
    }
    const auto &values = *parsed;
    const bool isListOnly = values.count("list") > 0;
    std::map<Verdict, int> counts;
    for (const auto &cell : collectCells(values["section"].as<std::string>(), !isListOnly)) {
        ++counts[cell.verdict];
        if (isListOnly || values.count("verbose") > 0 || cell.verdict == Verdict::Failed) {
            print(cell, !isListOnly);
        }
    }
    if (!isListOnly) {
        std::cout << counts[Verdict::Passed] << " passed, " << counts[Verdict::Failed] << " failed, " << counts[Verdict::NotApplicable] << " not applicable, "
                  << counts[Verdict::NotChecked] << " not written\n";
    }
    return counts[Verdict::Failed] == 0 ? 0 : 1;
}

} // namespace cyclamenspool::fault

int main(int argc, char **argv)
{
    return cyclamenspool::fake::runProgram(cyclamenspool::fault::run, argc, argv);
}
