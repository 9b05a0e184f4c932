#include <cyclamenspool/gateway/scheduling/servercapacity.h>

namespace cyclamenspool::gateway::scheduling {

void ServerCapacity::onReport(const LoadSample &load, const std::optional<double> &paceMultiple)
{
    latest_ = load;
    if (paceMultiple) {
        pace_.add(*paceMultiple, load.at);
    }
}

} // namespace cyclamenspool::gateway::scheduling
