#include <cyclamenspool/gateway/peermessages.h>

#include <algorithm>

namespace cyclamenspool::gateway {

namespace internal {

constexpr std::uint32_t maxOutstanding = 1000000; /* highest number of descriptors that the settings allow a process */

} // namespace internal

std::optional<wire::GatewayNews> decodePeerUpdate(const std::string &bytes)
{
    wire::GatewayNews update;
    if (bytes.empty() || !update.ParseFromString(bytes)) {
        return std::nullopt;
    }
    const bool isPlausible = std::all_of(update.loads().begin(), update.loads().end(), [](const wire::ServerLoad &load) {
        return load.outstanding() <= internal::maxOutstanding;
    });
    return isPlausible ? std::optional(std::move(update)) : std::nullopt;
}

std::vector<ServerLoad> loadsOf(const wire::GatewayNews &update)
{
    std::vector<ServerLoad> loads;
    loads.reserve(static_cast<std::size_t>(update.loads_size()));
    for (const auto &load : update.loads()) {
        loads.push_back({load.backend_server(), static_cast<int>(load.outstanding())});
    }
    return loads;
}

std::vector<Suspicion> suspicionsOf(const wire::GatewayNews &update)
{
    std::vector<Suspicion> suspicions;
    for (const auto &suspicion : update.suspicions()) {
        suspicions.push_back({suspicion.backend_server(), core::Milliseconds(suspicion.lasts_ms())});
    }
    return suspicions;
}

std::optional<member::StoreSnapshot> decodeSnapshot(const std::string &bytes)
{
    wire::ItemCopy copy;
    if (bytes.empty() || !copy.ParseFromString(bytes)) {
        return std::nullopt;
    }
    member::StoreSnapshot snapshot;
    snapshot.revision = copy.revision();
    for (const auto &item : copy.items()) {
        snapshot.items.push_back({item.key(), item.value(), item.revision(), false});
    }
    return snapshot;
}

std::string encodeSnapshot(const member::StoreSnapshot &snapshot)
{
    wire::ItemCopy copy;
    copy.set_revision(snapshot.revision);
    for (const auto &item : snapshot.items) {
        auto *entry = copy.add_items();
        entry->set_key(item.key);
        entry->set_value(item.value);
        entry->set_revision(item.revision);
    }
    return copy.SerializeAsString();
}

std::string decodePullPrefix(const std::string &bytes)
{
    wire::ItemPull pull;
    return pull.ParseFromString(bytes) ? pull.prefix() : std::string();
}

} // namespace cyclamenspool::gateway
