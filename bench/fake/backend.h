#pragma once

#include <cyclamenspool/agent/core/agentcore.h>
#include <cyclamenspool/wire/generated/messages.pb.h>

#include "eventqueue.h"

#include <functional>
#include <map>
#include <string>

namespace cyclamenspool::fake {

/** @brief Callbacks by which a fake backend server delivers a response to its agent. */
struct BackendSink {
    std::function<void(const agent::BackendResponseHead &)> onResponseHead;
    std::function<void(const std::string &)> onResponseData;
    std::function<void()> onResponseEnd;
};

/** @brief Interface of a fake backend server; an implementation chooses its response times and its cache. */
class Backend
{
public:
    virtual ~Backend() = default;

    /**
     * @brief Runs a request.
     * @param name Name of the backend server's process; events are queued under it.
     * @param request Request.
     * @param queue Queue for the events of the run.
     * @param sink Receives the response.
     */
    virtual void run(const std::string &name, const wire::Submit &request, EventQueue &queue, const BackendSink &sink) = 0;

    /**
     * @brief Resumes the response of a run; the default returns false.
     * @param name Name of the backend server's process; events are queued under it.
     * @param request Request id.
     * @param offset Bytes already received.
     * @param queue Queue for the events of the run.
     * @param sink Receives the rest of the response.
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

    /** @brief Cancels a run; ignored by default. @param request Request id. */
    virtual void cancel(const std::string &request)
    {
        static_cast<void>(request);
    }

    /** @brief Handles the order of an agent to load a model; ignored by default. @param order Model and fencing number. */
    virtual void order(const agent::OrderModelLoad &order)
    {
        static_cast<void>(order);
    }

    /** @brief Returns the state that the agent polls. */
    [[nodiscard]] virtual agent::EngineState state() const = 0;
};

} // namespace cyclamenspool::fake
