#include <cyclamenspool/config/gatewaysettings.h>

#include <cyclamenspool/config/fieldreader.h>
#include <cyclamenspool/config/settings.h>

#include <tuple>

namespace cyclamenspool::config {

namespace internal {

constexpr Range durationMs{1, 3600000};
constexpr Range durationSeconds{0.001, 3600};

const std::vector<Field<GatewaySettings>> &gatewayFields()
{
    using S = GatewaySettings;
    static const std::vector<Field<GatewaySettings>> fields{
        {"vm", &S::vm, true},
        {"zone", &S::zone, true},
        {"caller_address", &S::callerAddress, true},
        {"ready_address", &S::readyAddress, true},
        {"peer_address", &S::peerAddress, true},
        {"metrics_address", &S::metricsAddress},
        {"store_address", &S::storeAddress, true},
        {"seed_peers", &S::seedPeers},
        {"workers", &S::workers, false, {1, 64}},
        {"descriptors", &S::maxSockets, false, {64, 1000000}},
        {"memory_mb", &S::memoryMb, false, {0, 10000000}},
        {"processor_share", &S::processorShare, false, {0.001, 1024}},
        {"grace_s", &S::gracePeriod, false, durationSeconds},
        {"leave_ms", &S::maxLeaveDelay, false, durationMs},
        {"configuration_ms", &S::maxConfigurationDelay, false, durationMs},
        {"retry_ratio", &S::retryRatio, false, {0, 10}},
        {"retry_slack", &S::retrySlack, false, {0, 1000000}},
        {"retry_window_s", &S::retryWindow, false, durationSeconds},
        {"cold_factor", &S::coldFactor, false, {0.1, 100}},
        {"cold_slack", &S::coldSlack, false, {0, 1000000}},
        {"log_lines", &S::maxLogLinesPerSecond, false, {0, 100000}},
        {"load_factor", &S::loadFactor, false, {1, 100}},
    };
    return fields;
}

} // namespace internal

bool GatewaySettings::hasSameAddresses(const GatewaySettings &other) const
{
    const auto addressesOf = [](const GatewaySettings &settings) {
        return std::tie(settings.callerAddress, settings.readyAddress, settings.peerAddress, settings.metricsAddress, settings.storeAddress);
    };
    return addressesOf(*this) == addressesOf(other);
}

GatewaySettings GatewaySettings::parse(const std::string &text, const std::string &file)
{
    Diagnostics diagnostics(file);
    const auto root = diagnostics.parse(text);
    GatewaySettings settings;
    readRecord(root, internal::gatewayFields(), settings, diagnostics);
    if (root.IsMap()) {
        checkAddress(root, "caller_address", settings.callerAddress, diagnostics);
        checkAddress(root, "ready_address", settings.readyAddress, diagnostics);
        checkAddress(root, "peer_address", settings.peerAddress, diagnostics);
        checkAddress(root, "metrics_address", settings.metricsAddress, diagnostics);
        checkAddress(root, "store_address", settings.storeAddress, diagnostics);
        checkAddresses(root, "seed_peers", settings.seedPeers, diagnostics);
    }
    diagnostics.throwIfAny();
    return settings;
}

} // namespace cyclamenspool::config
