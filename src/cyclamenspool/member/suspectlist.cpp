#include <cyclamenspool/member/suspectlist.h>

#include <algorithm>

namespace cyclamenspool::member {

void SuspectList::noteFailure(const std::string &member, core::MonotonicTime at)
{
    auto &suspicion = suspicions_[member];
    if (suspicion.until > at) {
        return;
    }
    const bool repeated = suspicion.duration.count() > 0 && at - suspicion.lastFailure < periods_.forgetAfter;
    suspicion.duration = repeated ? std::min(2 * suspicion.duration, periods_.longest) : periods_.shortest;
    suspicion.until = at + suspicion.duration;
    suspicion.lastFailure = at;
}

void SuspectList::noteAnswer(const std::string &member, core::MonotonicTime at)
{
    const auto found = suspicions_.find(member);
    if (found == suspicions_.end()) {
        return;
    }
    found->second.until = std::min(found->second.until, at);
    if (at - found->second.lastFailure >= periods_.forgetAfter) {
        suspicions_.erase(found);
    }
}

bool SuspectList::isSuspect(const std::string &member, core::MonotonicTime at) const
{
    const auto found = suspicions_.find(member);
    return found != suspicions_.end() && found->second.until > at;
}

} // namespace cyclamenspool::member
