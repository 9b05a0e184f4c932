#include <cyclamenspool/cli/options.h>
#include <cyclamenspool/http/client.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <iomanip>
#include <iostream>

namespace cyclamenspool::cli {

namespace internal {

constexpr int nameWidth = 24; /* characters */

std::string fetchStatus(const std::string &address)
{
    boost::asio::io_context context;
    http::ClientRequest request;
    request.address = address;
    request.target = "/status";
    auto response = boost::asio::co_spawn(context, http::fetch(request), boost::asio::use_future);
    context.run();
    return response.get().body;
}

void printTable(const boost::json::object &report)
{
    for (const auto &[name, value] : report) {
        std::cout << std::left << std::setw(nameWidth) << std::string(name) << boost::json::serialize(value) << '\n';
    }
}

int status(const po::variables_map &values)
{
    const auto body = fetchStatus(values["address"].as<std::string>());
    if (values.count("json") > 0) {
        std::cout << body;
    } else {
        printTable(boost::json::parse(body).as_object());
    }
    return ExitCode::Ok;
}

} // namespace internal

int runStatus(const Arguments &arguments)
{
    po::options_description options("options");
    auto add = options.add_options();
    add("address", po::value<std::string>()->required(), "IP address and port on which the process serves operators");
    add("json", "print the status as JSON");
    po::positional_options_description positional;
    positional.add("address", 1);
    return runWithOptions("status ADDRESS [--json]", options, positional, arguments, internal::status);
}

} // namespace cyclamenspool::cli
