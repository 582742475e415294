/** @file fake_platform.h One object of the platform, with faults in the order given. */

#pragma once

#include "port/platform_store.h"

#include <deque>
#include <functional>
#include <utility>

namespace wisteriahoist::testing {

/** What happens to one write. */
enum class WriteFault {
    None,
    ReplyLost, ///< It takes effect, but the reply does not come.
    Late,      ///< It takes effect only just before the next write.
    NotSent,   ///< It does not take effect; the writer is told so.
    Swallowed, ///< It does not take effect; no reply comes.
};

/** One object, with faults in the order given. */
class FakePlatform : public PlatformStore
{
public:
    std::deque<WriteFault> faults;
    std::deque<bool> readFails;        ///< One for each read.
    std::function<void()> beforeWrite; ///< Another operator's moment; called once.
    std::string content;
    uint64_t version = 0;
    uint32_t writes = 0; ///< That took effect.

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
