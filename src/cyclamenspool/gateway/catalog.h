#pragma once

#include <cyclamenspool/core/now.h>
#include <cyclamenspool/gateway/dispatcher.h>
#include <cyclamenspool/member/mirror.h>

#include <array>
#include <atomic>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace cyclamenspool::gateway {

/** @brief Copies of what the platform publishes; hands each change to the dispatcher. Used on the control thread only, but for isComplete(). */
class Catalog
{
public:
    /** @brief Kinds of items, each followed by itself. */
    enum class Section : int { Operators, Servers, Count };

    /** @brief Creates an empty catalog. @param dispatcher Takes the changes. */
    explicit Catalog(Dispatcher &dispatcher);

    /** @brief Takes a list of the store. @param section Section. @param list List. */
    void onStoreList(Section section, const member::ItemList &list);

    /** @brief Takes changes of the store. @param section Section. @param changes Changes. @param revision Revision up to which they are complete. */
    void onStoreChanges(Section section, const std::vector<member::Item> &changes, std::uint64_t revision);

    /** @brief Takes a failed call to the store. @param section Section. @param reason Cause. */
    void onStoreFailure(Section section, const std::string &reason);

    /** @brief Takes a peer's copy. @param section Section. @param list Copy. */
    void onPeerCopy(Section section, const member::ItemList &list);

    /** @brief Returns a section's copy. @param section Section. @return Items and revision. */
    [[nodiscard]] member::ItemList copy(Section section) const;

    /** @brief Returns a section's revision. @param section Section. @return Revision; 0: nothing was heard. */
    [[nodiscard]] std::uint64_t revision(Section section) const;

    /** @brief Returns the time since the store was last heard on a section. @param section Section. @return Age. */
    [[nodiscard]] core::Milliseconds age(Section section) const;

    /** @brief Tells whether the store's last call on a section failed. @param section Section. @return True if so, and before the first answer. */
    [[nodiscard]] bool isIll(Section section) const;

    /** @brief Tells whether every section was heard. Thread safe. @return True if so. */
    [[nodiscard]] bool isComplete() const noexcept
    {
        return complete_;
    }

    /** @brief Returns the key prefix of a section. @param section Section. @return Prefix. */
    [[nodiscard]] static std::string_view prefixOf(Section section);

    /** @brief Finds a section by its prefix. @param prefix Prefix. @return Section; empty: unknown. */
    [[nodiscard]] static std::optional<Section> sectionOf(std::string_view prefix);

private:
    struct Part {
        member::Mirror mirror;
        core::MonotonicTime heard{};
        bool isIll = true;
    };

    void onStoreWell(Section section);
    void refreshComplete();
    void apply(const std::vector<member::Item> &news, const char *source);
    void applyOne(const member::Item &item, const char *source);
    [[nodiscard]] Part &part(Section section);
    [[nodiscard]] const Part &part(Section section) const;

    Dispatcher &dispatcher_;
    std::array<Part, static_cast<std::size_t>(Section::Count)> parts_;
    std::atomic<bool> complete_{false};
};

} // namespace cyclamenspool::gateway
