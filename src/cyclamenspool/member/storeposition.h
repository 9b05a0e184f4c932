#pragma once

#include <cstdint>

namespace cyclamenspool::member {

/**
 * @brief Place in the history of the platform's store, ordered by era, then by revision.
 *
 * A store that is restored from an older copy begins a new era and gives out revisions again, so that bare revisions of different eras cannot be compared.
 */
struct StorePosition {
    /** @brief Creates the position before the first change. */
    constexpr StorePosition() noexcept = default;

    /** @brief Creates a position. @param itsEra Era of the store. @param itsRevision Revision in that era; 0: before the first change. */
    constexpr StorePosition(std::uint64_t itsEra, std::uint64_t itsRevision) noexcept
        : era(itsEra)
        , revision(itsRevision)
    {
    }

    friend constexpr bool operator==(const StorePosition &, const StorePosition &) noexcept = default;

    friend constexpr bool operator<(const StorePosition &left, const StorePosition &right) noexcept
    {
        return left.era != right.era ? left.era < right.era : left.revision < right.revision;
    }

    friend constexpr bool operator>(const StorePosition &left, const StorePosition &right) noexcept
    {
        return right < left;
    }

    friend constexpr bool operator<=(const StorePosition &left, const StorePosition &right) noexcept
    {
        return !(right < left);
    }

    friend constexpr bool operator>=(const StorePosition &left, const StorePosition &right) noexcept
    {
        return !(left < right);
    }

    /** @brief Returns whether no change of the era is known. */
    [[nodiscard]] constexpr bool isEmpty() const noexcept
    {
        return revision == 0;
    }

    /** @brief Returns whether changes of the store up to another position can follow on this one: both are of one era, and the other is not earlier. */
    [[nodiscard]] constexpr bool isContinuedBy(const StorePosition &other) const noexcept
    {
        return era == other.era && revision <= other.revision;
    }

    std::uint64_t era = 0; /**< Rises each time that the store is restored; 0 for a store without eras. */
    std::uint64_t revision = 0; /**< Counter of changes within the history of the era. */
};

} // namespace cyclamenspool::member
