#pragma once

namespace cyclamenspool::member {
struct Member;
class FleetView;
class MeanEstimator;
class SuspectList;
} // namespace cyclamenspool::member
