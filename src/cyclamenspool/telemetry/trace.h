#pragma once

#include <chrono>
#include <cstddef>
#include <istream>
#include <string>
#include <vector>

namespace cyclamenspool::telemetry {

/** @brief One line of a request's story. */
struct TraceLine {
    std::chrono::milliseconds time{0}; /**< By the clock of its process, since 1970. */
    std::string vm;
    std::string event;
    std::string fields; /**< name=value, separated by spaces. */
};

/** @brief Everything that the logs say on one request. */
struct Trace {
    std::vector<TraceLine> lines; /**< By time. */
    std::chrono::milliseconds began{0}; /**< Of the first attempt of the caller, since 1970. */
    std::size_t requests = 0; /**< Lines on the request itself; 0: it is in none of the logs. */
    std::size_t unreadable = 0; /**< Lines that are no JSON objects. */
};

/**
 * @brief Finds the lines on a request: its own, those on its backend servers, and those on the state of its gateways.
 * @param logs Logs of processes; read twice.
 * @param request Id of the request.
 * @param around Time before its start and after its end in which the other lines count.
 * @return Trace.
 */
[[nodiscard]] Trace traceRequest(const std::vector<std::istream *> &logs, const std::string &request, std::chrono::milliseconds around);

} // namespace cyclamenspool::telemetry
