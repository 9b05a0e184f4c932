#include <cyclamenspool/policy/keyregister.h>

namespace cyclamenspool::policy {

namespace internal {

constexpr std::size_t maxStoredBytes = 4 * 1024 * 1024; /* of the bodies of stored responses */

} // namespace internal

KeyVerdict KeyRegister::verdictOnKnownKey(const KeyRecord &record, std::uint64_t bodyHash) const
{
    if (record.bodyHash != bodyHash) {
        return KeyVerdict::Conflict;
    }
    if (!record.finished) {
        return KeyVerdict::MayHaveRun;
    }
    return record.answerKept ? KeyVerdict::StoredAnswer : KeyVerdict::AlreadyRun;
}

KeyVerdict KeyRegister::admit(const std::string &key, std::optional<core::WallTime> created, std::uint64_t bodyHash, bool neverSentBefore, core::WallTime at)
{
    if (const auto *record = find(key)) {
        return verdictOnKnownKey(*record, bodyHash);
    }
    if (!neverSentBefore) {
        const auto coveredSince = homeSince_ + bounds_.clockBound;
        if (created && *created > at + bounds_.clockBound) {
            return KeyVerdict::FromFuture;
        }
        if (created && *created + bounds_.retention < at + bounds_.clockBound) {
            return KeyVerdict::Expired;
        }
        const auto earliestCreation = created ? *created : at - bounds_.retention;
        if (earliestCreation <= coveredSince) {
            return KeyVerdict::MayHaveRun;
        }
    }
    insert({key, bodyHash, at, false, false, {}});
    return KeyVerdict::Run;
}

void KeyRegister::insert(KeyRecord record)
{
    expiryQueue_.emplace_back(record.recorded, record.key);
    const auto key = record.key;
    records_.insert_or_assign(key, std::move(record));
}

void KeyRegister::finish(const std::string &key, std::optional<StoredAnswer> response)
{
    const auto found = records_.find(key);
    if (found == records_.end()) {
        return;
    }
    auto &record = found->second;
    record.finished = true;
    if (!response) {
        return;
    }
    record.answerKept = true;
    storedBytes_ += response->body.size();
    record.answer = std::move(*response);
    storedKeys_.push_back(key);
    evictOldestResponses();
}

void KeyRegister::evictOldestResponses()
{
    while (storedBytes_ > internal::maxStoredBytes && !storedKeys_.empty()) {
        const auto found = records_.find(storedKeys_.front());
        storedKeys_.pop_front();
        if (found == records_.end() || !found->second.answerKept) {
            continue;
        }
        storedBytes_ -= found->second.answer.body.size();
        found->second.answer = {};
        found->second.answerKept = false;
    }
}

void KeyRegister::forgetNotSent(const std::string &key)
{
    const auto found = records_.find(key);
    if (found != records_.end() && !found->second.finished) {
        records_.erase(found);
    }
}

const KeyRecord *KeyRegister::find(const std::string &key) const
{
    const auto found = records_.find(key);
    return found == records_.end() ? nullptr : &found->second;
}

void KeyRegister::import(const KeyRecord &record)
{
    if (records_.count(record.key) > 0) {
        return;
    }
    insert(record);
    if (record.answerKept) {
        storedBytes_ += record.answer.body.size();
        storedKeys_.push_back(record.key);
        evictOldestResponses();
    }
}

std::vector<KeyRecord> KeyRegister::exportIf(const std::function<bool(const std::string &)> &predicate) const
{
    std::vector<KeyRecord> exported;
    for (const auto &[key, record] : records_) {
        if (predicate(key)) {
            exported.push_back(record);
        }
    }
    return exported;
}

void KeyRegister::expire(core::WallTime at)
{
    const auto recordLifetime = bounds_.retention + 2 * bounds_.clockBound;
    while (!expiryQueue_.empty() && expiryQueue_.front().first + recordLifetime < at) {
        const auto found = records_.find(expiryQueue_.front().second);
        const bool isCurrent = found != records_.end() && found->second.recorded == expiryQueue_.front().first;
        if (isCurrent) {
            storedBytes_ -= found->second.answerKept ? found->second.answer.body.size() : 0;
            records_.erase(found);
        }
        expiryQueue_.pop_front();
    }
}

} // namespace cyclamenspool::policy
