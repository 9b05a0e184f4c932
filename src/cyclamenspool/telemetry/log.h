#pragma once

#include <cyclamenspool/core/decision.h>

#include <string>

namespace cyclamenspool::telemetry {

/** @brief Directs the log. @param file File; "-": standard output. @param vm Name of the VM, written on each line. */
void openLog(const std::string &file, const std::string &vm);

/** @brief Writes a routing or placement decision as one line of JSON. @param decision Decision. */
void logDecision(const core::Decision &decision);

/** @brief Writes an event as one line of JSON. @param event Name of the event. @param text Explanation. */
void logEvent(const std::string &event, const std::string &text);

/** @brief Flushes the log. */
void closeLog();

} // namespace cyclamenspool::telemetry
