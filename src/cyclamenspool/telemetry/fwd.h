#pragma once

namespace cyclamenspool::telemetry {
class Metrics;
} // namespace cyclamenspool::telemetry
