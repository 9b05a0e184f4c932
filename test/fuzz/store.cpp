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
    for (const auto &item : replica.merge(page.items, page.position)) {
        decodeItem(item);
    }
    fuzz::check(replica.position() == page.position, "the replica is at the position of the page");
    const auto before = replica.toSnapshot();
    const member::StorePosition restored(page.position.era + 1, 1);
    if (!before.position.isEmpty()) {
        static_cast<void>(replica.merge(page.items, restored));
        fuzz::check(replica.position() == before.position, "changes do not lead to a later era");
    }
    static_cast<void>(replica.replace({{}, restored}));
    fuzz::check(replica.position() == restored && replica.items().empty(), "a list of a later era replaces the replica");
    static_cast<void>(replica.replace(before));
    fuzz::check(replica.position() == restored && replica.items().empty(), "a snapshot of an earlier era is ignored");
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
        decodeItem({"op/config", bytes, {0, 7}, false});
        break;
    case 1:
        decodeItem({"servers/i-1", bytes, {0, 7}, false});
        break;
    default:
        try {
            mergePage(data[0] % 4 == 2 ? platform::readListPage(bytes, 0, ignoreMalformedItem) : platform::readWatchPage(bytes, 0, ignoreMalformedItem));
        } catch (const std::exception &) {
            // The store client handles this by closing the connection and retrying.
        }
    }
    return 0;
}
