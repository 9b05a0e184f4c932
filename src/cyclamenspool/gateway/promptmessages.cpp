#include <cyclamenspool/gateway/promptmessages.h>

#include <algorithm>

namespace cyclamenspool::gateway {

namespace internal {

constexpr int maxPromptPassTo = 1000; /* gateways in one group of a zone */

bool isLossPlausible(const wire::PromptLoss &loss)
{
    const auto &prompts = loss.prompts();
    return prompts.size() <= static_cast<int>(maxPromptsPerLoss) && std::all_of(prompts.begin(), prompts.end(), [](const wire::LostPrompt &prompt) {
               return prompt.parts_size() <= static_cast<int>(maxTrackedParts);
           });
}

} // namespace internal

std::optional<wire::PromptNews> decodePromptNews(const std::string &bytes)
{
    wire::PromptNews news;
    if (bytes.empty() || !news.ParseFromString(bytes)) {
        return std::nullopt;
    }
    const bool areSizesPlausible = news.losses_size() <= static_cast<int>(maxLossesPerMessage)
        && news.survived_size() <= static_cast<int>(maxSurvivedPerMessage) && news.pass_to_size() <= internal::maxPromptPassTo;
    const bool isPlausible = areSizesPlausible && std::all_of(news.losses().begin(), news.losses().end(), internal::isLossPlausible);
    return isPlausible ? std::optional(std::move(news)) : std::nullopt;
}

PromptEvidence evidenceOf(const wire::PromptNews &news)
{
    PromptEvidence evidence;
    for (const auto &loss : news.losses()) {
        auto &entry = evidence.losses.emplace_back();
        entry.server = loss.backend_server();
        for (const auto &prompt : loss.prompts()) {
            entry.prompts.push_back({{prompt.parts().begin(), prompt.parts().end()}, prompt.begun()});
        }
    }
    evidence.survived.assign(news.survived().begin(), news.survived().end());
    return evidence;
}

wire::PromptNews encodeEvidence(const PromptEvidence &evidence)
{
    wire::PromptNews news;
    for (const auto &loss : evidence.losses) {
        auto *entry = news.add_losses();
        entry->set_backend_server(loss.server);
        for (const auto &prompt : loss.prompts) {
            auto *lost = entry->add_prompts();
            lost->mutable_parts()->Add(prompt.parts.begin(), prompt.parts.end());
            lost->set_begun(prompt.isBegun);
        }
    }
    news.mutable_survived()->Add(evidence.survived.begin(), evidence.survived.end());
    return news;
}

} // namespace cyclamenspool::gateway
