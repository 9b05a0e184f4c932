#pragma once

namespace cyclamenspool::member {
struct Member;
class FleetView;
} // namespace cyclamenspool::member
