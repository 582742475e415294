/** @file fake_platform.h A platform store with a single object and scripted faults. */

#pragma once

#include "port/platform_store.h"

#include <deque>
#include <functional>
#include <utility>

namespace wisteriahoist::testing {

/** Fault of one write. */
enum class WriteFault {
    None,
    ReplyLost, ///< It takes effect, but the reply is lost.
    Late,      ///< It takes effect only just before the next write.
    NotSent,   ///< It does not take effect, and the writer gets an error.
    Swallowed, ///< It does not take effect, and there is no reply.
};

/** A single object; faults apply to its calls in the given order. */
class FakePlatform : public PlatformStore
{
public:
    std::deque<WriteFault> faults;
    std::deque<bool> readFails;        ///< One entry per read.
    std::function<void()> beforeWrite; ///< Called once, before the next write.
    std::string content;
    uint64_t version = 0;
    uint32_t writes = 0; ///< Number of writes that took effect.

    Pending<VersionedObject> read(std::string) override
    {
        if (!readFails.empty()) {
            const bool fails = readFails.front();
            readFails.pop_front();
            if (fails) {
                co_return Failure{FailureCode::Unavailable, "down"};
            }
        }
        co_return VersionedObject{ObjectVersion(version), content};
    }

    Pending<ObjectVersion> write(std::string, ObjectVersion expected, std::string bytes) override
    {
        if (beforeWrite) {
            std::exchange(beforeWrite, nullptr)();
        }
        finishLate();
        WriteFault fault = WriteFault::None;
        if (!faults.empty()) {
            fault = faults.front();
            faults.pop_front();
        }
        switch (fault) {
        case WriteFault::NotSent:
            co_return Failure{FailureCode::Unavailable, "down"};
        case WriteFault::Swallowed:
            co_return Failure{FailureCode::DeadlineExceeded, "no reply"};
        case WriteFault::Late:
            late_ = [this, expected, bytes]() { put(expected, bytes); };
            co_return Failure{FailureCode::DeadlineExceeded, "no reply"};
        case WriteFault::ReplyLost:
            put(expected, bytes);
            co_return Failure{FailureCode::Ambiguous, "connection lost"};
        case WriteFault::None:
            break;
        }
        if (!put(expected, bytes)) {
            co_return Failure{FailureCode::VersionConflict, "another version"};
        }
        co_return ObjectVersion(version);
    }

    Pending<ObjectVersion> remove(std::string, ObjectVersion) override
    {
        co_return Failure{FailureCode::NotFound, ""};
    }
    Pending<std::vector<std::string>> list(std::string) override
    {
        co_return std::vector<std::string>();
    }
    Pending<VersionedObject> watch(std::string, ObjectVersion, milliseconds) override
    {
        co_return VersionedObject{ObjectVersion(version), content};
    }

    bool put(ObjectVersion expected, const std::string &bytes)
    {
        if (expected != ObjectVersion(version)) {
            return false;
        }
        content = bytes;
        ++version;
        ++writes;
        return true;
    }

private:
    void finishLate()
    {
        if (late_) {
            std::exchange(late_, nullptr)();
        }
    }

    std::function<void()> late_;
};

} // namespace wisteriahoist::testing
