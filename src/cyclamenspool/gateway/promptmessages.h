#pragma once

#include <cyclamenspool/gateway/promptquarantine.h>
#include <cyclamenspool/wire/generated/messages.pb.h>

#include <optional>
#include <string>
#include <vector>

namespace cyclamenspool::gateway {

/** @brief Decodes evidence on prompt parts. @param bytes Serialized message. @return Message; empty if malformed, beyond the limits of PromptEvidence, or to be
 * passed on to more than 1,000 gateways. */
[[nodiscard]] std::optional<wire::PromptNews> decodePromptNews(const std::string &bytes);

/** @brief Returns the evidence in a message that decodePromptNews() has accepted. */
[[nodiscard]] PromptEvidence evidenceOf(const wire::PromptNews &news);

/** @brief Writes losses and survived parts to a message. */
[[nodiscard]] wire::PromptNews encodeEvidence(const PromptEvidence &evidence);

/** @brief Returns the parts in quarantine in a peer update or a zone's totals, at most 512, each with at most 64 companions and a time of at least zero. */
template<typename Message>
[[nodiscard]] std::vector<QuarantinedPart> quarantinedIn(const Message &message)
{
    constexpr std::size_t maxParts = 512;
    std::vector<QuarantinedPart> all;
    for (const auto &entry : message.quarantined()) {
        const bool isPlausible = entry.lasts_ms() > 0 && entry.companions_size() <= static_cast<int>(maxTrackedParts);
        if (isPlausible && all.size() < maxParts) {
            all.push_back({entry.part(), {entry.companions().begin(), entry.companions().end()}, core::Milliseconds(entry.lasts_ms())});
        }
    }
    return all;
}

/** @brief Writes parts in quarantine to a peer update or a zone's totals. */
template<typename Message>
void addQuarantined(Message &message, const std::vector<QuarantinedPart> &parts)
{
    for (const auto &part : parts) {
        auto *entry = message.add_quarantined();
        entry->set_part(part.part);
        entry->mutable_companions()->Add(part.companions.begin(), part.companions.end());
        entry->set_lasts_ms(part.remaining.count());
    }
}

} // namespace cyclamenspool::gateway
