#pragma once

#include <cyclamenspool/member/mirror.h>
#include <cyclamenspool/world/backendserver.h>
#include <cyclamenspool/world/route.h>

#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>
#include <variant>

namespace cyclamenspool::platform {

/** @brief A value that cannot be read. */
class MalformedValue : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/** @brief A zone that gets no new work, or that may get it again. */
struct ZoneMark {
    std::string zone;
    bool isLeaving = false;
};

/** @brief An entry of the list of backend servers that is gone. */
struct GoneServer {
    std::string id;
};

/** @brief An item that the system does not use. */
struct Unused {
};

using Document = std::variant<world::Routing, world::BackendServer, GoneServer, ZoneMark, Unused>;

/** @brief Prefixes of the store's keys that the system reads. */
inline constexpr std::string_view operatorPrefix = "op/";
inline constexpr std::string_view serverPrefix = "servers/";

/** @brief Decodes an item. @param item Item. @return Its meaning. @throws MalformedValue With the key and the field. */
[[nodiscard]] Document decode(const member::Item &item);

} // namespace cyclamenspool::platform
