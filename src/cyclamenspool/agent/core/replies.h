#pragma once

#include <cyclamenspool/wire/generated/messages.pb.h>

namespace cyclamenspool::agent::internal {

/** @brief Returns a reply with the request id and attempt of a request and no body. */
[[nodiscard]] inline wire::Reply replyFor(const wire::Submit &request)
{
    wire::Reply reply;
    reply.set_request_id(request.request_id());
    reply.set_attempt(request.attempt());
    return reply;
}

} // namespace cyclamenspool::agent::internal
