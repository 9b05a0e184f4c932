#pragma once

#include <cyclamenspool/gateway/catalog.h>
#include <cyclamenspool/gateway/dispatcher.h>
#include <cyclamenspool/gateway/peernews.h>

#include <string>

namespace cyclamenspool::gateway {

/** @brief State of the gateway that the metrics and status pages are built from. */
struct OperatorView {
    const Dispatcher &dispatcher;
    const Catalog &catalog;
    const PeerNews &peers;
    bool isReady = false;
};

/** @brief Formats the metrics page. @return Counters, gauges and histograms in the Prometheus text format. */
[[nodiscard]] std::string formatMetrics(const OperatorView &input);

/** @brief Formats the status page. @return JSON object with versions, peers, and backend servers with their health state and the age of their last report. */
[[nodiscard]] std::string formatStatus(const OperatorView &input);

} // namespace cyclamenspool::gateway
