#include "process.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>

#include <csignal>
#include <stdexcept>
#include <thread>
#include <utility>

extern char **environ;

namespace cyclamenspool::harness {

Process::Process(const std::string &program, const std::vector<std::string> &arguments, const std::string &logFile)
{
    std::vector<char *> argv{const_cast<char *>(program.c_str())};
    for (const auto &argument : arguments) {
        argv.push_back(const_cast<char *>(argument.c_str()));
    }
    argv.push_back(nullptr);
    posix_spawn_file_actions_t files;
    posix_spawn_file_actions_init(&files);
    posix_spawn_file_actions_addopen(&files, STDOUT_FILENO, logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_adddup2(&files, STDOUT_FILENO, STDERR_FILENO);
    const int error = posix_spawn(&pid_, program.c_str(), &files, nullptr, argv.data(), environ);
    posix_spawn_file_actions_destroy(&files);
    if (error != 0) {
        throw std::runtime_error("cannot start program " + program);
    }
}

Process::~Process()
{
    kill();
}

Process::Process(Process &&other) noexcept
    : pid_(std::exchange(other.pid_, -1))
{
}

Process &Process::operator=(Process &&other) noexcept
{
    if (this != &other) {
        kill();
        pid_ = std::exchange(other.pid_, -1);
    }
    return *this;
}

void Process::signal(int signal) const
{
    if (pid_ <= 0) {
        return;
    }
    ::kill(pid_, signal);
    if (signal == SIGSTOP) {
        // ::kill() does not wait: on a busy machine the threads of the process run on until the first of them has handled the signal.
        siginfo_t stopped{};
        waitid(P_PID, static_cast<id_t>(pid_), &stopped, WSTOPPED | WEXITED | WNOWAIT);
    }
}

int Process::wait(std::chrono::milliseconds timeout)
{
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    while (pid_ > 0) {
        int status = 0;
        if (waitpid(pid_, &status, WNOHANG) == pid_) {
            pid_ = -1;
            return WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
        }
        if (std::chrono::steady_clock::now() >= deadline) {
            return -1;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    return -1;
}

void Process::kill()
{
    signal(SIGKILL);
    wait(std::chrono::seconds(10));
}

} // namespace cyclamenspool::harness
