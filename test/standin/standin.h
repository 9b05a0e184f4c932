#pragma once

#include <cyclamenspool/http/server.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <map>
#include <string>

namespace cyclamenspool::standin {

/** @brief Path and query parameters of a request target. */
struct RequestTarget {
    std::string path;
    std::map<std::string, std::string> query;

    /** @brief Returns a query parameter. @param name Name. @param fallback Value if it is missing. */
    [[nodiscard]] std::string parameter(const std::string &name, const std::string &fallback = "") const;

    /**
     * @brief Returns a query parameter as a number.
     * @param name Name.
     * @param fallback Value if it is missing or empty.
     * @throws std::invalid_argument If it is not a number.
     */
    [[nodiscard]] long numberParameter(const std::string &name, long fallback) const;
};

/** @brief Splits a request target into its path and query parameters; escapes are not decoded. */
[[nodiscard]] RequestTarget parseTarget(const std::string &target);

/**
 * @brief Serves HTTP requests on an address until SIGTERM or SIGINT.
 * @param address IP address and port.
 * @param handler Handles each request.
 * @param start Called once before serving; empty: none.
 */
void serve(const std::string &address, const http::RequestHandler &handler, const std::function<void(boost::asio::io_context &)> &start = {});

/** @brief Suspends the coroutine for a duration. */
boost::asio::awaitable<void> sleepFor(std::chrono::microseconds duration);

/** @brief Sends a JSON response. @param responder Responder. @param body JSON text. @param status HTTP status. */
boost::asio::awaitable<void> sendJson(http::Responder &responder, const std::string &body, int status = 200);

/** @brief Steps of a request at which a test can hold all requests until it releases them. */
class HoldPoints
{
public:
    /** @brief Suspends a request while its step is held. */
    boost::asio::awaitable<void> waitWhileHeld(std::string step);

    /** @brief Handles the control paths /test/hold?step=STEP and /test/release. @return False if the target is another path. */
    bool handleControl(const RequestTarget &target);

    /** @brief Returns the number of requests that are held. */
    [[nodiscard]] int heldCount() const noexcept
    {
        return heldRequests_;
    }

private:
    std::map<std::string, bool> heldSteps_;
    int heldRequests_ = 0;
};

} // namespace cyclamenspool::standin
