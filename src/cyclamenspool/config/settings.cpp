#include <cyclamenspool/config/fieldreader.h>
#include <cyclamenspool/config/settings.h>

#include <boost/asio/ip/address.hpp>

#include <algorithm>
#include <charconv>

namespace cyclamenspool::config {

namespace internal {

constexpr Range durationMs{1, 3600000};

const std::vector<Field<Settings>> &settingsFields()
{
    using S = Settings;
    static const std::vector<Field<Settings>> fields{
        {"vm", &S::vm, true},
        {"zone", &S::zone, true},
        {"peer_address", &S::peerAddress, true},
        {"http_address", &S::httpAddress, true},
        {"configuration_service", &S::configurationService, true},
        {"vm_list", &S::vmList, true},
        {"server", &S::server},
        {"group", &S::group},
        {"backend_address", &S::backendAddress},
        {"documents", &S::documents},
        {"seed_peers", &S::seedPeers},
        {"log_file", &S::logFile},
        {"workers", &S::workers, false, {1, 64}},
        {"max_body_bytes", &S::maxBodyBytes, false, {1024, 64.0 * 1024 * 1024}},
        {"max_header_bytes", &S::maxHeaderBytes, false, {1024, 1024.0 * 1024}},
        {"max_open_requests", &S::maxOpenRequests, false, {1, 1000000}},
        {"caller_timeout_ms", &S::callerTimeout, false, durationMs},
        {"default_deadline_ms", &S::defaultDeadline, false, durationMs},
        {"unready_period_ms", &S::unreadyPeriod, false, {0, 3600000}},
        {"shutdown_limit_ms", &S::shutdownLimit, false, durationMs},
        {"exchange_period_ms", &S::exchangePeriod, false, durationMs},
        {"anti_entropy_period_ms", &S::antiEntropyPeriod, false, durationMs},
        {"start_spread_ms", &S::maxStartDelay, false, {0, 3600000}},
        {"view_lease_ms", &S::viewLease, false, durationMs},
        {"take_over_ms", &S::takeOverDelay, false, {1000, 3600000}},
        {"weight_store_rate", &S::weightStoreLoadsPerSecond, false, {0.001, 100000}},
        {"clock_bound_ms", &S::maxClockSkew, false, {0, 3600000}},
    };
    return fields;
}

} // namespace internal

void checkAddress(const YAML::Node &root, const char *key, const std::string &address, Diagnostics &diagnostics)
{
    if (address.empty()) {
        return;
    }
    try {
        static_cast<void>(splitAddress(address));
    } catch (const std::invalid_argument &error) {
        diagnostics.add(root[key], std::string("'") + key + "' " + error.what());
    }
}

void checkAddresses(const YAML::Node &root, const char *key, const std::vector<std::string> &addresses, Diagnostics &diagnostics)
{
    for (const auto &address : addresses) {
        checkAddress(root, key, address, diagnostics);
    }
}

std::pair<std::string, unsigned short> splitAddress(const std::string &address)
{
    const auto colon = address.rfind(':');
    if (colon == std::string::npos || colon == 0) {
        throw std::invalid_argument("must be an IP address and a port");
    }
    unsigned short port = 0;
    const char *end = address.data() + address.size();
    const auto parsed = std::from_chars(address.data() + colon + 1, end, port);
    if (parsed.ec != std::errc() || parsed.ptr != end) {
        throw std::invalid_argument("has no valid port");
    }
    auto host = address.substr(0, colon);
    if (host.front() == '[' && host.back() == ']') {
        host = host.substr(1, host.size() - 2);
    }
    boost::system::error_code error;
    static_cast<void>(boost::asio::ip::make_address(host, error));
    if (error) {
        throw std::invalid_argument("must start with an IP address");
    }
    return {host, port};
}

Settings Settings::parse(const std::string &text, const std::string &file)
{
    Diagnostics diagnostics(file);
    const auto root = diagnostics.parse(text);
    Settings settings;
    readRecord(root, internal::settingsFields(), settings, diagnostics);
    if (root.IsMap()) {
        checkAddress(root, "peer_address", settings.peerAddress, diagnostics);
        checkAddress(root, "http_address", settings.httpAddress, diagnostics);
        checkAddress(root, "configuration_service", settings.configurationService, diagnostics);
        checkAddress(root, "vm_list", settings.vmList, diagnostics);
        checkAddress(root, "backend_address", settings.backendAddress, diagnostics);
        checkAddresses(root, "seed_peers", settings.seedPeers, diagnostics);
    }
    diagnostics.throwIfAny();
    return settings;
}

} // namespace cyclamenspool::config
