#include "faultproxy.h"

#include "ports.h"

#include <cyclamenspool/wire/endpoint.h>

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>

namespace cyclamenspool::harness {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

namespace {

constexpr std::chrono::milliseconds pieceDelay{100};
constexpr std::chrono::milliseconds modePoll{10}; /* while a direction is held up */

} // namespace

/** @brief One connection through the proxy, with a pump for each direction. */
class FaultProxy::Link : public std::enable_shared_from_this<FaultProxy::Link>
{
public:
    Link(asio::io_context &context, Tcp::socket caller, const std::atomic<ProxyMode> &mode, Pace &pace)
        : mode_(mode)
        , pace_(pace)
        , caller_{std::move(caller), asio::steady_timer(context), {}, ProxyMode::DropToTarget}
        , target_{Tcp::socket(context), asio::steady_timer(context), {}, ProxyMode::DropFromTarget}
    {
    }

    void start(const Tcp::endpoint &endpoint)
    {
        auto self = shared_from_this();
        target_.socket.async_connect(endpoint, [self](const boost::system::error_code &error) {
            if (error) {
                self->reset();
                return;
            }
            self->pump(self->caller_, self->target_);
            self->pump(self->target_, self->caller_);
        });
    }

    void reset()
    {
        for (auto *side : {&caller_, &target_}) {
            boost::system::error_code ignored;
            side->socket.set_option(asio::socket_base::linger(true, 0), ignored);
            side->socket.close(ignored);
            side->timer.cancel();
        }
    }

private:
    /** @brief End of the connection, with the pump that reads from it. */
    struct Side {
        Tcp::socket socket;
        asio::steady_timer timer;
        std::array<char, 16384> buffer;
        ProxyMode dropMode; /* drops what this side sends */
    };

    void pump(Side &from, Side &to)
    {
        const auto mode = mode_.load();
        if (mode == ProxyMode::Silent || mode == from.dropMode) {
            after(from, modePoll, [this, &from, &to] {
                pump(from, to);
            });
            return;
        }
        auto self = shared_from_this();
        from.socket.async_read_some(asio::buffer(from.buffer), [self, &from, &to](const boost::system::error_code &error, std::size_t count) {
            if (error) {
                self->onEnd(error, to);
                return;
            }
            self->forward(from, to, count);
        });
    }

    void forward(Side &from, Side &to, std::size_t count)
    {
        const auto mode = mode_.load();
        const bool isHeld = mode == ProxyMode::Silent || mode == from.dropMode;
        if (isHeld || mode == ProxyMode::Delay) {
            after(from, isHeld ? modePoll : pieceDelay, [this, &from, &to, count, isHeld] {
                isHeld ? forward(from, to, count) : write(from, to, count);
            });
            return;
        }
        const auto turn = &from == &target_ ? pace_.takeTurn(count) : std::chrono::steady_clock::duration(0);
        if (turn.count() > 0) {
            after(from, turn, [this, &from, &to, count] {
                write(from, to, count);
            });
            return;
        }
        write(from, to, count);
    }

    void write(Side &from, Side &to, std::size_t count)
    {
        auto self = shared_from_this();
        asio::async_write(to.socket, asio::buffer(from.buffer.data(), count), [self, &from, &to](const boost::system::error_code &error, std::size_t) {
            if (error) {
                self->reset();
                return;
            }
            self->pump(from, to);
        });
    }

    void onEnd(const boost::system::error_code &error, Side &to)
    {
        if (error != asio::error::eof) {
            reset();
            return;
        }
        boost::system::error_code ignored;
        to.socket.shutdown(Tcp::socket::shutdown_send, ignored);
    }

    template<typename Action>
    void after(Side &side, std::chrono::steady_clock::duration time, Action action)
    {
        side.timer.expires_after(time);
        side.timer.async_wait([self = shared_from_this(), action](const boost::system::error_code &error) {
            if (!error) {
                action();
            }
        });
    }

    const std::atomic<ProxyMode> &mode_;
    Pace &pace_;
    Side caller_;
    Side target_;
};

std::chrono::steady_clock::duration FaultProxy::Pace::takeTurn(std::size_t bytes)
{
    const auto rate = bytesPerSecond.load();
    if (rate == 0) {
        return {};
    }
    const auto now = std::chrono::steady_clock::now();
    const std::chrono::duration<double> time(static_cast<double>(bytes) / static_cast<double>(rate));
    freeAt = std::max(freeAt, now) + std::chrono::duration_cast<std::chrono::steady_clock::duration>(time);
    return freeAt - now;
}

FaultProxy::FaultProxy(const std::string &target)
    : address_(findFreeAddress())
    , target_(wire::parseEndpoint(target))
    , acceptor_(context_, wire::parseEndpoint(address_))
{
    accept();
    thread_ = std::thread([this] {
        context_.run();
    });
}

FaultProxy::~FaultProxy()
{
    context_.stop();
    thread_.join();
}

void FaultProxy::accept()
{
    acceptor_.async_accept([this](const boost::system::error_code &error, Tcp::socket socket) {
        if (!error) {
            const auto link = std::make_shared<Link>(context_, std::move(socket), mode_, pace_);
            mode_ == ProxyMode::Refuse ? link->reset() : link->start(target_);
            std::erase_if(links_, [](const std::weak_ptr<Link> &each) {
                return each.expired();
            });
            links_.push_back(link);
        }
        accept();
    });
}

void FaultProxy::resetConnections()
{
    asio::post(context_, [this] {
        for (const auto &each : links_) {
            if (const auto link = each.lock()) {
                link->reset();
            }
        }
    });
}

} // namespace cyclamenspool::harness
