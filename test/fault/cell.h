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

using Cells = std::vector<Cell>;

/** @brief Visits the cells of a request's steps. @param run False to list them only. @return Cells. */
[[nodiscard]] Cells requestCells(bool run);

/** @brief Visits the cells of an availability zone's departure and return. @param run False to list them only. @return Cells. */
[[nodiscard]] Cells departureCells(bool run);

/** @brief Visits the cells of an order to an engine. @param run False to list them only. @return Cells. */
[[nodiscard]] Cells orderCells(bool run);

/** @brief Visits the cells of a configuration change, in process. @param run False to list them only. @return Cells. */
[[nodiscard]] Cells configurationCells(bool run);

} // namespace cyclamenspool::fault
