#include <cyclamenspool/policy/loadbound.h>

#include <algorithm>

namespace cyclamenspool::policy {

double LoadBound::limit(const LoadPicture &picture) const noexcept
{
    if (!picture.poolMean) {
        return std::min(picture.coldCapacity, picture.capacity);
    }
    const double bounded = multiple_ * *picture.poolMean;
    const double floor = std::max(picture.largestRequest, picture.cost);
    return std::min(std::max(bounded, floor), picture.capacity);
}

bool LoadBound::admits(const LoadPicture &picture) const noexcept
{
    const bool idle = picture.load <= 0.0;
    return idle || picture.load + picture.cost <= limit(picture);
}

} // namespace cyclamenspool::policy
