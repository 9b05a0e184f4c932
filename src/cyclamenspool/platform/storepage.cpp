#include <cyclamenspool/platform/storepage.h>

#include <boost/archive/iterators/binary_from_base64.hpp>
#include <boost/archive/iterators/transform_width.hpp>
#include <boost/json/parse.hpp>

#include <stdexcept>
#include <string_view>

namespace cyclamenspool::platform {

namespace json = boost::json;

namespace internal {

std::string decodeBase64(std::string_view text)
{
    namespace iterators = boost::archive::iterators;
    using Decoder = iterators::transform_width<iterators::binary_from_base64<const char *>, 8, 6>;
    const auto last = text.find_last_not_of('=');
    const auto digits = last == std::string_view::npos ? std::string_view() : text.substr(0, last + 1);
    constexpr std::size_t digitBits = 6;
    std::string bytes(Decoder(digits.begin()), Decoder(digits.end()));
    bytes.resize(digits.size() * digitBits / 8);
    return bytes;
}

member::StoreItem itemOf(const json::object &object, std::uint64_t era)
{
    member::StoreItem item;
    item.key = std::string(object.at("key").as_string());
    // Revision of the item's last change, not the store's revision.
    item.position = {era, object.at("revision").to_number<std::uint64_t>()};
    const auto *deleted = object.if_contains("deleted");
    item.isDeleted = deleted != nullptr && deleted->is_bool() && deleted->as_bool();
    return item;
}

std::string keyOf(const json::value &entry)
{
    const auto *object = entry.if_object();
    const auto *key = object == nullptr ? nullptr : object->if_contains("key");
    return key != nullptr && key->is_string() ? std::string(key->as_string()) : std::string("?");
}

/** @brief Decodes the items of a response. Items that cannot be decoded are skipped and passed to the handler. */
std::vector<member::StoreItem> itemsOf(const json::value &list, std::uint64_t era, const MalformedItemHandler &onMalformed)
{
    std::vector<member::StoreItem> items;
    for (const auto &entry : list.as_array()) {
        try {
            auto item = itemOf(entry.as_object(), era);
            if (!item.isDeleted) {
                item.value = decodeBase64(entry.as_object().at("value").as_string());
            }
            items.push_back(std::move(item));
        } catch (const std::exception &error) {
            onMalformed(keyOf(entry), error.what());
        }
    }
    return items;
}

} // namespace internal

std::string watchTarget(const std::string &prefix, const member::StorePosition &position, std::chrono::milliseconds wait)
{
    return "/-/kv-watch?prefix=" + prefix + "&after=" + std::to_string(position.revision) + "&wait_ms=" + std::to_string(wait.count());
}

StorePage readListPage(const std::string &body, std::uint64_t era, const MalformedItemHandler &onMalformed)
{
    const auto response = json::parse(body);
    const auto &object = response.as_object();
    const auto &entries = object.at("items");
    StorePage page;
    page.position = {era, object.at("store_revision").to_number<std::uint64_t>()};
    page.items = internal::itemsOf(entries, era, onMalformed);
    page.hasMore = object.at("more_pages").as_bool() && !entries.as_array().empty();
    if (page.hasMore && page.items.empty()) {
        throw std::runtime_error("a page of the list has no readable item, so the next one cannot be requested");
    }
    if (page.hasMore) {
        // An unreadable last item may have no key; the next page then begins with it once more.
        page.lastKey = page.items.back().key;
    }
    return page;
}

StorePage readWatchPage(const std::string &body, std::uint64_t era, const MalformedItemHandler &onMalformed)
{
    const auto response = json::parse(body);
    const auto &object = response.as_object();
    StorePage page;
    page.position = {era, object.at("store_revision").to_number<std::uint64_t>()};
    page.items = internal::itemsOf(object.at("events"), era, onMalformed);
    return page;
}

} // namespace cyclamenspool::platform
