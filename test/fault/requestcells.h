#pragma once

#include <string>
#include <vector>

namespace cyclamenspool::fault {

/** @brief Verdict on one cell of the fault matrix. */
enum class Verdict { Passed, Failed, NotApplicable, NotWritten };

/** @brief One cell: a fault at a step, judged by one invariant. */
struct Cell {
    std::string step;
    std::string fault;
    std::string invariant;
    Verdict verdict = Verdict::NotWritten;
    std::string note{}; /**< What was seen, or why the cell is not applicable. */
};

/** @brief Lists the cells of a request's steps without running them. @return Cells. */
[[nodiscard]] std::vector<Cell> listRequestCells();

/** @brief Runs the cells of a request's steps. @return Cells with verdicts. */
[[nodiscard]] std::vector<Cell> runRequestCells();

} // namespace cyclamenspool::fault
