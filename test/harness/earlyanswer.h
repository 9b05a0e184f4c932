#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <atomic>
#include <chrono>
#include <string>
#include <thread>

namespace cyclamenspool::harness {

/** @brief Answer of a server that has not read the request's body. */
struct EarlyAnswer {
    std::string status = "200 OK";
    std::string fields; /**< Lines of the head beside the request id and the digest. */
    std::string body; /**< Bytes on the wire. */
    std::chrono::milliseconds resetAfter{0}; /**< Time from the answer to the reset of the connection. */
};

/** @brief Server on loopback that answers each request when it has its head, reads nothing of its body and resets the connection. Runs on a thread of its own,
 * one connection at a time. */
class EarlyAnswerServer
{
public:
    /** @brief Starts to listen on a free port. */
    explicit EarlyAnswerServer(EarlyAnswer answer);
    ~EarlyAnswerServer();
    EarlyAnswerServer(const EarlyAnswerServer &) = delete;
    EarlyAnswerServer &operator=(const EarlyAnswerServer &) = delete;

    /** @brief Returns the IP address and port. */
    [[nodiscard]] const std::string &address() const noexcept
    {
        return address_;
    }

private:
    void listen();
    void serve(boost::asio::ip::tcp::socket &socket) const;

    EarlyAnswer answer_;
    std::string address_;
    boost::asio::io_context context_;
    boost::asio::ip::tcp::acceptor acceptor_;
    std::atomic<bool> isStopping_{false};
    std::thread thread_;
};

} // namespace cyclamenspool::harness
