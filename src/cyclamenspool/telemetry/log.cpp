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

boost::json::object line(const std::string &event)
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    boost::json::object object;
    object["time_ms"] = std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
    object["vm"] = vmName();
    object["event"] = event;
    return object;
}

constexpr int queueLines = 512; /* that wait for a slow reader; about 0.5 MB */
constexpr std::chrono::milliseconds flushTime{300}; /* within the half second that the shutdown keeps before the grace period is over */
/** @brief Returns the bound on lines of one event in a second; beyond it a burst would take the processor from requests. @return Bound. */
std::atomic<int> &lineLimit()
{
    static std::atomic<int> limit{200};
    return limit;
}

/** @brief Writes lines as they are. The appender's own text on lines that it left out becomes an event. */
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
        auto object = line("lines_left_out");
        object["text"] = message;
        output += boost::json::serialize(object) + "\n";
    }
};

/** @brief Lines of one event within a second. */
struct LineBudget {
    std::chrono::steady_clock::time_point second{};
    int lines = 0;
    int leftOut = 0;
};

/** @brief Counts a line. @param event Event. @param leftOut Takes the number of lines that were left out in the second before. @return True if it may be
 * written. */
bool takeLine(const std::string &event, int &leftOut)
{
    static std::mutex mutex;
    static std::map<std::string, LineBudget> budgets;
    const auto now = std::chrono::steady_clock::now();
    const std::lock_guard lock(mutex);
    auto &budget = budgets[event];
    if (now - budget.second >= std::chrono::seconds(1)) {
        leftOut = budget.leftOut;
        budget = {now, 0, 0};
    }
    ++budget.lines;
    const bool isWithin = budget.lines <= lineLimit();
    budget.leftOut += isWithin ? 0 : 1;
    return isWithin;
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
    // A thread of its own writes, so that a reader that stands still delays no request.
    const std::shared_ptr<log4cxx::AsyncAppender> queue(new log4cxx::AsyncAppender);
    queue->setBufferSize(internal::queueLines);
    queue->setBlocking(false);
    queue->addAppender(appender);
    internal::logger()->removeAllAppenders();
    internal::logger()->addAppender(queue);
    internal::logger()->setLevel(log4cxx::Level::getInfo());
}

void setLineLimit(int linesPerSecond)
{
    internal::lineLimit() = linesPerSecond;
}

void logDecision(const core::Decision &decision)
{
    auto object = internal::line(decision.kind);
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
    auto object = internal::line(event);
    object["text"] = text;
    LOG4CXX_INFO(internal::logger(), boost::json::serialize(object));
}

void logLine(const std::string &event, boost::json::object fields)
{
    int leftOut = 0;
    if (!internal::takeLine(event, leftOut)) {
        return;
    }
    auto object = internal::line(event);
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
    const auto end = flushed.get_future();
    std::thread flush([&flushed] {
        log4cxx::LogManager::shutdown();
        flushed.set_value();
    });
    if (end.wait_for(internal::flushTime) == std::future_status::ready) {
        flush.join();
        return;
    }
    // The reader stands still: the lines that wait are lost, and a normal exit would wait for their thread.
    std::_Exit(status);
}

} // namespace cyclamenspool::telemetry
