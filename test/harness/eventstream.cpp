#include "eventstream.h"

#include <sstream>

namespace cyclamenspool::harness {

std::string chunk(const std::string &bytes)
{
    std::ostringstream out;
    out << std::hex << bytes.size() << "\r\n" << bytes << "\r\n";
    return out.str();
}

std::string serverSentEvent(int id)
{
    return "id: " + std::to_string(id) + "\ndata: token" + std::to_string(id) + "\n\n";
}

std::string responseHeadFor(const PlainRequest &request)
{
    return "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nCyclamenspool-Response-Seal: seal\r\nTransfer-Encoding: chunked\r\nCyclamenspool-Request-Id: "
        + std::string(request["Cyclamenspool-Request-Id"]) + "\r\n\r\n";
}

bool resetConnection(PlainSocket &socket)
{
    boost::system::error_code ignored;
    socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
    return false;
}

} // namespace cyclamenspool::harness
