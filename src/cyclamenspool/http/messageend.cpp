#include <cyclamenspool/http/messageend.h>

namespace cyclamenspool::http {

bool isCompleteAtConnectionEnd(boost::beast::http::basic_parser<false> &parser)
{
    // put_eof() reports success for a parser that was given no byte at all.
    if (!parser.is_header_done()) {
        return false;
    }
    boost::system::error_code error;
    parser.put_eof(error);
    return !error && parser.is_done();
}

} // namespace cyclamenspool::http
