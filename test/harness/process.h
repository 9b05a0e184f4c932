#pragma once

#include <sys/types.h>

#include <chrono>
#include <string>
#include <vector>

namespace cyclamenspool::harness {

/** @brief A child process of a test; killed on destruction. */
class Process
{
public:
    Process() = default;

    /** @brief Starts a program. @param program Path of the executable. @param arguments Arguments after the program's name. @param logFile File to which
     * standard output and standard error are appended. @throws std::runtime_error If the program cannot be started. */
    Process(const std::string &program, const std::vector<std::string> &arguments, const std::string &logFile);

    ~Process();
    Process(Process &&other) noexcept;
    Process &operator=(Process &&other) noexcept;

    /** @brief Sends a signal; SIGSTOP returns once the process is stopped or has ended. Does nothing if no process runs. */
    void signal(int signal) const;

    /** @brief Waits for the process to exit. @param timeout Time limit. @return Exit code; 128 + signal number if a signal ended it; -1 if it still runs or
     * none was started. */
    int wait(std::chrono::milliseconds timeout);

    /** @brief Sends SIGKILL and waits at most 10 s for the exit. */
    void kill();

    /** @brief Returns whether the process was started and its exit has not been collected. */
    [[nodiscard]] bool isRunning() const noexcept
    {
        return pid_ > 0;
    }

    /** @brief Returns the process id; -1 if no process runs. */
    [[nodiscard]] pid_t pid() const noexcept
    {
        return pid_;
    }

private:
    pid_t pid_ = -1;
};

} // namespace cyclamenspool::harness
