#pragma once

#include <cyclamenspool/agent/core/agentcore.h>
#include <cyclamenspool/wire/generated/messages.pb.h>

#include "eventqueue.h"

#include <functional>
#include <map>
#include <string>

namespace cyclamenspool::fake {

/** @brief Calls of a fake backend server to its agent. */
struct BackendSink {
    std::function<void(const agent::BackendResponseHead &)> begin;
    std::function<void(const std::string &)> chunk;
    std::function<void()> end;
};

/** @brief A backend server with times and a cache of the implementation's choice. */
class Backend
{
public:
    virtual ~Backend() = default;

    /**
     * @brief Runs a request.
     * @param name Name of the backend server's process, for its events.
     * @param request Request.
     * @param queue Event queue.
     * @param sink Receives the answer.
     */
    virtual void run(const std::string &name, const wire::Submit &request, EventQueue &queue, const BackendSink &sink) = 0;

    /**
     * @brief Goes on with an answer.
     * @param name Name of the backend server's process, for its events.
     * @param request Request id.
     * @param offset Bytes already received.
     * @param queue Event queue.
     * @param sink Receives the rest.
     * @return False if the run is unknown.
     */
    virtual bool resume(const std::string &name, const std::string &request, std::uint64_t offset, EventQueue &queue, const BackendSink &sink)
    {
        static_cast<void>(name);
        static_cast<void>(request);
        static_cast<void>(offset);
        static_cast<void>(queue);
        static_cast<void>(sink);
        return false;
    }

    /** @brief Stops a run. @param request Request id. */
    virtual void cancel(const std::string &request)
    {
        static_cast<void>(request);
    }

    /** @brief Takes an order. @param order Order. */
    virtual void order(const agent::OrderModelLoad &order)
    {
        static_cast<void>(order);
    }

    /** @brief Returns the state that the agent polls. @return State. */
    [[nodiscard]] virtual agent::EngineState state() const = 0;
};

} // namespace cyclamenspool::fake
