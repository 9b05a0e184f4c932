#pragma once

#include "platform.h"

#include <csignal>
#include <cstdio>
#include <fcntl.h>
#include <stdexcept>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

/** @brief A runner in a process of its own: the driver's program with the arguments "runner" and an id. It prints its port, then lines for the record. */
class RunnerProcess
{
public:
    RunnerProcess(const std::string &program, const std::string &id)
    {
        int ends[2];
        if (::pipe2(ends, O_CLOEXEC) != 0) {
            throw std::runtime_error("no pipe");
        }
        process_ = ::fork();
        if (process_ == 0) {
            endWithParent();
            ::dup2(ends[1], STDOUT_FILENO);
            ::execl(program.c_str(), program.c_str(), "runner", id.c_str(), static_cast<char *>(nullptr));
            ::_exit(127);
        }
        ::close(ends[1]);
        output_ = ::fdopen(ends[0], "r");
        port_ = std::atoi(readLine().c_str());
    }
    ~RunnerProcess()
    {
        end(SIGKILL);
        if (reader_.joinable()) {
            reader_.join();
        }
        std::fclose(output_);
    }
    RunnerProcess(const RunnerProcess &) = delete;
    RunnerProcess &operator=(const RunnerProcess &) = delete;

    void copyTo(Record &record)
    {
        reader_ = std::thread([this, &record] {
            for (auto line = readLine(); !line.empty(); line = readLine()) {
                record.add(line);
            }
        });
    }
    void end(int signal)
    {
        if (process_ > 0) {
            ::kill(process_, signal);
            ::waitpid(process_, nullptr, 0);
            process_ = -1;
        }
    }
    [[nodiscard]] int port() const noexcept
    {
        return port_;
    }

private:
    std::string readLine()
    {
        char bytes[256];
        if (std::fgets(bytes, sizeof(bytes), output_) == nullptr) {
            return "";
        }
        std::string line(bytes);
        line.erase(line.find_last_not_of("\r\n") + 1);
        return line;
    }

    pid_t process_ = -1;
    std::FILE *output_ = nullptr;
    int port_ = 0;
    std::thread reader_;
};

} // namespace review
