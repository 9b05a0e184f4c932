#pragma once

#include <fake/backend.h>

#include <map>
#include <memory>
#include <string>

namespace cyclamenspool::fault {

/** @brief Runs and orders that the backend servers of a fleet have received. It outlives restarts of the backend servers. */
struct RunRecord {
    std::map<std::string, int> runsByKey; /**< By workspace and idempotency key, joined by "/". */
    std::map<std::string, int> runsByRequest; /**< By request id. */
    std::map<std::string, int> serverStartCounts; /**< Number of starts of each backend server's process. */
    int mismatchedResponsesLeft = 0; /**< Set by a cell: this many of the next responses carry the id of another request. */
    std::map<std::string, std::vector<agent::OrderModelLoad>> orders; /**< Orders to load a model, by backend server. */
    std::vector<std::pair<std::string, core::MonotonicTime>> runStarts; /**< Backend server and start time of each run, in chronological order. */
    int status = 200; /**< HTTP status of each response. */
    core::Milliseconds partDelay{0}; /**< Delay before each part of a response and before its end. */
};

/** @brief Returns the body of the complete response to a request. */
[[nodiscard]] std::string expectedResponse(const wire::Submit &request);

/** @brief Fake backend server that records its runs and sends each response in two parts. */
class RecordingBackend final : public fake::Backend
{
public:
    /** @brief Creates a backend server. @param server Name. @param record Record of runs, shared by the fleet. @param model Model loaded; empty: none. */
    RecordingBackend(std::string server, std::shared_ptr<RunRecord> record, std::string model);

    void run(const std::string &name, const wire::Submit &request, fake::EventQueue &queue, const fake::BackendSink &sink) override;
    bool resume(const std::string &name, const std::string &request, std::uint64_t offset, fake::EventQueue &queue, const fake::BackendSink &sink) override;
    void order(const agent::OrderModelLoad &order) override;
    [[nodiscard]] agent::EngineState state() const override;

private:
    void sendResponse(const std::string &name, const std::string &text, fake::EventQueue &queue, const fake::BackendSink &sink);

    std::string server_;
    std::shared_ptr<RunRecord> record_;
    agent::EngineState state_;
    std::map<std::string, std::string> responses_;
};

} // namespace cyclamenspool::fault
