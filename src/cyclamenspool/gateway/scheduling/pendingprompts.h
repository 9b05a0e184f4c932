#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

namespace cyclamenspool::gateway::scheduling {

/** @brief Number of urgencies; 0 is the most urgent. */
inline constexpr std::size_t urgencyCount = 10;

/** @brief Returns the index of an urgency; one out of range counts as the nearest in range. */
[[nodiscard]] std::size_t urgencyIndex(int urgency) noexcept;

/** @brief Prompt that a backend server has to process before a request's first event. */
struct PromptWork {
    std::uint32_t tokens = 0; /**< Prompt tokens that are probably not in the server's prompt cache. */
    int urgency = 0; /**< 0 is the most urgent. */
};

/** @brief Sum of prompts that wait for their first event. */
struct PromptSum {
    double tokens = 0;
    double requests = 0;
};

/** @brief Prompts that wait for their first event, by urgency. Not thread safe. */
class PendingPrompts
{
public:
    /** @brief Adds a prompt. */
    void add(const PromptWork &work) noexcept;

    /** @brief Removes a prompt that was added with the same values. */
    void remove(const PromptWork &work) noexcept;

    /** @brief Returns the sum of the prompts that are at least as urgent: those that a backend server admits first. */
    [[nodiscard]] PromptSum upTo(int urgency) const noexcept;

private:
    std::array<PromptSum, urgencyCount> sums_; /* by urgency */
};

} // namespace cyclamenspool::gateway::scheduling
