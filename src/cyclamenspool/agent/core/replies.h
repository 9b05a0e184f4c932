#pragma once

#include <cyclamenspool/wire/generated/messages.pb.h>

namespace cyclamenspool::agent::internal {

/** @brief Creates a reply with the ids of a request. @param request Request. @return Reply without a body. */
[[nodiscard]] inline wire::Reply replyFor(const wire::Submit &request)
{
    wire::Reply reply;
    reply.set_request_id(request.request_id());
    reply.set_attempt(request.attempt());
    return reply;
}

} // namespace cyclamenspool::agent::internal
