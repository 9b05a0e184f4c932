#pragma once

#include <cyclamenspool/core/now.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace cyclamenspool::gateway {

/** @brief Ids of the parts of a prompt that other prompts may share. A whole request that may come again counts as such a part, by its fingerprint. */
using PromptParts = std::vector<std::uint64_t>;

/** @brief Prompt whose backend server closed the connection before or soon after it began to answer. */
struct LostPrompt {
    PromptParts parts;
    bool isBegun = false; /**< The connection ended between the response headers and the first byte of the body, or the request has no prompt. */

    [[nodiscard]] bool operator==(const LostPrompt &) const = default;
};

/** @brief Backend server that closed connections, with the prompts in flight there. */
struct ServerLoss {
    std::string server; /**< Name of its process: id and, if known, start time. */
    std::vector<LostPrompt> prompts;
};

/** @brief Prompt part whose requests are rejected. */
struct QuarantinedPart {
    std::uint64_t part = 0;
    PromptParts companions; /**< Parts that were in each prompt with it, itself included; only prompts with all of them are rejected. */
    core::Milliseconds remaining{0}; /**< Time until the quarantine ends. */
};

inline constexpr std::size_t maxTrackedParts = 64; /* of one prompt; further ones are ignored */
inline constexpr std::size_t maxLossesPerMessage = 64; /* servers */
inline constexpr std::size_t maxPromptsPerLoss = 16;
inline constexpr std::size_t maxSurvivedPerMessage = 512;

/** @brief What gateways tell each other about prompt parts, within the limits above. */
struct PromptEvidence {
    std::vector<ServerLoss> losses;
    PromptParts survived; /**< Suspected parts that a backend server has answered. */
    std::vector<QuarantinedPart> quarantined;
};

/** @brief Start or end of a quarantine, for the log. */
struct QuarantineEvent {
    std::uint64_t part = 0;
    bool isQuarantined = false; /**< False: released. */
    std::vector<std::string> servers; /**< Ids of backend servers that were lost under it; empty if a peer reported the quarantine. */
};

/**
 * @brief Finds prompt parts that crash each backend server that begins to answer them. Without I/O; not thread safe.
 *
 * A backend server that closes the connection of a request before it has answered for a while makes each part of that prompt a suspect, unless an answer to a
 * prompt with the part was seen recently. An answer clears a part. A part under which three servers were lost as they began to answer, or six at another time,
 * without an answer for half a second, is quarantined: a server that crashes also loses other prompts. While all those servers were lost under another part as
 * well that never came with it, twice as many are needed, as either may be the cause.
 */
class PromptQuarantine
{
public:
    /** @brief What to do with a request. */
    enum class Verdict : int {
        Clear, /**< No restriction. */
        Suspected, /**< May be sent once, but not retried. */
        Quarantined, /**< Must not be sent. */
    };

    /** @brief Records an own request whose backend server closed the connection before it had answered for a while. */
    void onServerLost(const std::string &server, const LostPrompt &prompt, core::MonotonicTime now);

    /** @brief Records an own request that a backend server is answering or has answered. */
    void onAnswered(const PromptParts &parts, core::MonotonicTime now);

    /** @brief Applies evidence from another gateway. */
    void onPeerEvidence(const PromptEvidence &evidence, core::MonotonicTime now);

    /** @brief Returns what to do with a request. @param parts Shared parts of its prompt. */
    [[nodiscard]] Verdict check(const PromptParts &parts, core::MonotonicTime now);

    /** @brief Returns this gateway's losses and survived parts since the previous call, for all other gateways. */
    [[nodiscard]] PromptEvidence takeEvidence();

    /** @brief Returns the parts in quarantine. */
    [[nodiscard]] std::vector<QuarantinedPart> quarantined(core::MonotonicTime now) const;

    /** @brief Returns the quarantines that started or ended since the previous call. */
    [[nodiscard]] std::vector<QuarantineEvent> takeEvents();

    /** @brief Returns the number of parts that are suspected or in quarantine, at most 512. */
    [[nodiscard]] std::size_t suspectCount() const noexcept
    {
        return suspects_.size();
    }

private:
    struct LostServer {
        std::string name;
        int weight = 0;
    };
    struct Suspect {
        std::vector<LostServer> servers; /* lost under it, distinct */
        int earlierWeight = 0; /* of servers lost before an earlier quarantine */
        PromptParts companions; /* in each prompt with it */
        core::MonotonicTime firstLossAt{};
        core::MonotonicTime lastLossAt{};
        core::MonotonicTime quarantinedUntil{};
    };
    struct Survival {
        core::MonotonicTime survivedAt{};
        core::MonotonicTime publishedAt{};
    };

    [[nodiscard]] bool hasSurvived(std::uint64_t part, core::MonotonicTime now) const;
    [[nodiscard]] PromptParts unclearedOf(const PromptParts &parts, core::MonotonicTime now) const;
    [[nodiscard]] Suspect *suspectOf(std::uint64_t part, core::MonotonicTime now);
    [[nodiscard]] bool isQuarantined(std::uint64_t part, Suspect &suspect, core::MonotonicTime now);
    void recordLoss(const std::string &server, const LostPrompt &prompt, core::MonotonicTime now);
    [[nodiscard]] bool makeRoom(core::MonotonicTime now); /* false if all suspects are in quarantine */
    [[nodiscard]] bool isLossExplained(const std::string &server, const PromptParts &parts, core::MonotonicTime now); /* by a part in quarantine */
    [[nodiscard]] bool isExplained(std::uint64_t part, const Suspect &suspect) const; /* by a part that is in fewer prompts, lost at the same servers */
    [[nodiscard]] bool isAmbiguous(std::uint64_t part, const Suspect &suspect) const; /* a part that did not come with it was lost at the same servers */
    void clearExplained(std::uint64_t part, const Suspect &cause, core::MonotonicTime now); /* of other parts: losses that one in quarantine explains */
    [[nodiscard]] static bool hasServer(const Suspect &suspect, const std::string &server);
    static void addServer(Suspect &suspect, const std::string &server, int weight);
    [[nodiscard]] static int weightOf(const Suspect &suspect);
    [[nodiscard]] static std::vector<std::string> namesOf(const Suspect &suspect);
    void applyQuarantine(const QuarantinedPart &quarantined, core::MonotonicTime now);
    void publishSurvivals(const PromptParts &parts, core::MonotonicTime now);
    void recordSurvival(std::uint64_t part, core::MonotonicTime now);
    void clear(std::uint64_t part);
    void expire(core::MonotonicTime now);

    std::unordered_map<std::uint64_t, Suspect> suspects_; /* by part */
    std::unordered_map<std::uint64_t, Survival> survivals_; /* by part */
    core::MonotonicTime lastSurvivalSweep_{};
    PromptEvidence unpublished_;
    std::vector<QuarantineEvent> events_;
};

} // namespace cyclamenspool::gateway
