#pragma once

namespace cyclamenspool::policy {
class LoadBound;
class ColdStartRamp;
class RetryBudget;
class WorkspaceLimiter;
class IdempotencyRegister;
class ChatDirectory;
class FreshnessLease;
} // namespace cyclamenspool::policy
