#pragma once

#include <cyclamenspool/gateway/catalog.h>
#include <cyclamenspool/gateway/dispatcher.h>
#include <cyclamenspool/gateway/peergossip.h>

#include <string>

namespace cyclamenspool::gateway {

/** @brief State of the gateway that the metrics and status pages are built from. */
struct OperatorPageInput {
    const Dispatcher &dispatcher;
    const Catalog &catalog;
    const PeerGossip &peers;
    bool isReady = false;
};

/** @brief Formats the metrics page. @return Counters, gauges and histograms in the Prometheus text format. */
[[nodiscard]] std::string formatMetrics(const OperatorPageInput &input);

/** @brief Formats the status page. @return JSON object with versions, peers, and backend servers with their availability and the age of their last report. */
[[nodiscard]] std::string formatStatus(const OperatorPageInput &input);

} // namespace cyclamenspool::gateway
