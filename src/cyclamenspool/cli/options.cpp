#include <cyclamenspool/cli/options.h>

#include <cyclamenspool/config/diagnostic.h>

#include <fstream>
#include <iostream>
#include <sstream>

namespace cyclamenspool::cli {

namespace internal {

int runBody(const po::variables_map &values, const std::function<int(const po::variables_map &)> &body)
{
    try {
        return body(values);
    } catch (const config::InvalidInput &error) {
        std::cerr << error.what();
        return ExitCode::DataError;
    } catch (const std::ios_base::failure &error) {
        std::cerr << error.what() << '\n';
        return ExitCode::NoInput;
    } catch (const std::exception &error) {
        std::cerr << error.what() << '\n';
        return ExitCode::Unavailable;
    }
}

} // namespace internal

int runWithOptions(const std::string &usage,
                   po::options_description options,
                   const po::positional_options_description &positional,
                   const Arguments &arguments,
                   const std::function<int(const po::variables_map &)> &body)
{
    options.add_options()("help", "print this help");
    po::variables_map values;
    try {
        po::store(po::command_line_parser(arguments).options(options).positional(positional).run(), values);
        if (values.count("help") > 0) {
            std::cout << "usage: cyclamenspool " << usage << "\n\n" << options;
            return ExitCode::Ok;
        }
        po::notify(values);
    } catch (const po::error &error) {
        std::cerr << error.what() << "\nusage: cyclamenspool " << usage << '\n';
        return ExitCode::Usage;
    }
    return internal::runBody(values, body);
}

std::string readFile(const std::string &name)
{
    std::ifstream file(name, std::ios::binary);
    if (!file) {
        throw std::ios_base::failure("cannot open file " + name);
    }
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

} // namespace cyclamenspool::cli
