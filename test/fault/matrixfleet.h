#pragma once

#include "recordingbackend.h"

#include <fake/fakefleet.h>

#include <memory>
#include <string>

namespace cyclamenspool::fault {

/** @brief Parts of the operators' table that a cell may change. */
struct TableParts {
    std::string bookingServers = "booking-0, booking-1, booking-2"; /**< Backend servers of "bookings", a pool without a model. */
    std::string leavingRows; /**< YAML rows of the section "leaving". */
    std::string poolFields = "load_bound: 1.25, max_tokens: 100000, cold_tokens: 100000, warm_up_ms: 100"; /**< YAML fields of the model pool. */
    bool checksFencing = false; /**< True if the engines check fencing numbers. */
};

/** @brief Returns the operators' table of the matrix as YAML. */
[[nodiscard]] std::string matrixTable(const TableParts &parts);

/** @brief Returns the list of VMs of the matrix as YAML: 2 routers, 3 engines and 3 backend servers of the plain service in 3 availability zones.
 * @param missing VM that is not listed; empty: none. */
[[nodiscard]] std::string matrixVms(const std::string &missing = "");

/** @brief Fleet of the matrix, after a minute of fake time without requests. */
struct MatrixFleet {
    /** @brief Starts the fleet. @param model Model loaded by the engines; empty: none. @param parts Parts of the table. */
    explicit MatrixFleet(const std::string &model = "lamp", const TableParts &parts = {});

    std::shared_ptr<RunRecord> runRecord = std::make_shared<RunRecord>();
    std::unique_ptr<fake::FakeFleet> fleet;
};

/** @brief Kind of the requests of a cell: a chat, or a non-idempotent request with an idempotency key of the caller or of the router. */
enum class RequestKind { Chat, CallerKey, RouterKey };

/** @brief Returns a request of the workspace "desk". @param id Request id. @param key Idempotency key; used by the kind CallerKey only. */
[[nodiscard]] router::CallerRequest makeRequest(RequestKind kind, const std::string &id, const std::string &key);

} // namespace cyclamenspool::fault
