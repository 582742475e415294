/** @file no_ownership.h Key ownership for tests that need no range table. */

#pragma once

#include "duty/backend_gate.h"

namespace wisteriahoist::testing {

/** Owns no keys. */
class NoOwnership final : public KeyOwnership
{
public:
    RequestEnd check(ShardKey, TimePoint) const override { return RequestEnd::NoLease; }
    std::optional<KeyOwner> ownerOf(ShardKey) const override { return std::nullopt; }
    void recordBusyTime(ShardKey, Duration, TimePoint) override { }
    double demand(TimePoint) override { return 0; }
    bool isLeaving() const override { return false; }
};

/** Owns every key. */
class FullOwnership final : public KeyOwnership
{
public:
    RequestEnd check(ShardKey, TimePoint) const override { return RequestEnd::None; }
    std::optional<KeyOwner> ownerOf(ShardKey) const override { return std::nullopt; }
    void recordBusyTime(ShardKey, Duration, TimePoint) override { }
    double demand(TimePoint) override { return 0; }
    bool isLeaving() const override { return false; }
};

} // namespace wisteriahoist::testing
