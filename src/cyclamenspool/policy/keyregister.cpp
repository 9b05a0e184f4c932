#include <cyclamenspool/policy/keyregister.h>

namespace cyclamenspool::policy {

namespace internal {

constexpr std::size_t answerBytesLimit = 4 * 1024 * 1024; /* bytes of stored answers */

} // namespace internal

KeyVerdict KeyRegister::verdictOnRepeat(const KeyRecord &record, std::uint64_t bodyHash) const
{
    if (record.bodyHash != bodyHash) {
        return KeyVerdict::Conflict;
    }
    if (!record.finished) {
        return KeyVerdict::MayHaveRun;
    }
    return record.answerKept ? KeyVerdict::StoredAnswer : KeyVerdict::AlreadyRun;
}

KeyVerdict KeyRegister::admit(const std::string &key, std::optional<core::WallTime> created, std::uint64_t bodyHash, bool knownFresh, core::WallTime at)
{
    if (const auto *record = find(key)) {
        return verdictOnRepeat(*record, bodyHash);
    }
    if (!knownFresh) {
        const auto oldestKnown = homeSince_ + bounds_.clockBound;
        if (created && *created > at + bounds_.clockBound) {
            return KeyVerdict::FromFuture;
        }
        if (created && *created + bounds_.retention < at + bounds_.clockBound) {
            return KeyVerdict::Expired;
        }
        const auto since = created ? *created : at - bounds_.retention;
        if (since <= oldestKnown) {
            return KeyVerdict::MayHaveRun;
        }
    }
    insert({key, bodyHash, at, false, false, {}});
    return KeyVerdict::Run;
}

void KeyRegister::insert(KeyRecord record)
{
    order_.emplace_back(record.recorded, record.key);
    const auto key = record.key;
    records_.insert_or_assign(key, std::move(record));
}

void KeyRegister::finish(const std::string &key, std::optional<StoredAnswer> answer)
{
    const auto found = records_.find(key);
    if (found == records_.end()) {
        return;
    }
    auto &record = found->second;
    record.finished = true;
    if (!answer) {
        return;
    }
    record.answerKept = true;
    answerBytes_ += answer->body.size();
    record.answer = std::move(*answer);
    answers_.push_back(key);
    boundAnswers();
}

void KeyRegister::boundAnswers()
{
    while (answerBytes_ > internal::answerBytesLimit && !answers_.empty()) {
        const auto found = records_.find(answers_.front());
        answers_.pop_front();
        if (found == records_.end() || !found->second.answerKept) {
            continue;
        }
        answerBytes_ -= found->second.answer.body.size();
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
        answerBytes_ += record.answer.body.size();
        answers_.push_back(record.key);
        boundAnswers();
    }
}

std::vector<KeyRecord> KeyRegister::exportIf(const std::function<bool(const std::string &)> &moved) const
{
    std::vector<KeyRecord> exported;
    for (const auto &[key, record] : records_) {
        if (moved(key)) {
            exported.push_back(record);
        }
    }
    return exported;
}

void KeyRegister::expire(core::WallTime at)
{
    const auto keepFor = bounds_.retention + 2 * bounds_.clockBound;
    while (!order_.empty() && order_.front().first + keepFor < at) {
        const auto found = records_.find(order_.front().second);
        const bool same = found != records_.end() && found->second.recorded == order_.front().first;
        if (same) {
            answerBytes_ -= found->second.answerKept ? found->second.answer.body.size() : 0;
            records_.erase(found);
        }
        order_.pop_front();
    }
}

} // namespace cyclamenspool::policy
