#pragma once

namespace cyclamenspool::platform {
class StoreClient;
struct RequestHead;
struct ResponseHead;
} // namespace cyclamenspool::platform
