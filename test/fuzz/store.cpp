#include "check.h"

#include <cyclamenspool/gateway/routetable.h>
#include <cyclamenspool/member/storereplica.h>
#include <cyclamenspool/platform/documents.h>
#include <cyclamenspool/platform/storepage.h>

#include <cstdint>

using namespace cyclamenspool;

namespace {

void decodeItem(const member::StoreItem &item)
{
    try {
        const auto document = platform::decode(item);
        if (const auto *routing = std::get_if<world::RoutingConfig>(&document)) {
            const gateway::RouteTable table(*routing);
            static_cast<void>(table.find("desk.example", "/a/b"));
            static_cast<void>(table.ownerOf("key"));
        }
    } catch (const platform::MalformedValue &) {
    }
}

void mergePage(const platform::StorePage &page)
{
    member::StoreReplica replica;
    for (const auto &item : replica.merge(page.items, page.revision)) {
        decodeItem(item);
    }
    fuzz::check(replica.revision() == page.revision, "the replica is at the revision of the page");
}

} // namespace

/**
 * @brief Fuzzes the store's responses and the values in them.
 *
 * The first byte, modulo 4, selects how the rest is read: 0 a routing value, 1 a server entry, 2 a list page, 3 a watch page.
 */
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    if (size == 0) {
        return 0;
    }
    const std::string bytes(reinterpret_cast<const char *>(data) + 1, size - 1);
    const platform::MalformedItemHandler ignoreMalformedItem = [](const std::string &, const std::string &) {};
    switch (data[0] % 4) {
    case 0:
        decodeItem({"op/config", bytes, 7, false});
        break;
    case 1:
        decodeItem({"servers/i-1", bytes, 7, false});
        break;
    default:
        try {
            mergePage(data[0] % 4 == 2 ? platform::readListPage(bytes, ignoreMalformedItem) : platform::readWatchPage(bytes, ignoreMalformedItem));
        } catch (const std::exception &) {
            // The store client handles this by closing the connection and retrying.
        }
    }
    return 0;
}
