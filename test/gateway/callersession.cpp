#include <catch2/catch.hpp>

#include <cyclamenspool/gateway/callersession.h>
#include <cyclamenspool/gateway/dispatcher.h>
#include <cyclamenspool/gateway/worker.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <memory>
#include <string>
#include <thread>

using namespace cyclamenspool;
using namespace std::chrono_literals;
using boost::asio::ip::tcp;
using gateway::CallerSession;

namespace {

const std::string completeRequest = "POST /once/x HTTP/1.1\r\nHost: desk.example\r\nCyclamenspool-Request-Id: r1\r\nContent-Length: 0\r\n\r\n";

/** @brief A worker whose event loop the test runs step by step, and a caller's connection to it over loopback. */
class SteppedWorker
{
public:
    SteppedWorker()
        : dispatcher_(settings_)
        , worker(dispatcher_, 1)
        , acceptor_(context_, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0))
        , caller(context_)
    {
        caller.connect(acceptor_.local_endpoint());
        accepted_ = std::make_unique<tcp::socket>(acceptor_.accept(worker.context()));
    }

    /** @brief Queues the start of the connection's session, as after an accept. */
    void queueSession()
    {
        boost::asio::post(worker.context(), [this] {
            std::make_shared<CallerSession>(worker, std::move(*accepted_))->start();
        });
    }

    /** @brief Writes to the connection and waits until the bytes have arrived. */
    void send(const std::string &bytes)
    {
        boost::asio::write(caller, boost::asio::buffer(bytes));
        while (accepted_->is_open() && accepted_->available() < bytes.size()) {
            std::this_thread::sleep_for(1ms);
        }
    }

    /** @brief Runs the event loop for a time and returns what the caller has received; "closed" if the connection ended without a byte, "reset" if it was
     * reset. */
    std::string runAndReceive(std::chrono::milliseconds time)
    {
        worker.context().restart();
        worker.context().run_for(time);
        caller.non_blocking(true);
        std::string bytes(4096, '\0');
        boost::system::error_code error;
        bytes.resize(caller.read_some(boost::asio::buffer(bytes), error));
        if (error == boost::asio::error::eof) {
            return "closed";
        }
        return error == boost::asio::error::connection_reset ? "reset" : bytes;
    }

private:
    config::GatewaySettings settings_;
    gateway::Dispatcher dispatcher_;

public:
    gateway::Worker worker;

private:
    boost::asio::io_context context_;
    tcp::acceptor acceptor_;
    std::unique_ptr<tcp::socket> accepted_;

public:
    tcp::socket caller;
};

} // namespace

// Guards against a request that is read from the socket and then lost, as its connection counts as idle until the read's handler has run.
TEST_CASE("a request is answered although a late event loop closes idle connections just after it was read", "[gateway][session]")
{
    SteppedWorker stepped;
    stepped.send(completeRequest);
    stepped.queueSession();
    stepped.worker.closeIdleSessions();
    CHECK(stepped.runAndReceive(50ms).substr(0, 13) == "HTTP/1.1 503 ");
}

// Guards against a close that hides an idle connection's end from the caller, or that does not come.
TEST_CASE("an idle connection without unread bytes is closed", "[gateway][session]")
{
    SteppedWorker stepped;
    stepped.queueSession();
    stepped.worker.closeIdleSessions();
    CHECK(stepped.runAndReceive(50ms) == "closed");
}
