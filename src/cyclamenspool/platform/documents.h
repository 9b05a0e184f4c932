#pragma once

#include <cyclamenspool/member/storereplica.h>
#include <cyclamenspool/world/backendserver.h>
#include <cyclamenspool/world/route.h>

#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>
#include <variant>

namespace cyclamenspool::platform {

/** @brief Thrown when a stored value cannot be decoded. */
class MalformedValue : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/** @brief Start or end of the evacuation of a zone, during which the zone gets no new requests. */
struct ZoneEvacuation {
    std::string zone;
    bool isActive = false; /**< False: the evacuation has ended. */
};

/** @brief Removal of a backend server's entry. */
struct RemovedServer {
    std::string id;
};

/** @brief Item that changes nothing: its key is not used by this system, or it is the deletion of the routing configuration. */
struct IgnoredItem {
};

/** @brief Decoded form of a store item. */
using Document = std::variant<world::RoutingConfig, world::BackendServer, RemovedServer, ZoneEvacuation, IgnoredItem>;

/** @brief Prefix of the keys that operators write: the routing configuration and zone evacuations. */
inline constexpr std::string_view operatorPrefix = "op/";

/** @brief Key of the routing configuration. */
inline constexpr std::string_view routingKey = "op/config";

/** @brief Prefix of the backend servers' entries; the server's id follows. */
inline constexpr std::string_view serverPrefix = "servers/";

/** @brief Decodes an item of the platform's store. @throws MalformedValue If the value is no JSON object or a field is invalid; names the field. */
[[nodiscard]] Document decode(const member::StoreItem &item);

} // namespace cyclamenspool::platform
