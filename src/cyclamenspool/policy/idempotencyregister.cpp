#include <cyclamenspool/policy/idempotencyregister.h>

namespace cyclamenspool::policy {

namespace internal {

constexpr std::size_t maxStoredBytes = 4 * 1024 * 1024; /* of the bodies of stored responses */

} // namespace internal

IdempotencyVerdict IdempotencyRegister::verdictOnKnownKey(const IdempotencyRecord &record, std::uint64_t requestHash) const
{
    if (record.requestHash != requestHash) {
        return IdempotencyVerdict::Conflict;
    }
    if (!record.finished) {
        return IdempotencyVerdict::MayHaveRun;
    }
    return record.hasStoredResponse ? IdempotencyVerdict::Replay : IdempotencyVerdict::AlreadyRun;
}

IdempotencyVerdict IdempotencyRegister::admit(const std::string &key,
                                              std::optional<core::WallTime> created,
                                              std::uint64_t requestHash,
                                              bool neverSentBefore,
                                              core::WallTime at)
{
    if (const auto *record = find(key)) {
        return verdictOnKnownKey(*record, requestHash);
    }
    if (!neverSentBefore) {
        const auto coveredSince = homeSince_ + bounds_.maxClockSkew;
        if (created && *created > at + bounds_.maxClockSkew) {
            return IdempotencyVerdict::FromFuture;
        }
        if (created && *created + bounds_.retention < at + bounds_.maxClockSkew) {
            return IdempotencyVerdict::Expired;
        }
        const auto earliestCreation = created ? *created : at - bounds_.retention;
        if (earliestCreation <= coveredSince) {
            return IdempotencyVerdict::MayHaveRun;
        }
    }
    insert({key, requestHash, at, false, false, {}});
    return IdempotencyVerdict::Run;
}

std::map<std::string, IdempotencyRecord>::iterator IdempotencyRegister::findRecord(const RecordId &id)
{
    const auto found = records_.find(id.key);
    const bool isCurrent = found != records_.end() && found->second.recorded == id.recorded;
    return isCurrent ? found : records_.end();
}

void IdempotencyRegister::insert(IdempotencyRecord record)
{
    expiryQueue_.push_back({record.recorded, record.key});
    const auto key = record.key;
    records_.insert_or_assign(key, std::move(record));
}

void IdempotencyRegister::finish(const std::string &key, std::optional<StoredResponse> response)
{
    const auto found = records_.find(key);
    if (found == records_.end()) {
        return;
    }
    auto &record = found->second;
    record.finished = true;
    if (response && !record.hasStoredResponse) {
        storeResponse(record, std::move(*response));
    }
}

void IdempotencyRegister::storeResponse(IdempotencyRecord &record, StoredResponse response)
{
    record.hasStoredResponse = true;
    record.response = std::move(response);
    storedBytes_ += record.response.body.size();
    storedKeys_.push_back({record.recorded, record.key});
    evictOldestResponses();
}

void IdempotencyRegister::evictOldestResponses()
{
    while (!storedKeys_.empty()) {
        const auto oldest = findRecord(storedKeys_.front());
        const bool isStored = oldest != records_.end() && oldest->second.hasStoredResponse;
        if (isStored && storedBytes_ <= internal::maxStoredBytes) {
            return;
        }
        storedKeys_.pop_front();
        if (isStored) {
            storedBytes_ -= oldest->second.response.body.size();
            oldest->second.response = {};
            oldest->second.hasStoredResponse = false;
        }
    }
}

void IdempotencyRegister::removeUnsent(const std::string &key)
{
    const auto found = records_.find(key);
    if (found != records_.end() && !found->second.finished) {
        records_.erase(found);
    }
}

const IdempotencyRecord *IdempotencyRegister::find(const std::string &key) const
{
    const auto found = records_.find(key);
    return found == records_.end() ? nullptr : &found->second;
}

void IdempotencyRegister::import(const IdempotencyRecord &record)
{
    if (records_.count(record.key) > 0) {
        return;
    }
    auto imported = record;
    imported.hasStoredResponse = false;
    insert(std::move(imported));
    if (record.hasStoredResponse) {
        storeResponse(records_.at(record.key), record.response);
    }
}

std::vector<IdempotencyRecord> IdempotencyRegister::exportIf(const std::function<bool(const std::string &)> &predicate) const
{
    std::vector<IdempotencyRecord> exported;
    for (const auto &[key, record] : records_) {
        if (predicate(key)) {
            exported.push_back(record);
        }
    }
    return exported;
}

void IdempotencyRegister::expire(core::WallTime at)
{
    const auto recordLifetime = bounds_.retention + 2 * bounds_.maxClockSkew;
    while (!expiryQueue_.empty() && expiryQueue_.front().recorded + recordLifetime < at) {
        const auto found = findRecord(expiryQueue_.front());
        if (found != records_.end()) {
            storedBytes_ -= found->second.hasStoredResponse ? found->second.response.body.size() : 0;
            records_.erase(found);
        }
        expiryQueue_.pop_front();
    }
    evictOldestResponses();
}

} // namespace cyclamenspool::policy
