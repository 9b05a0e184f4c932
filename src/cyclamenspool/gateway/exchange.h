#pragma once

#include <cyclamenspool/core/errorkind.h>
#include <cyclamenspool/core/now.h>
#include <cyclamenspool/gateway/backendcall.h>
#include <cyclamenspool/gateway/callersession.h>
#include <cyclamenspool/gateway/dispatcher.h>
#include <cyclamenspool/gateway/eventscanner.h>
#include <cyclamenspool/platform/headers.h>

#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cyclamenspool::gateway {

/**
 * @brief One request of a caller: admitted, sent to a backend server, sent once more where it may be, and answered.
 *
 * A request that may have run is sent again only if its route says that it may be repeated. All calls on the worker's thread.
 */
class Exchange : public BackendEvents, public std::enable_shared_from_this<Exchange>
{
public:
    /** @brief Creates an exchange. @param worker Worker. @param session Caller's connection. @param request Request. @param arrived Arrival of its first byte.
     */
    Exchange(Worker &worker, CallerSession &session, CallerRequest request, core::MonotonicTime arrived);
    ~Exchange() override;
    Exchange(const Exchange &) = delete;
    Exchange &operator=(const Exchange &) = delete;

    /** @brief Starts the exchange. */
    void start();

    /** @brief Takes the news that the caller has left. */
    void onCallerGone();

    /** @brief Takes the news that the caller has taken all bytes. */
    void onCallerReady();

    void onUnreachable(const std::string &reason) override;
    void onAnswerHead(unsigned status, const platform::Fields &fields, const platform::AnswerHead &head) override;
    bool onAnswerBody(std::string bytes) override;
    void onAnswerEnd() override;
    void onBroken(const std::string &reason) override;

private:
    /** @brief How the answer goes to the caller. */
    enum class Mode : int {
        Whole, /**< Collected, then written with its length. */
        Stream, /**< Written as it comes. */
        Events, /**< Written event by event, so that it can go on from another backend server. */
    };

    void admit();
    void attempt();
    void startAttempt(PlacementAnswer answer);
    void send(const world::BackendServer &server);
    void retryOrFail(core::ErrorKind kind, const std::string &reason, bool maySendAgain);
    void finishAttempt(Outcome outcome);
    void relay(const std::string &bytes);
    void endStream();
    void sendWhole();
    void refuse(core::ErrorKind kind, const std::string &detail);
    void cut(core::ErrorKind kind, const std::string &detail);
    void onDeadline();
    void watchSilence();
    void onSilence();
    void finish(std::string_view outcome, const std::string &detail);
    void measure(bool isAnswered);
    void log(std::string_view outcome, const std::string &detail) const;
    static constexpr std::string_view answeredOutcome = "answered"; /* of a request with a whole answer, in the log */

    [[nodiscard]] bool isStalled() const;
    [[nodiscard]] std::chrono::milliseconds timeLeft() const;
    [[nodiscard]] std::chrono::milliseconds longestIdle() const;
    [[nodiscard]] bool isAnswerBegun() const noexcept
    {
        return headWritten_;
    }

    Worker &worker_;
    CallerSession *session_; /* null once the answer has ended */
    CallerRequest request_;
    core::MonotonicTime arrived_;
    core::MonotonicTime deadline_{};
    platform::RequestHead head_;
    std::optional<Admission> admission_;
    boost::asio::steady_timer timer_;
    boost::asio::steady_timer silenceTimer_;
    std::shared_ptr<BackendCall> call_;
    std::unique_ptr<Ticket> ticket_;
    std::vector<std::string> tried_; /* backend servers that the request was placed at */
    std::string historySource_; /* of the last placement */
    const char *placementReason_ = "";
    int sent_ = 0; /* backend servers that the request was sent to */
    bool mayHaveRun_ = false;
    unsigned status_ = 0;
    std::string answerHead_; /* header lines of the first answer that counts */
    std::string body_;
    Mode mode_ = Mode::Whole;
    EventScanner scanner_{std::string()};
    bool headWritten_ = false;
    bool isReadingPaused_ = false;
    core::MonotonicTime headCame_{};
    core::MonotonicTime lastSent_{};
    core::MonotonicTime lastBody_{};
    core::MonotonicTime::duration longestPause_{}; /* between two parts of the answer, as they came */
};

} // namespace cyclamenspool::gateway
