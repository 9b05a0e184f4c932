#pragma once

#include <cyclamenspool/core/decision.h>
#include <cyclamenspool/core/now.h>
#include <cyclamenspool/wire/generated/messages.pb.h>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace cyclamenspool::agent {

/** @brief Send a message on the stream of a router's request. */
struct SendReply {
    std::uint64_t stream;
    wire::Reply message;
    bool last; /**< The stream ends after this message. */
};

/** @brief Run a request at the backend server. */
struct StartRun {
    std::uint64_t run;
    wire::Submit request;
    core::Milliseconds remaining;
};

/** @brief Ask the engine to go on with a run's answer. */
struct ResumeRun {
    std::uint64_t run;
    std::string request;
    std::uint64_t offset; /**< Bytes of the answer received so far. */
};

/** @brief Tell the engine to stop a run. */
struct CancelRun {
    std::uint64_t run;
    std::string request;
};

/** @brief Exchange loads with a peer. */
struct SendExchange {
    std::string address;
    wire::Exchange message;
};

/** @brief Ask a peer for the idempotency records whose home has moved here. */
struct SendHandOver {
    std::string address;
    std::string server;
    wire::HandOverRequest message;
};

/** @brief Tell a chat's home agent where the history is warm. */
struct SendPlaced {
    std::string address;
    wire::Placed message;
};

/** @brief Order to the engine. */
struct OrderModel {
    std::string model;
    std::uint64_t fenceRevision; /**< Higher part of the fencing number. */
    std::int64_t fenceStart; /**< Lower part: start of the agent, in milliseconds of the wall clock. */
};

/** @brief Re-read the documents from the platform and from peers, then confirm the view. */
struct RefreshView {
};

using Action = std::variant<SendReply, StartRun, ResumeRun, CancelRun, SendExchange, SendHandOver, SendPlaced, OrderModel, RefreshView, core::Decision>;
using Actions = std::vector<Action>;

} // namespace cyclamenspool::agent
