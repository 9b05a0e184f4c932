#pragma once

#include <cyclamenspool/gateway/catalog.h>
#include <cyclamenspool/gateway/dispatcher.h>
#include <cyclamenspool/gateway/peernews.h>

#include <string>

namespace cyclamenspool::gateway {

/** @brief What the pages for operators are made of. */
struct OperatorView {
    const Dispatcher &dispatcher;
    const Catalog &catalog;
    const PeerNews &peers;
    bool isReady = false;
};

/** @brief Writes counters, gauges and histograms. @param view State. @return Prometheus text. */
[[nodiscard]] std::string formatMetrics(const OperatorView &view);

/** @brief Writes versions, peers and backend servers with the evidence on them and its age. @param view State. @return JSON object. */
[[nodiscard]] std::string formatStatus(const OperatorView &view);

} // namespace cyclamenspool::gateway
