#pragma once

#include "ledger.h"

#include <fake/fakefleet.h>

#include <memory>
#include <string>

namespace cyclamenspool::fault {

/** @brief Parts of the table that a cell may change. */
struct TableParts {
    std::string bookings = "booking-0, booking-1, booking-2"; /**< Members of the plain service's group. */
    std::string leaving; /**< Rows of the section "leaving". */
    std::string poolRow = "load_bound: 1.25, max_tokens: 100000, cold_tokens: 100000, warm_up_ms: 100"; /**< Fields of the model pool. */
    bool checksFencing = false;
};

/** @brief Returns the table of the matrix. @param parts Parts. @return YAML. */
[[nodiscard]] std::string matrixTable(const TableParts &parts);

/** @brief Returns the list of VMs of the matrix: 2 routers, 3 engines, 3 plain services in 3 availability zones. @param missing VM left out; empty: none.
 * @return YAML. */
[[nodiscard]] std::string matrixVms(const std::string &missing = "");

/** @brief Fleet of the matrix after a minute without events. */
struct MatrixFleet {
    explicit MatrixFleet(const std::string &model = "lamp", const TableParts &parts = {});

    std::shared_ptr<Ledger> ledger = std::make_shared<Ledger>();
    std::unique_ptr<fake::FakeFleet> fleet;
};

/** @brief Kind of request of a cell. */
enum class RequestMode { Chat, CallerKey, RouterKey };

/** @brief Makes a request. @param mode Kind. @param id Request id. @param key Caller's key. @return Request. */
[[nodiscard]] router::CallerRequest makeRequest(RequestMode mode, const std::string &id, const std::string &key);

} // namespace cyclamenspool::fault
