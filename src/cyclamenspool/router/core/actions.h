#pragma once

#include <cyclamenspool/core/decision.h>
#include <cyclamenspool/core/errorkind.h>
#include <cyclamenspool/core/now.h>
#include <cyclamenspool/wire/generated/messages.pb.h>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace cyclamenspool::router {

/** @brief A caller's HTTP request after parsing. */
struct CallerRequest {
    std::string id;
    std::string workspace;
    std::string pool;
    std::string chat;
    std::string idempotencyKey; /**< Idempotency key given by the caller; empty if none. */
    std::string method;
    std::string path;
    std::string contentType;
    std::string body;
    std::string locationHint; /**< Backend server named in an earlier response; empty if none. */
    std::uint64_t promptTokens = 0; /**< Estimated length of the prompt. */
    std::uint64_t decodeTokens = 0; /**< Maximum number of tokens to generate. */
    core::Milliseconds timeout{60000}; /**< Time left until the caller's deadline. */
    int priority = 0; /**< -10 to 10; raised to the workspace's priority if that is higher. */
    bool isStreaming = false; /**< The caller asked for a streamed response. */
};

/** @brief Sends a request to an agent. */
struct SendAttempt {
    std::uint64_t attemptId;
    std::string address; /**< Address of the agent. */
    wire::Submit message;
};

/** @brief Cancels an attempt; later replies to it are dropped. */
struct CancelAttempt {
    std::uint64_t attemptId;
};

/** @brief Starts the response to a caller. */
struct ResponseHead {
    std::string requestId;
    int status;
    std::string contentType;
    std::string server; /**< Backend server that produces the response. */
};

/** @brief Relays a part of the response body. */
struct ResponseChunk {
    std::string requestId;
    std::string data;
};

/** @brief Ends a complete response. */
struct ResponseEnd {
    std::string requestId;
};

/** @brief Fails a request: the caller gets an error status, or an error event if its streamed response has started. */
struct ResponseFailure {
    std::string requestId;
    core::ErrorKind kind;
    std::string detail;
    core::Milliseconds retryAfter; /**< Zero: a retry does not help. */
    core::RunState runState;
};

/** @brief Re-reads the documents from the platform's services and from peers, then calls RouterCore::confirmView(). */
struct RefreshView {
};

/** @brief An effect that the owner of a RouterCore executes; a core::Decision is written to the log. */
using Action = std::variant<SendAttempt, CancelAttempt, ResponseHead, ResponseChunk, ResponseEnd, ResponseFailure, RefreshView, core::Decision>;
using Actions = std::vector<Action>;

} // namespace cyclamenspool::router
