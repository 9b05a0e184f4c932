#pragma once

#include <fake/backend.h>

#include <map>
#include <memory>
#include <string>

namespace cyclamenspool::fault {

/** @brief What the backend servers of a fleet have run; outlives their restarts. */
struct Ledger {
    std::map<std::string, int> runsByKey;
    std::map<std::string, int> runsByRequest;
    std::map<std::string, int> restarts;
    int crossed = 0; /**< Answers to be given with another request's id. */
    std::map<std::string, std::vector<agent::OrderModel>> orders; /**< By backend server. */
    std::vector<std::pair<std::string, core::MonotonicTime>> starts; /**< Backend server and time of each run. */
    core::Milliseconds partTime{0}; /**< Time between two parts of an answer. */
};

/** @brief Returns the text that a backend server answers. @param request Request. @return Text. */
[[nodiscard]] std::string expectedAnswer(const wire::Submit &request);

/** @brief Backend server that counts its runs and answers in two parts without delay. */
class LedgerBackend final : public fake::Backend
{
public:
    /** @brief Creates a backend server. @param server Name. @param ledger Counts. @param model Model loaded; empty: none. */
    LedgerBackend(std::string server, std::shared_ptr<Ledger> ledger, std::string model);

    void run(const std::string &name, const wire::Submit &request, fake::EventQueue &queue, const fake::BackendSink &sink) override;
    bool resume(const std::string &name, const std::string &request, std::uint64_t offset, fake::EventQueue &queue, const fake::BackendSink &sink) override;
    void order(const agent::OrderModel &order) override;
    [[nodiscard]] agent::EngineState state() const override;

private:
    void answer(const std::string &name, const std::string &text, fake::EventQueue &queue, const fake::BackendSink &sink);

    std::string server_;
    std::shared_ptr<Ledger> ledger_;
    agent::EngineState state_;
    std::map<std::string, std::string> answers_;
};

} // namespace cyclamenspool::fault
