#pragma once

#include <boost/asio/io_context.hpp>

namespace cyclamenspool::wire {

/**
 * @brief Runs an event loop until it is stopped or has no more work.
 *
 * An exception that leaves a handler is logged and ends that handler only, so that one unexpected input does not end the process.
 * @param context Event loop; may be run by several threads.
 */
void runEventLoop(boost::asio::io_context &context);

} // namespace cyclamenspool::wire
