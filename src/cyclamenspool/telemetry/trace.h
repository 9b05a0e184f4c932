#pragma once

#include <chrono>
#include <cstddef>
#include <istream>
#include <string>
#include <vector>

namespace cyclamenspool::telemetry {

/** @brief A log line related to the traced request. */
struct TraceLine {
    std::chrono::milliseconds time{0}; /**< Unix time by the clock of the process that wrote the line. */
    std::string vm;
    std::string event;
    std::string fields; /**< Other fields as name=value with JSON values, separated by spaces. */
};

/** @brief Log lines related to one request. */
struct Trace {
    std::vector<TraceLine> lines; /**< Ordered by time. */
    std::chrono::milliseconds requestStart{0}; /**< Unix time at which the first gateway that handled the request received it. */
    std::size_t requestLines = 0; /**< Number of lines about the request itself; 0 if no log contains it. */
    std::size_t unreadableLines = 0; /**< Number of lines without a valid JSON object. */
};

/**
 * @brief Finds the log lines about a request, about the backend servers it was sent to, and about the state of the gateways that handled it.
 * @param logs Logs of processes; each is read twice from its start.
 * @param request Request id.
 * @param margin Time before the start and after the end of the request within which lines about backend servers and gateways are included.
 * @return Trace; empty but for the number of unreadable lines if no log contains the request.
 */
[[nodiscard]] Trace traceRequest(const std::vector<std::istream *> &logs, const std::string &request, std::chrono::milliseconds margin);

} // namespace cyclamenspool::telemetry
