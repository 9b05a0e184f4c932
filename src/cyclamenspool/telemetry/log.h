#pragma once

#include <cyclamenspool/core/decision.h>

#include <boost/json/object.hpp>

#include <string>

namespace cyclamenspool::telemetry {

/**
 * @brief Directs the log. A thread of its own writes the lines; what a slow reader leaves no room for is counted in place of written.
 * @param file File; "-": standard output.
 * @param vm Name of the VM, written on each line.
 */
void openLog(const std::string &file, const std::string &vm);

/** @brief Bounds what logLine() writes. @param linesPerSecond Lines of one event in a second; 0: none. */
void setLineLimit(int linesPerSecond);

/** @brief Writes a routing or placement decision as one line of JSON. @param decision Decision. */
void logDecision(const core::Decision &decision);

/** @brief Writes an event as one line of JSON. @param event Name of the event. @param text Explanation. */
void logEvent(const std::string &event, const std::string &text);

/**
 * @brief Writes an event with its fields as one line of JSON; above a bound a second and event, lines are counted in place of written.
 * @param event Name of the event.
 * @param fields Fields.
 */
void logLine(const std::string &event, boost::json::object fields);

/** @brief Flushes the log; the last call of a process. @param status Exit status with which the process ends here if the log's reader stands still. */
void closeLog(int status);

} // namespace cyclamenspool::telemetry
