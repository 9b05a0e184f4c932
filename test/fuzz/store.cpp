#include "check.h"

#include <cyclamenspool/gateway/routetable.h>
#include <cyclamenspool/member/mirror.h>
#include <cyclamenspool/platform/documents.h>
#include <cyclamenspool/platform/storepage.h>

#include <cstdint>

using namespace cyclamenspool;

namespace {

void decode(const member::Item &item)
{
    try {
        const auto document = platform::decode(item);
        if (const auto *routing = std::get_if<world::Routing>(&document)) {
            const gateway::RouteTable table(*routing);
            static_cast<void>(table.find("desk.example", "/a/b"));
            static_cast<void>(table.holderOf("key"));
        }
    } catch (const platform::MalformedValue &) {
    }
}

void take(const platform::StorePage &page)
{
    member::Mirror mirror;
    for (const auto &item : mirror.merge(page.items, page.revision)) {
        decode(item);
    }
    fuzz::check(mirror.revision() == page.revision, "the copy is at the answer's revision");
}

} // namespace

/** @brief An answer of the store, and the values in it. The first byte chooses the kind; value mode takes the rest as one value. */
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    if (size == 0) {
        return 0;
    }
    const std::string bytes(reinterpret_cast<const char *>(data) + 1, size - 1);
    const platform::MalformedItem passOver = [](const std::string &, const std::string &) {};
    switch (data[0] % 4) {
    case 0:
        decode({"op/config", bytes, 7, false});
        break;
    case 1:
        decode({"servers/i-1", bytes, 7, false});
        break;
    default:
        try {
            take(data[0] % 4 == 2 ? platform::readListPage(bytes, passOver) : platform::readWatchPage(bytes, passOver));
        } catch (const std::exception &) {
            // The client drops the connection and asks again.
        }
    }
    return 0;
}
