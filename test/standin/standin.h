#pragma once

#include <cyclamenspool/http/server.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <map>
#include <string>

namespace cyclamenspool::standin {

/** @brief Path and query parameters of a request target. */
struct Target {
    std::string path;
    std::map<std::string, std::string> query;

    /** @brief Returns a parameter. @param name Name. @param fallback Value if it is missing. @return Value. */
    [[nodiscard]] std::string get(const std::string &name, const std::string &fallback = "") const;

    /** @brief Returns a number. @param name Name. @param fallback Value if it is missing. @return Value. */
    [[nodiscard]] long number(const std::string &name, long fallback) const;
};

/** @brief Splits a request target. @param target Target. @return Path and query parameters. */
[[nodiscard]] Target parseTarget(const std::string &target);

/** @brief Serves on an address until SIGTERM. @param address IP number and port. @param handler Handler. @param start Called once before serving. */
void serve(const std::string &address, const http::RequestHandler &handler, const std::function<void(boost::asio::io_context &)> &start = {});

/** @brief Waits. @param length Length. @return Completion. */
boost::asio::awaitable<void> pause(std::chrono::microseconds length);

/** @brief Answers with JSON. @param responder Responder. @param body Body. @return Completion. */
boost::asio::awaitable<void> sendJson(http::Responder &responder, const std::string &body, int status = 200);

/** @brief Steps at which a test can stop requests until it releases them. */
class HoldPoints
{
public:
    /** @brief Waits while a step is held. @param step Step. @return Completion. */
    boost::asio::awaitable<void> pass(std::string step);

    /** @brief Handles the test's control paths /test/hold and /test/release. @param target Target. @return True if it was one of them. */
    bool control(const Target &target);

    /** @brief Counts the requests held. @return Count. */
    [[nodiscard]] int held() const noexcept
    {
        return held_;
    }

private:
    std::map<std::string, bool> holds_;
    int held_ = 0;
};

} // namespace cyclamenspool::standin
