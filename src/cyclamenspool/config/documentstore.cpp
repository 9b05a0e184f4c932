#include <cyclamenspool/config/documentstore.h>

namespace cyclamenspool::config {

namespace internal {

constexpr std::size_t maxHistoryLength = 256; /* changes kept per document to build deltas from */
constexpr const char *vmListName = "vms";

Rows diffRows(const Rows &before, const Rows &after)
{
    Document document;
    document.apply(0, before);
    return document.replace(0, after);
}

} // namespace internal

DocumentStore::DocumentStore(std::vector<std::string> names)
    : table_(std::make_shared<const Table>())
{
    for (auto &name : names) {
        entries_.try_emplace(std::move(name));
    }
    entries_.try_emplace(internal::vmListName);
}

OfferResult DocumentStore::validateAndApply(const std::string &name, Entry &entry, std::uint64_t revision, const Rows &changes, std::string &errors)
{
    auto next = std::make_shared<Table>(*table_);
    try {
        next->apply(changes);
        next->checkReferences(name);
    } catch (const InvalidInput &error) {
        errors = error.what();
        return OfferResult::Refused;
    }
    entry.history.push_back({entry.document.revision(), entry.document.digest(), revision, changes});
    if (entry.history.size() > internal::maxHistoryLength) {
        entry.history.pop_front();
    }
    entry.document.apply(revision, changes);
    table_ = std::move(next);
    return OfferResult::Accepted;
}

OfferResult DocumentStore::offer(const std::string &name, std::uint64_t revision, const std::string &text, std::string &errors)
{
    const std::lock_guard lock(mutex_);
    const auto found = entries_.find(name);
    if (found == entries_.end() || revision <= found->second.document.revision()) {
        return OfferResult::Outdated;
    }
    try {
        const auto changes = internal::diffRows(found->second.document.rows(), parseRows(text, name));
        return validateAndApply(name, found->second, revision, changes, errors);
    } catch (const InvalidInput &error) {
        errors = error.what();
        return OfferResult::Refused;
    }
}

OfferResult DocumentStore::offer(const wire::DocumentDelta &delta)
{
    const std::lock_guard lock(mutex_);
    const auto found = entries_.find(delta.name());
    if (found == entries_.end() || delta.revision() <= found->second.document.revision()) {
        return OfferResult::Outdated;
    }
    auto &entry = found->second;
    const bool isSnapshot = delta.base_revision() == 0;
    const bool matchesBase = delta.base_revision() == entry.document.revision() && delta.base_digest() == entry.document.digest();
    if (!isSnapshot && !matchesBase) {
        return OfferResult::NeedsSnapshot;
    }
    Rows rows;
    for (const auto &row : delta.rows()) {
        rows[row.key()] = row.text();
    }
    const auto changes = isSnapshot ? internal::diffRows(entry.document.rows(), rows) : rows;
    Document updated = entry.document;
    updated.apply(delta.revision(), changes);
    if (updated.digest() != delta.digest()) {
        return isSnapshot ? OfferResult::Refused : OfferResult::NeedsSnapshot;
    }
    std::string errors;
    return validateAndApply(delta.name(), entry, delta.revision(), changes, errors);
}

std::vector<wire::DocumentState> DocumentStore::states() const
{
    const std::lock_guard lock(mutex_);
    std::vector<wire::DocumentState> states;
    for (const auto &[name, entry] : entries_) {
        wire::DocumentState state;
        state.set_name(name);
        state.set_revision(entry.document.revision());
        state.set_digest(entry.document.digest());
        states.push_back(std::move(state));
    }
    return states;
}

wire::DocumentDelta DocumentStore::makeDelta(const std::string &name, const Entry &entry, const wire::DocumentState &peerState) const
{
    wire::DocumentDelta delta;
    delta.set_name(name);
    delta.set_revision(entry.document.revision());
    delta.set_digest(entry.document.digest());
    Rows rows;
    bool isInHistory = false;
    for (const auto &change : entry.history) {
        isInHistory = isInHistory || (change.baseRevision == peerState.revision() && change.baseDigest == peerState.digest() && peerState.revision() > 0);
        if (isInHistory) {
            for (const auto &[key, text] : change.rows) {
                rows[key] = text;
            }
        }
    }
    if (isInHistory) {
        delta.set_base_revision(peerState.revision());
        delta.set_base_digest(peerState.digest());
    } else {
        rows = entry.document.rows();
    }
    for (const auto &[key, text] : rows) {
        auto *row = delta.add_rows();
        row->set_key(key);
        row->set_text(text);
    }
    return delta;
}

std::vector<wire::DocumentDelta> DocumentStore::deltasFor(const std::vector<wire::DocumentState> &peerStates) const
{
    const std::lock_guard lock(mutex_);
    std::vector<wire::DocumentDelta> deltas;
    for (const auto &peerState : peerStates) {
        const auto found = entries_.find(peerState.name());
        if (found == entries_.end() || found->second.document.revision() <= peerState.revision()) {
            continue;
        }
        deltas.push_back(makeDelta(found->first, found->second, peerState));
    }
    return deltas;
}

std::shared_ptr<const Table> DocumentStore::table() const
{
    const std::lock_guard lock(mutex_);
    return table_;
}

std::uint64_t DocumentStore::tableRevision() const
{
    const std::lock_guard lock(mutex_);
    std::uint64_t sum = 0;
    for (const auto &[name, entry] : entries_) {
        if (name != internal::vmListName) {
            sum += entry.document.revision();
        }
    }
    return sum;
}

std::uint64_t DocumentStore::revision(const std::string &name) const
{
    const std::lock_guard lock(mutex_);
    const auto found = entries_.find(name);
    return found == entries_.end() ? 0 : found->second.document.revision();
}

} // namespace cyclamenspool::config
