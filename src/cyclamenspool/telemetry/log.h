#pragma once

#include <cyclamenspool/core/decision.h>

#include <boost/json/object.hpp>

#include <string>

namespace cyclamenspool::telemetry {

/**
 * @brief Opens the log.
 *
 * A background thread writes the lines from a bounded queue. If a slow reader lets the queue fill up, further lines are counted instead of written.
 *
 * @param file Path of the log file; "-" writes to standard output.
 * @param vm Name of the VM, written in each line.
 */
void openLog(const std::string &file, const std::string &vm);

/**
 * @brief Sets the rate limit of logRateLimited().
 * @param linesPerSecond Maximum lines per second of one event; 0 writes none.
 */
void setEventRateLimit(int linesPerSecond);

/** @brief Writes a routing or placement decision as one JSON line, without a rate limit. */
void logDecision(const core::Decision &decision);

/**
 * @brief Writes an event as one JSON line, without a rate limit.
 * @param event Event name.
 * @param text Explanation for the operator.
 */
void logEvent(const std::string &event, const std::string &text);

/**
 * @brief Writes an event with its fields as one JSON line, without a rate limit.
 * @param event Event name.
 * @param fields Additional fields of the line.
 */
void logEvent(const std::string &event, const boost::json::object &fields);

/**
 * @brief Writes an event with its fields as one JSON line, subject to a rate limit per event.
 *
 * Lines above the limit are counted; a later line of the same event gives their number in its field left_out.
 *
 * @param event Event name.
 * @param fields Additional fields of the line.
 */
void logRateLimited(const std::string &event, boost::json::object fields);

/**
 * @brief Flushes and closes the log; must be the last log call of a process.
 *
 * Terminates the process if the log cannot be flushed within 300 ms, because its reader has stopped reading.
 *
 * @param status Exit status in that case.
 */
void closeLog(int status);

} // namespace cyclamenspool::telemetry
