#pragma once

#include <string>
#include <vector>

namespace cyclamenspool::bench {

/** @brief Bar of a bar chart. */
struct Bar {
    std::string group; /**< First part of the label, e.g. the scenario. */
    std::string name; /**< Second part of the label; it determines the colour. */
    double value = 0.0;
};

/**
 * @brief Writes a chart of horizontal bars as an SVG file.
 * @param file Path of the file; an existing one is overwritten.
 * @param title Title of the chart with the unit of the values.
 * @param bars Bars from top to bottom; bars of the same name have the same colour.
 * @throws std::runtime_error If the file cannot be opened for writing.
 */
void writeBarPlot(const std::string &file, const std::string &title, const std::vector<Bar> &bars);

} // namespace cyclamenspool::bench
