#include <cyclamenspool/gateway/peermessages.h>

#include <algorithm>

namespace cyclamenspool::gateway {

namespace internal {

constexpr std::uint32_t mostOutstanding = 1000000; /* descriptors that the settings allow a process */

} // namespace internal

std::optional<wire::GatewayNews> readNews(const std::string &bytes)
{
    wire::GatewayNews news;
    if (bytes.empty() || !news.ParseFromString(bytes)) {
        return std::nullopt;
    }
    const bool isPossible = std::all_of(news.loads().begin(), news.loads().end(), [](const wire::ServerLoad &load) {
        return load.outstanding() <= internal::mostOutstanding;
    });
    return isPossible ? std::optional(std::move(news)) : std::nullopt;
}

std::vector<LoadNews> loadsOf(const wire::GatewayNews &news)
{
    std::vector<LoadNews> loads;
    loads.reserve(static_cast<std::size_t>(news.loads_size()));
    for (const auto &load : news.loads()) {
        loads.push_back({load.backend_server(), static_cast<int>(load.outstanding())});
    }
    return loads;
}

std::vector<SuspicionNews> suspicionsOf(const wire::GatewayNews &news)
{
    std::vector<SuspicionNews> suspicions;
    for (const auto &suspicion : news.suspicions()) {
        suspicions.push_back({suspicion.backend_server(), core::Milliseconds(suspicion.lasts_ms())});
    }
    return suspicions;
}

std::optional<member::ItemList> readCopy(const std::string &bytes)
{
    wire::ItemCopy copy;
    if (bytes.empty() || !copy.ParseFromString(bytes)) {
        return std::nullopt;
    }
    member::ItemList list;
    list.revision = copy.revision();
    for (const auto &item : copy.items()) {
        list.items.push_back({item.key(), item.value(), item.revision(), false});
    }
    return list;
}

std::string writeCopy(const member::ItemList &list)
{
    wire::ItemCopy copy;
    copy.set_revision(list.revision);
    for (const auto &item : list.items) {
        auto *entry = copy.add_items();
        entry->set_key(item.key);
        entry->set_value(item.value);
        entry->set_revision(item.revision);
    }
    return copy.SerializeAsString();
}

std::string pulledPrefix(const std::string &bytes)
{
    wire::ItemPull pull;
    return pull.ParseFromString(bytes) ? pull.prefix() : std::string();
}

} // namespace cyclamenspool::gateway
