#pragma once

#include <string>
#include <vector>

namespace cyclamenspool::fault {

/** @brief Result of one cell of the fault matrix. NotChecked: the cell was only listed; printed as "not_written". */
enum class Verdict { Passed, Failed, NotApplicable, NotChecked };

/** @brief One cell of the fault matrix: an invariant that is checked after a fault was injected at a step. */
struct Cell {
    std::string step;
    std::string fault;
    std::string invariant;
    Verdict verdict = Verdict::NotChecked;
    std::string note{}; /**< How the invariant was violated, or why the cell is not applicable. */
};

using Cells = std::vector<Cell>;

/** @brief Returns the cells of the steps of a request. @param run True to run them, false to list them only. */
[[nodiscard]] Cells requestCells(bool run);

/** @brief Returns the cells of a departure: an availability zone is evacuated and later used again. @param run True to run them, false to list them only. */
[[nodiscard]] Cells departureCells(bool run);

/** @brief Returns the cells of an order to an engine to load a model. @param run True to run them, false to list them only. */
[[nodiscard]] Cells orderCells(bool run);

/** @brief Returns the cells of a configuration change. @param run True to run them, false to list them only. */
[[nodiscard]] Cells configurationCells(bool run);

} // namespace cyclamenspool::fault
