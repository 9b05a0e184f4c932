#pragma once

#include <cyclamenspool/core/decision.h>
#include <cyclamenspool/core/now.h>
#include <cyclamenspool/wire/generated/messages.pb.h>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace cyclamenspool::agent {

/** @brief Sends a message on the stream of a router's request. */
struct SendReply {
    std::uint64_t stream;
    wire::Reply message;
    bool last; /**< The stream ends after this message. */
};

/** @brief Starts a run: one execution of a request on the backend server. */
struct StartRun {
    std::uint64_t run; /**< Number of the run, unique within the agent. */
    wire::Submit request;
    core::Milliseconds remaining; /**< Time left until the caller's deadline. */
};

/** @brief Asks the engine to continue the response of a run whose connection was lost. */
struct ResumeRun {
    std::uint64_t run;
    std::string request; /**< Request id. */
    std::uint64_t offset; /**< Bytes of the response received so far. */
};

/** @brief Cancels a run on the engine. */
struct CancelRun {
    std::uint64_t run;
    std::string request; /**< Request id. */
};

/** @brief Starts a load exchange with a peer agent: each sends its load, so that both can estimate the mean load of the pool (see member::MeanEstimator). */
struct SendExchange {
    std::string address;
    wire::Exchange message;
};

/** @brief Requests from a peer agent the idempotency records of the keys whose home is now this agent (see KeyOwner). */
struct SendHandOver {
    std::string address;
    std::string server; /**< Backend server of the peer. */
    wire::HandOverRequest message;
};

/** @brief Reports to the agent of a chat's home, the server that ranks first for the chat by rendezvous hashing, which server has its history cached. */
struct SendChatPlacement {
    std::string address;
    wire::Placed message;
};

/** @brief Orders the engine to load a model. The engine compares fencing numbers to reject an outdated order. */
struct OrderModelLoad {
    std::string model;
    std::uint64_t fenceRevision; /**< High part of the fencing number: revision of the view. */
    std::int64_t fenceStart; /**< Low part of the fencing number: start time of the agent, in Unix milliseconds. */
};

/** @brief Re-reads the documents from the platform's services and from peers, then calls AgentCore::confirmView(). */
struct RefreshView {
};

/** @brief An effect that the owner of an AgentCore executes; a core::Decision is written to the log. */
using Action
    = std::variant<SendReply, StartRun, ResumeRun, CancelRun, SendExchange, SendHandOver, SendChatPlacement, OrderModelLoad, RefreshView, core::Decision>;
using Actions = std::vector<Action>;

} // namespace cyclamenspool::agent
