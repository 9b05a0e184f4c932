#include <cyclamenspool/member/suspectlist.h>

#include <algorithm>

namespace cyclamenspool::member {

void SuspectList::recordFailure(const std::string &member, core::MonotonicTime at)
{
    auto &suspicion = suspicions_[member];
    if (suspicion.until > at) {
        return;
    }
    const bool repeated = suspicion.duration.count() > 0 && at - suspicion.lastFailure < periods_.resetAfter;
    suspicion.duration = repeated ? std::min(2 * suspicion.duration, periods_.maximum) : periods_.initial;
    suspicion.until = at + suspicion.duration;
    suspicion.lastFailure = at;
}

void SuspectList::recordSuccess(const std::string &member, core::MonotonicTime at)
{
    const auto found = suspicions_.find(member);
    if (found == suspicions_.end()) {
        return;
    }
    found->second.until = std::min(found->second.until, at);
    if (at - found->second.lastFailure >= periods_.resetAfter) {
        suspicions_.erase(found);
    }
}

bool SuspectList::isSuspect(const std::string &member, core::MonotonicTime at) const
{
    const auto found = suspicions_.find(member);
    return found != suspicions_.end() && found->second.until > at;
}

} // namespace cyclamenspool::member
