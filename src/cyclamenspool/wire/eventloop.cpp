#include <cyclamenspool/wire/eventloop.h>

#include <cyclamenspool/telemetry/log.h>

#include <exception>

namespace cyclamenspool::wire {

void runEventLoop(boost::asio::io_context &context)
{
    while (!context.stopped()) {
        try {
            context.run();
        } catch (const std::exception &error) {
            telemetry::logRateLimited("handler_failed", {{"reason", error.what()}});
        }
    }
}

} // namespace cyclamenspool::wire
