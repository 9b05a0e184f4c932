#pragma once

#include <string>
#include <vector>

namespace cyclamenspool::bench {

/** @brief One bar of a plot. */
struct Bar {
    std::string group;
    std::string name;
    double value = 0.0;
};

/**
 * @brief Writes grouped horizontal bars as SVG.
 * @param file File.
 * @param title Title with the unit.
 * @param bars Bars; those of a group stand together.
 * @throws std::runtime_error If the file cannot be written.
 */
void writeBarPlot(const std::string &file, const std::string &title, const std::vector<Bar> &bars);

} // namespace cyclamenspool::bench
