#pragma once

#include <sys/types.h>

#include <chrono>
#include <string>
#include <vector>

namespace cyclamenspool::harness {

/** @brief A child process of a test; killed by its id when the object ends. */
class Process
{
public:
    Process() = default;

    /** @brief Starts a program. @param program File. @param arguments Arguments. @param logFile Receives its output. */
    Process(const std::string &program, const std::vector<std::string> &arguments, const std::string &logFile);

    ~Process();
    Process(Process &&other) noexcept;
    Process &operator=(Process &&other) noexcept;

    /** @brief Sends a signal. @param signal Signal. */
    void signal(int signal) const;

    /** @brief Waits for the end. @param limit Longest wait. @return Exit code, 128 + signal, or -1 if it still runs. */
    int wait(std::chrono::milliseconds limit);

    /** @brief Kills the process and waits for its end. */
    void kill();

    /** @brief Tells whether the process was started and not waited for. @return True if so. */
    [[nodiscard]] bool isRunning() const noexcept
    {
        return pid_ > 0;
    }

    /** @brief Returns the process id. @return Process id. */
    [[nodiscard]] pid_t pid() const noexcept
    {
        return pid_;
    }

private:
    pid_t pid_ = -1;
};

} // namespace cyclamenspool::harness
