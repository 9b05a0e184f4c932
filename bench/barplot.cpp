#include "barplot.h"

#include <algorithm>
#include <fstream>
#include <iomanip>
#include <map>
#include <stdexcept>

namespace cyclamenspool::bench {

namespace {

constexpr int rowHeight = 14; /* in pixels, like the next four */
constexpr int labelWidth = 330;
constexpr int barWidth = 420;
constexpr int margin = 30;
constexpr int valueWidth = 70;
const std::vector<std::string> colours{"#1b6ca8", "#bbbbbb", "#999999", "#e08e45", "#6a994e", "#9d4edd"};

std::string colourOf(const std::string &name)
{
    static std::map<std::string, std::size_t> colourIndices;
    const auto index = colourIndices.try_emplace(name, colourIndices.size()).first->second;
    return colours[index % colours.size()];
}

} // namespace

void writeBarPlot(const std::string &file, const std::string &title, const std::vector<Bar> &bars)
{
    std::ofstream out(file);
    if (!out) {
        throw std::runtime_error("cannot open the plot file for writing: " + file);
    }
    double maxValue = 0.0;
    for (const auto &bar : bars) {
        maxValue = std::max(maxValue, bar.value);
    }
    const auto height = margin * 2 + rowHeight * static_cast<int>(bars.size());
    out << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" << labelWidth + barWidth + valueWidth << "\" height=\"" << height
        << "\" font-family=\"sans-serif\" font-size=\"11\">\n<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n<text x=\"10\" y=\"18\" font-size=\"14\">"
        << title << "</text>\n"
        << std::fixed << std::setprecision(3);
    int y = margin + rowHeight;
    for (const auto &bar : bars) {
        const double width = maxValue > 0.0 ? bar.value / maxValue * barWidth : 0.0;
        out << "<text x=\"" << labelWidth - 6 << "\" y=\"" << y << "\" text-anchor=\"end\">" << bar.group << ", " << bar.name << "</text><rect x=\""
            << labelWidth << "\" y=\"" << y - rowHeight + 4 << "\" width=\"" << width << "\" height=\"" << rowHeight - 3 << "\" fill=\"" << colourOf(bar.name)
            << "\"/><text x=\"" << labelWidth + width + 4 << "\" y=\"" << y << "\">" << bar.value << "</text>\n";
        y += rowHeight;
    }
    out << "</svg>\n";
}

} // namespace cyclamenspool::bench
