#include <cyclamenspool/gateway/requestfingerprint.h>

#include <cyclamenspool/core/hash.h>

namespace cyclamenspool::gateway {

std::uint64_t fingerprintOf(const RequestIdentity &request) noexcept
{
    std::uint64_t hash = 0;
    for (const auto field : {request.method, request.host, request.target, request.apiKey, request.body}) {
        hash = core::hash64(field, core::hash64(hash + field.size()));
    }
    return hash;
}

} // namespace cyclamenspool::gateway
