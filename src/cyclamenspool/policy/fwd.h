#pragma once

namespace cyclamenspool::policy {
class LoadBound;
class ColdStartRamp;
class RetryBudget;
class WorkspaceLimiter;
class KeyRegister;
class ChatDirectory;
class FreshnessLease;
} // namespace cyclamenspool::policy
