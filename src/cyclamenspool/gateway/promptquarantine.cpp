#include <cyclamenspool/gateway/promptquarantine.h>

#include <algorithm>
#include <tuple>
#include <utility>

namespace cyclamenspool::gateway {

namespace internal {

using core::Milliseconds;

constexpr int begunWeight = 2; /* of a server that was lost as it began to answer */
constexpr int otherWeight = 1; /* of one that was lost at another time, perhaps under another prompt */
constexpr int suspectedWeight = 2 * begunWeight;
constexpr int quarantineWeight = 3 * begunWeight;
constexpr std::size_t maxServersKept = 16; /* of one suspect */
constexpr Milliseconds minEvidenceTime{500}; /* from the first loss; other gateways report answers to prompts with the part within it */
constexpr Milliseconds survivalMemory{10000}; /* an answer clears a part for this time */
constexpr Milliseconds survivalPublishPeriod{5000}; /* for each part; shorter than survivalMemory */
constexpr Milliseconds suspectExpiry{60000}; /* after the last loss */
constexpr Milliseconds quarantineTime{600000}; /* then one more loss is enough for the next quarantine */
constexpr std::size_t maxSuspects = 512;
constexpr std::size_t maxSurvivals = 20000;
constexpr Milliseconds sweepPeriod{1000}; /* of survivals, at capacity */

bool contains(const PromptParts &parts, std::uint64_t part)
{
    return std::find(parts.begin(), parts.end(), part) != parts.end();
}

PromptParts intersectionOf(const PromptParts &first, const PromptParts &second)
{
    PromptParts common;
    std::copy_if(first.begin(), first.end(), std::back_inserter(common), [&second](std::uint64_t part) {
        return contains(second, part);
    });
    return common;
}

} // namespace internal

bool PromptQuarantine::hasSurvived(std::uint64_t part, core::MonotonicTime now) const
{
    const auto found = survivals_.find(part);
    return found != survivals_.end() && now - found->second.survivedAt < internal::survivalMemory;
}

PromptParts PromptQuarantine::unclearedOf(const PromptParts &parts, core::MonotonicTime now) const
{
    PromptParts uncleared;
    std::copy_if(parts.begin(), parts.end(), std::back_inserter(uncleared), [this, now](std::uint64_t part) {
        return !hasSurvived(part, now);
    });
    return uncleared;
}

void PromptQuarantine::onServerLost(const std::string &server, const LostPrompt &prompt, core::MonotonicTime now)
{
    const LostPrompt uncleared{unclearedOf(prompt.parts, now), prompt.isBegun};
    if (uncleared.parts.empty()) {
        return;
    }
    recordLoss(server, uncleared, now);
    auto &losses = unpublished_.losses;
    auto loss = std::find_if(losses.begin(), losses.end(), [&server](const ServerLoss &each) {
        return each.server == server;
    });
    if (loss == losses.end()) {
        if (losses.size() >= maxLossesPerMessage) {
            return;
        }
        loss = losses.insert(losses.end(), {server, {}});
    }
    const bool isNew = std::find(loss->prompts.begin(), loss->prompts.end(), uncleared) == loss->prompts.end();
    if (isNew && loss->prompts.size() < maxPromptsPerLoss) {
        loss->prompts.push_back(uncleared);
    }
}

void PromptQuarantine::recordLoss(const std::string &server, const LostPrompt &prompt, core::MonotonicTime now)
{
    expire(now);
    const auto &parts = prompt.parts;
    if (isLossExplained(server, parts, now)) {
        return;
    }
    for (const auto part : parts) {
        if (suspects_.count(part) == 0 && !makeRoom(now)) {
            continue;
        }
        auto &suspect = suspects_[part];
        if (suspect.firstLossAt == core::MonotonicTime{}) {
            suspect.firstLossAt = now;
            suspect.companions = parts;
        }
        suspect.companions = internal::intersectionOf(suspect.companions, parts);
        suspect.lastLossAt = now;
        addServer(suspect, server, prompt.isBegun ? internal::begunWeight : internal::otherWeight);
    }
}

bool PromptQuarantine::isLossExplained(const std::string &server, const PromptParts &parts, core::MonotonicTime now)
{
    for (auto &[part, suspect] : suspects_) {
        if (suspect.quarantinedUntil <= now) {
            continue;
        }
        if (internal::contains(parts, part)) {
            suspect.companions = internal::intersectionOf(suspect.companions, parts);
            addServer(suspect, server, internal::otherWeight);
            clearExplained(part, suspect, now);
            return true;
        }
        if (hasServer(suspect, server)) {
            return true;
        }
    }
    return false;
}

bool PromptQuarantine::hasServer(const Suspect &suspect, const std::string &server)
{
    return std::any_of(suspect.servers.begin(), suspect.servers.end(), [&server](const LostServer &each) {
        return each.name == server;
    });
}

bool PromptQuarantine::isExplained(std::uint64_t part, const Suspect &suspect) const
{
    return std::any_of(suspects_.begin(), suspects_.end(), [part, &suspect](const auto &entry) {
        const auto &narrower = entry.second;
        const bool isNarrower = internal::contains(narrower.companions, part) && !internal::contains(suspect.companions, entry.first);
        return isNarrower && std::all_of(suspect.servers.begin(), suspect.servers.end(), [&narrower](const LostServer &server) {
                   return hasServer(narrower, server.name);
               });
    });
}

bool PromptQuarantine::isAmbiguous(std::uint64_t part, const Suspect &suspect) const
{
    return std::any_of(suspects_.begin(), suspects_.end(), [part, &suspect](const auto &entry) {
        const auto &other = entry.second;
        const bool isTogether = internal::contains(other.companions, part) || internal::contains(suspect.companions, entry.first);
        return !isTogether && std::all_of(suspect.servers.begin(), suspect.servers.end(), [&other](const LostServer &server) {
            return hasServer(other, server.name);
        });
    });
}

void PromptQuarantine::clearExplained(std::uint64_t part, const Suspect &cause, core::MonotonicTime now)
{
    for (auto entry = suspects_.begin(); entry != suspects_.end();) {
        auto &suspect = entry->second;
        // Parts that always came together are equally likely; an answer to one of them will tell.
        const bool isTied = internal::contains(cause.companions, entry->first) && internal::contains(suspect.companions, part);
        const bool isOther = &suspect != &cause && !isTied && suspect.quarantinedUntil <= now;
        auto &servers = suspect.servers;
        if (isOther) {
            servers.erase(std::remove_if(servers.begin(),
                                         servers.end(),
                                         [&cause](const LostServer &server) {
                                             return hasServer(cause, server.name);
                                         }),
                          servers.end());
        }
        const bool isCleared = isOther && servers.empty() && suspect.earlierWeight == 0;
        entry = isCleared ? suspects_.erase(entry) : std::next(entry);
    }
}

void PromptQuarantine::addServer(Suspect &suspect, const std::string &server, int weight)
{
    auto &servers = suspect.servers;
    const auto known = std::find_if(servers.begin(), servers.end(), [&server](const LostServer &each) {
        return each.name == server;
    });
    if (known != servers.end()) {
        known->weight = std::max(known->weight, weight);
    } else if (servers.size() < internal::maxServersKept) {
        servers.push_back({server, weight});
    }
}

int PromptQuarantine::weightOf(const Suspect &suspect)
{
    int weight = suspect.earlierWeight;
    for (const auto &server : suspect.servers) {
        weight += server.weight;
    }
    return weight;
}

std::vector<std::string> PromptQuarantine::namesOf(const Suspect &suspect)
{
    std::vector<std::string> names;
    for (const auto &server : suspect.servers) {
        names.push_back(server.name);
    }
    return names;
}

bool PromptQuarantine::makeRoom(core::MonotonicTime now)
{
    if (suspects_.size() < internal::maxSuspects) {
        return true;
    }
    const auto rankOf = [now](const Suspect &suspect) {
        const bool isQuarantined = suspect.quarantinedUntil > now;
        return std::make_tuple(isQuarantined, weightOf(suspect), suspect.lastLossAt);
    };
    const auto least = std::min_element(suspects_.begin(), suspects_.end(), [&rankOf](const auto &first, const auto &second) {
        return rankOf(first.second) < rankOf(second.second);
    });
    if (least->second.quarantinedUntil > now) {
        return false;
    }
    suspects_.erase(least);
    return true;
}

void PromptQuarantine::expire(core::MonotonicTime now)
{
    for (auto suspect = suspects_.begin(); suspect != suspects_.end();) {
        const bool isHeld = suspect->second.quarantinedUntil > now || now - suspect->second.lastLossAt < internal::suspectExpiry;
        suspect = isHeld ? std::next(suspect) : suspects_.erase(suspect);
    }
}

void PromptQuarantine::onAnswered(const PromptParts &parts, core::MonotonicTime now)
{
    for (const auto part : parts) {
        recordSurvival(part, now);
        if (suspects_.count(part) > 0) {
            clear(part);
            publishSurvivals({part}, now);
        }
    }
}

void PromptQuarantine::recordSurvival(std::uint64_t part, core::MonotonicTime now)
{
    if (survivals_.size() >= internal::maxSurvivals && now - lastSurvivalSweep_ >= internal::sweepPeriod) {
        lastSurvivalSweep_ = now;
        for (auto survival = survivals_.begin(); survival != survivals_.end();) {
            const bool isOld = now - survival->second.survivedAt >= internal::survivalMemory;
            survival = isOld ? survivals_.erase(survival) : std::next(survival);
        }
    }
    const bool hasRoom = survivals_.size() < internal::maxSurvivals || survivals_.count(part) > 0;
    if (hasRoom) {
        survivals_[part].survivedAt = now;
    }
}

void PromptQuarantine::publishSurvivals(const PromptParts &parts, core::MonotonicTime now)
{
    for (const auto part : parts) {
        auto &publishedAt = survivals_[part].publishedAt;
        const bool isDue = publishedAt == core::MonotonicTime{} || now - publishedAt >= internal::survivalPublishPeriod;
        if (isDue && unpublished_.survived.size() < maxSurvivedPerMessage) {
            publishedAt = now;
            unpublished_.survived.push_back(part);
        }
    }
}

void PromptQuarantine::clear(std::uint64_t part)
{
    const auto found = suspects_.find(part);
    if (found != suspects_.end() && found->second.quarantinedUntil != core::MonotonicTime{}) {
        events_.push_back({part, false, namesOf(found->second)});
    }
    suspects_.erase(part);
    // A prompt needs no sound part in common with the earlier ones to be rejected.
    for (auto &[each, suspect] : suspects_) {
        auto &companions = suspect.companions;
        companions.erase(std::remove(companions.begin(), companions.end(), part), companions.end());
    }
}

void PromptQuarantine::onPeerEvidence(const PromptEvidence &evidence, core::MonotonicTime now)
{
    for (const auto &loss : evidence.losses) {
        for (const auto &prompt : loss.prompts) {
            recordLoss(loss.server, {unclearedOf(prompt.parts, now), prompt.isBegun}, now);
            PromptParts survived;
            std::copy_if(prompt.parts.begin(), prompt.parts.end(), std::back_inserter(survived), [this, now](std::uint64_t part) {
                return hasSurvived(part, now);
            });
            publishSurvivals(survived, now);
        }
    }
    for (const auto part : evidence.survived) {
        recordSurvival(part, now);
        const auto found = survivals_.find(part);
        if (found != survivals_.end()) {
            found->second.publishedAt = now;
        }
        clear(part);
        auto &unsent = unpublished_.survived;
        unsent.erase(std::remove(unsent.begin(), unsent.end(), part), unsent.end());
    }
    for (const auto &quarantined : evidence.quarantined) {
        applyQuarantine(quarantined, now);
    }
}

void PromptQuarantine::applyQuarantine(const QuarantinedPart &quarantined, core::MonotonicTime now)
{
    if (hasSurvived(quarantined.part, now)) {
        publishSurvivals({quarantined.part}, now);
        return;
    }
    const bool isKnown = suspects_.count(quarantined.part) > 0;
    if (!isKnown && !makeRoom(now)) {
        return;
    }
    auto &suspect = suspects_[quarantined.part];
    const bool wasQuarantined = suspect.quarantinedUntil > now;
    const auto companions = unclearedOf(quarantined.companions, now);
    suspect.companions = isKnown ? internal::intersectionOf(suspect.companions, companions) : companions;
    if (!isKnown) {
        suspect.firstLossAt = now;
        suspect.lastLossAt = now;
    }
    if (!wasQuarantined) {
        suspect.quarantinedUntil = now + std::min(quarantined.remaining, internal::quarantineTime);
        events_.push_back({quarantined.part, true, namesOf(suspect)});
        clearExplained(quarantined.part, suspect, now);
    }
}

PromptQuarantine::Suspect *PromptQuarantine::suspectOf(std::uint64_t part, core::MonotonicTime now)
{
    const auto found = suspects_.find(part);
    if (found == suspects_.end()) {
        return nullptr;
    }
    auto &suspect = found->second;
    const bool hasQuarantineEnded = suspect.quarantinedUntil != core::MonotonicTime{} && suspect.quarantinedUntil <= now;
    if (hasQuarantineEnded) {
        events_.push_back({part, false, namesOf(suspect)});
        suspect.quarantinedUntil = {};
        suspect.lastLossAt = now;
        suspect.servers.clear();
        suspect.earlierWeight = internal::quarantineWeight - internal::begunWeight;
    }
    return &suspect;
}

bool PromptQuarantine::isQuarantined(std::uint64_t part, Suspect &suspect, core::MonotonicTime now)
{
    if (suspect.quarantinedUntil > now) {
        return true;
    }
    const int weight = weightOf(suspect);
    const bool hasEvidence = weight >= internal::quarantineWeight && now - suspect.firstLossAt >= internal::minEvidenceTime;
    const bool isLikeliest = weight >= 2 * internal::quarantineWeight || !isAmbiguous(part, suspect);
    const bool isProved = hasEvidence && isLikeliest && !isExplained(part, suspect);
    if (isProved) {
        suspect.quarantinedUntil = now + internal::quarantineTime;
        events_.push_back({part, true, namesOf(suspect)});
        clearExplained(part, suspect, now);
    }
    return isProved;
}

PromptQuarantine::Verdict PromptQuarantine::check(const PromptParts &parts, core::MonotonicTime now)
{
    if (suspects_.empty()) {
        return Verdict::Clear;
    }
    auto verdict = Verdict::Clear;
    for (const auto part : parts) {
        auto *suspect = suspectOf(part, now);
        if (suspect == nullptr) {
            continue;
        }
        const bool hasCompanions = std::all_of(suspect->companions.begin(), suspect->companions.end(), [&parts](std::uint64_t companion) {
            return internal::contains(parts, companion);
        });
        if (!hasCompanions) {
            continue;
        }
        if (isQuarantined(part, *suspect, now)) {
            return Verdict::Quarantined;
        }
        if (weightOf(*suspect) >= internal::suspectedWeight) {
            verdict = Verdict::Suspected;
        }
    }
    return verdict;
}

PromptEvidence PromptQuarantine::takeEvidence()
{
    return std::exchange(unpublished_, {});
}

std::vector<QuarantinedPart> PromptQuarantine::quarantined(core::MonotonicTime now) const
{
    std::vector<QuarantinedPart> all;
    for (const auto &[part, suspect] : suspects_) {
        if (suspect.quarantinedUntil > now) {
            all.push_back({part, suspect.companions, std::chrono::duration_cast<core::Milliseconds>(suspect.quarantinedUntil - now)});
        }
    }
    return all;
}

std::vector<QuarantineEvent> PromptQuarantine::takeEvents()
{
    return std::exchange(events_, {});
}

} // namespace cyclamenspool::gateway
