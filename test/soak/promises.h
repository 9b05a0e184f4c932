#pragma once

#include <chrono>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace cyclamenspool::soak {

/** @brief Kind of request, as its route is configured. */
enum class Kind : int { Once, Again, Stream, Count };

/** @brief What a caller has seen of one request. */
struct Seen {
    std::string id;
    Kind kind = Kind::Once;
    std::size_t gateway = 0;
    int status = 0; /**< 0: no response. */
    bool isComplete = false;
    bool isOwn = false; /**< The body is the whole answer to this request. */
    std::chrono::steady_clock::time_point sentAt{};
    std::chrono::steady_clock::time_point endedAt{};
};

/** @brief A broken promise. */
struct Violation {
    std::string promise;
    std::string request; /**< Id; empty: none. */
    std::string detail;
};

/** @brief Time within which a gateway was stopped by plan, and nothing else disturbed it. */
struct PlannedStop {
    std::size_t gateway = 0;
    std::chrono::steady_clock::time_point from{};
    std::chrono::steady_clock::time_point to{};
};

/** @brief Collects what callers see and checks it against what the backend servers ran. Thread safe. */
class Promises
{
public:
    /** @brief Records an ended request. */
    void record(Seen seen);

    /** @brief Records a planned stop without other faults. */
    void addPlannedStop(const PlannedStop &stop);

    /** @brief Records a violation that is seen while the run goes on. */
    void addViolation(Violation violation);

    /** @brief Checks all requests. @param runs Number of runs by request id, over all backend servers. @return All violations. */
    [[nodiscard]] std::vector<Violation> check(const std::map<std::string, int> &runs) const;

    /** @brief Returns the number of requests with a complete answer of their own. */
    [[nodiscard]] int answeredCount() const;

    /** @brief Returns the number of ended requests. */
    [[nodiscard]] int requestCount() const;

private:
    mutable std::mutex mutex_;
    std::vector<Seen> requests_;
    std::vector<PlannedStop> stops_;
    std::vector<Violation> violations_;
};

} // namespace cyclamenspool::soak
