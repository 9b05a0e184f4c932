#pragma once

namespace cyclamenspool::platform {
class StoreClient;
struct RequestHead;
struct AnswerHead;
} // namespace cyclamenspool::platform
