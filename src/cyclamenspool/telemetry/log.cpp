#include <cyclamenspool/telemetry/log.h>

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <log4cxx/asyncappender.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/fileappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/logmanager.h>
#include <log4cxx/patternlayout.h>

#include <atomic>
#include <chrono>
#include <cstdlib>
#include <future>
#include <map>
#include <mutex>
#include <thread>

namespace cyclamenspool::telemetry {

namespace internal {

std::string &vmName()
{
    static std::string name;
    return name;
}

log4cxx::LoggerPtr logger()
{
    static const log4cxx::LoggerPtr instance = log4cxx::Logger::getLogger("cyclamenspool");
    return instance;
}

boost::json::object makeLine(const std::string &event)
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    boost::json::object object;
    object["time_ms"] = std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
    object["vm"] = vmName();
    object["event"] = event;
    return object;
}

constexpr int maxQueuedLines = 512; /* buffered for a slow reader; about 0.5 MB */
constexpr std::chrono::milliseconds flushTimeout{300}; /* fits into the 500 ms that the shutdown reserves before the grace period ends */

/** @brief Returns the maximum lines per second of one event. Without this limit a burst of log lines would take CPU time from requests. */
std::atomic<int> &maxLinesPerSecond()
{
    static std::atomic<int> limit{200};
    return limit;
}

/** @brief Layout that writes JSON lines unchanged. The appender's own message about discarded lines is wrapped into a lines_left_out event. */
class LineLayout : public log4cxx::PatternLayout
{
public:
    LineLayout()
        : log4cxx::PatternLayout(LOG4CXX_STR("%m%n"))
    {
    }

    void format(log4cxx::LogString &output, const log4cxx::spi::LoggingEventPtr &event, log4cxx::helpers::Pool &pool) const override
    {
        const auto &message = event->getRenderedMessage();
        if (!message.empty() && message.front() == '{') {
            log4cxx::PatternLayout::format(output, event, pool);
            return;
        }
        auto object = makeLine("lines_left_out");
        object["text"] = message;
        output += boost::json::serialize(object) + "\n";
    }
};

/** @brief Lines of one event that were logged or left out within a one-second window. */
struct EventWindow {
    std::chrono::steady_clock::time_point start{};
    int lines = 0;
    int leftOut = 0;
};

/**
 * @brief Counts a line of an event against its rate limit.
 * @param event Event name.
 * @param leftOut Set to the number of lines left out in the previous window if this line starts a new one; otherwise unchanged.
 * @return Whether the line may be written.
 */
bool admitLine(const std::string &event, int &leftOut)
{
    static std::mutex mutex;
    static std::map<std::string, EventWindow> windows;
    const auto now = std::chrono::steady_clock::now();
    const std::lock_guard lock(mutex);
    auto &window = windows[event];
    if (now - window.start >= std::chrono::seconds(1)) {
        leftOut = window.leftOut;
        window = {now, 0, 0};
    }
    ++window.lines;
    const bool isWithinLimit = window.lines <= maxLinesPerSecond();
    window.leftOut += isWithinLimit ? 0 : 1;
    return isWithinLimit;
}

void putIfSet(boost::json::object &object, const char *name, const std::string &value)
{
    if (!value.empty()) {
        object[name] = value;
    }
}

} // namespace internal

void openLog(const std::string &file, const std::string &vm)
{
    internal::vmName() = vm;
    const log4cxx::LayoutPtr layout(new internal::LineLayout);
    log4cxx::AppenderPtr appender;
    if (file == "-") {
        appender = log4cxx::AppenderPtr(new log4cxx::ConsoleAppender(layout));
    } else {
        appender = log4cxx::AppenderPtr(new log4cxx::FileAppender(layout, log4cxx::LogString(file), true));
    }
    // Lines are written by a background thread, so that a blocked reader delays no request.
    const std::shared_ptr<log4cxx::AsyncAppender> asyncAppender(new log4cxx::AsyncAppender);
    asyncAppender->setBufferSize(internal::maxQueuedLines);
    asyncAppender->setBlocking(false);
    asyncAppender->addAppender(appender);
    internal::logger()->removeAllAppenders();
    internal::logger()->addAppender(asyncAppender);
    internal::logger()->setLevel(log4cxx::Level::getInfo());
}

void setEventRateLimit(int linesPerSecond)
{
    internal::maxLinesPerSecond() = linesPerSecond;
}

void logDecision(const core::Decision &decision)
{
    auto object = internal::makeLine(decision.kind);
    internal::putIfSet(object, "request", decision.request);
    internal::putIfSet(object, "chat", decision.chat);
    internal::putIfSet(object, "workspace", decision.workspace);
    internal::putIfSet(object, "pool", decision.pool);
    boost::json::array candidates;
    for (const auto &candidate : decision.candidates) {
        candidates.emplace_back(candidate);
    }
    object["candidates"] = std::move(candidates);
    internal::putIfSet(object, "choice", decision.choice);
    internal::putIfSet(object, "reason", decision.reason);
    object["revision"] = decision.revision;
    LOG4CXX_INFO(internal::logger(), boost::json::serialize(object));
}

void logEvent(const std::string &event, const std::string &text)
{
    auto object = internal::makeLine(event);
    object["text"] = text;
    LOG4CXX_INFO(internal::logger(), boost::json::serialize(object));
}

void logEvent(const std::string &event, const boost::json::object &fields)
{
    auto object = internal::makeLine(event);
    for (const auto &field : fields) {
        object[field.key()] = field.value();
    }
    LOG4CXX_INFO(internal::logger(), boost::json::serialize(object));
}

void logRateLimited(const std::string &event, boost::json::object fields)
{
    int leftOut = 0;
    if (!internal::admitLine(event, leftOut)) {
        return;
    }
    auto object = internal::makeLine(event);
    if (leftOut > 0) {
        object["left_out"] = leftOut;
    }
    for (auto &field : fields) {
        object[field.key()] = std::move(field.value());
    }
    LOG4CXX_INFO(internal::logger(), boost::json::serialize(object));
}

void closeLog(int status)
{
    std::promise<void> flushed;
    const auto flushDone = flushed.get_future();
    std::thread flushThread([&flushed] {
        log4cxx::LogManager::shutdown();
        flushed.set_value();
    });
    if (flushDone.wait_for(internal::flushTimeout) == std::future_status::ready) {
        flushThread.join();
        return;
    }
    // The reader has stopped reading. The queued lines are lost; a normal exit would block on the writer thread.
    std::_Exit(status);
}

} // namespace cyclamenspool::telemetry
