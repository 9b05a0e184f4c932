#include <cyclamenspool/gateway/historyprefixes.h>

#include <cyclamenspool/core/hash.h>

#include <algorithm>

namespace cyclamenspool::gateway {

namespace internal {

constexpr std::size_t maxPrefixes = 8; /* longer prompts are identified by their longest prefixes */

std::uint64_t hashOfKey(std::uint64_t value)
{
    const auto hash = core::hash64(value);
    return hash == 0 ? 1 : hash;
}

/** @brief Returns whether a shorter prefix is most of the history, and, as far as is known, of no other one. */
bool isEarlierTurn(const HistoryDirectory &directory, const HistoryPrefix &prefix, const HistoryPrefix &next, const HistoryPrefix &history)
{
    const auto continuation = directory.continuationOf(prefix.key);
    const bool isShared = continuation != 0 && continuation != next.key;
    return !isShared && prefix.tokens >= history.tokens - prefix.tokens;
}

} // namespace internal

std::vector<HistoryPrefix> historyPrefixesOf(const std::vector<platform::PromptPart> &parts)
{
    std::vector<HistoryPrefix> prefixes;
    if (parts.empty()) {
        return prefixes;
    }
    const auto count = std::max<std::size_t>(parts.size() - 1, 1);
    HistoryPrefix prefix;
    for (std::size_t i = 0; i < count; ++i) {
        prefix.key = internal::hashOfKey(prefix.key ^ parts[i].id);
        prefix.tokens += i + 1 < parts.size() ? parts[i].tokens : 0;
        if (i + internal::maxPrefixes >= count) {
            prefixes.push_back(prefix);
        }
    }
    return prefixes;
}

HistoryHolders findHistoryHolders(const HistoryDirectory &directory, const std::vector<HistoryPrefix> &prefixes, core::MonotonicTime now)
{
    HistoryHolders holders;
    for (auto i = prefixes.size(); i-- > 0;) {
        auto ids = directory.holdersOf(prefixes[i].key, now);
        if (ids.empty()) {
            continue;
        }
        const bool isLongest = i + 1 == prefixes.size();
        const bool isWhole = isLongest || internal::isEarlierTurn(directory, prefixes[i], prefixes[i + 1], prefixes.back());
        (isWhole ? holders.whole : holders.beginning) = std::move(ids);
        holders.tokens = prefixes[i].tokens;
        return holders;
    }
    return holders;
}

} // namespace cyclamenspool::gateway
