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

/** @brief A caller's request after its HTTP form was read. */
struct CallerRequest {
    std::string id;
    std::string workspace;
    std::string pool;
    std::string chat;
    std::string key; /**< Caller's idempotency key; empty: none. */
    std::string method;
    std::string path;
    std::string contentType;
    std::string body;
    std::string locationHint; /**< Backend server named by an earlier answer; empty: none. */
    std::uint64_t promptTokens = 0;
    std::uint64_t decodeTokens = 0;
    core::Milliseconds deadline{60000}; /**< Time left. */
    int priority = 0;
    bool stream = false;
};

/** @brief Send a request to an agent. */
struct SendAttempt {
    std::uint64_t attempt;
    std::string address;
    wire::Submit message;
};

/** @brief Give up an attempt; nothing that still arrives for it is used. */
struct CancelAttempt {
    std::uint64_t attempt;
};

/** @brief Start the answer to a caller. */
struct AnswerBegin {
    std::string request;
    int status;
    std::string contentType;
    std::string server;
};

/** @brief Pass on a part of the answer. */
struct AnswerChunk {
    std::string request;
    std::string data;
};

/** @brief The answer is whole. */
struct AnswerEnd {
    std::string request;
};

/** @brief Final failure: a status before the answer began, an explicit error event after. */
struct AnswerFailure {
    std::string request;
    core::ErrorKind kind;
    std::string detail;
    core::Milliseconds retryAfter;
    core::RunState runState;
};

/** @brief Re-read the documents from the platform and from peers, then confirm the view. */
struct RefreshView {
};

using Action = std::variant<SendAttempt, CancelAttempt, AnswerBegin, AnswerChunk, AnswerEnd, AnswerFailure, RefreshView, core::Decision>;
using Actions = std::vector<Action>;

} // namespace cyclamenspool::router
