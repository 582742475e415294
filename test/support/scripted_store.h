/** @file scripted_store.h An in-memory store with faults that are set by the test. */

#pragma once

#include "adapter/clock/sleep_func.h"
#include "port/record_store.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <set>
#include <stdexcept>
#include <vector>

namespace wisteriahoist::testing {

/** Records, revisions and watches in memory. Used by one thread. */
class ScriptedStore final : public RecordStore
{
public:
    explicit ScriptedStore(boost::asio::io_context &) { }

    /** Writes unconditionally. */
    StoreRevision put(RecordKind kind, const std::string &name, const std::string &content)
    {
        StoredRecord &record = records_[{kind, name}];
        record = {name, StoreRevision(++revision_), content};
        changes_.push_back({kind, {record, false}});
        return record.revision;
    }

    /** Removes a record unconditionally. */
    void remove(RecordKind kind, const std::string &name)
    {
        StoredRecord removed = records_.at({kind, name});
        removed.revision = StoreRevision(++revision_);
        records_.erase({kind, name});
        changes_.push_back({kind, {removed, true}});
    }

    /** While set, no watch returns changes. */
    void muteWatches(bool muted) { muted_ = muted; }

    /** The next watch that has changes returns their revision without them. */
    void passOverChanges() { passesOver_ = true; }

    /** The next list of @p kind fails with Unavailable, after a while. */
    void failNextList(RecordKind kind) { failing_.insert(kind); }

    /** @return Duration that the last watch of @p kind asked for. */
    milliseconds lastWait(RecordKind kind) const { return waits_.at(kind); }

    /** While set, listings that have been made don't arrive. */
    void holdListings(bool held) { held_ = held; }

    /** Ends all waiting watches with a connection failure. */
    void interruptWatches() { ++cuts_; }

    /** The next @p count writes take effect, but their responses are lost. */
    void loseResponses(int count) { lostAnswers_ = count; }

    /** The next @p count writes end with an exception. */
    void throwOnWrites(int count) { throwing_ = count; }

    /** @return Number of writes rejected because the record had changed. */
    int conflicts() const { return conflicts_; }

    /** While set, all calls but waiting watches fail with Unavailable. */
    void setDown(bool down) { down_ = down; }

    const StoredRecord *find(RecordKind kind, const std::string &name) const
    {
        const auto found = records_.find({kind, name});
        return found == records_.end() ? nullptr : &found->second;
    }

    /** @return All records of a kind, sorted by name. */
    std::vector<StoredRecord> records(RecordKind kind) const
    {
        std::vector<StoredRecord> found;
        for (const auto &[key, record] : records_) {
            if (key.first == kind) {
                found.push_back(record);
            }
        }
        return found;
    }

    Pending<RecordListing> list(RecordKind kind) override
    {
        ++lists_[kind];
        if (failing_.erase(kind) > 0) {
            co_await sleepFor(milliseconds(5));
            co_return unavailable();
        }
        if (down_) {
            co_return unavailable();
        }
        RecordListing listing;
        listing.records = records(kind);
        listing.at = StoreRevision(revision_);
        while (held_) {
            co_await sleepFor(milliseconds(1));
        }
        co_return listing;
    }

    /** @param action Called after each write that took effect. */
    void onWrite(std::function<void()> action) { written_ = std::move(action); }

    /** @return Number of listings of @p kind that were asked for. */
    int lists(RecordKind kind) const
    {
        const auto found = lists_.find(kind);
        return found == lists_.end() ? 0 : found->second;
    }

    /** @return Number of reads of single records of @p kind. */
    int reads(RecordKind kind) const
    {
        const auto found = reads_.find(kind);
        return found == reads_.end() ? 0 : found->second;
    }

    Pending<StoredRecord> read(RecordKind kind, std::string name) override
    {
        ++reads_[kind];
        if (down_) {
            co_return unavailable();
        }
        const StoredRecord *record = find(kind, name);
        if (record == nullptr) {
            co_return Failure{FailureCode::NotFound, name};
        }
        co_return *record;
    }

    Pending<StoreRevision> create(RecordKind kind, std::string name, std::string content) override
    {
        throwIfAsked();
        if (down_) {
            co_return unavailable();
        }
        if (find(kind, name) != nullptr) {
            ++conflicts_;
            co_return Failure{FailureCode::VersionConflict, name};
        }
        co_return answer(put(kind, name, content));
    }

    Pending<StoreRevision> replace(RecordKind kind, std::string name, StoreRevision expected,
                                   std::string content) override
    {
        throwIfAsked();
        if (down_) {
            co_return unavailable();
        }
        const StoredRecord *record = find(kind, name);
        if (record == nullptr) {
            co_return Failure{FailureCode::NotFound, name};
        }
        if (record->revision != expected) {
            ++conflicts_;
            co_return Failure{FailureCode::VersionConflict, name};
        }
        co_return answer(put(kind, name, content));
    }

    Pending<RecordChanges> watch(RecordKind kind, StoreRevision since, milliseconds wait) override
    {
        waits_[kind] = wait;
        const uint64_t cuts = cuts_;
        while (true) {
            if (cuts_ != cuts) {
                co_return Failure{FailureCode::Ambiguous, "connection lost"};
            }
            RecordChanges found;
            found.at = StoreRevision(revision_);
            for (const auto &[changed, change] : changes_) {
                if (changed == kind && change.record.revision > since) {
                    found.changes.push_back(change);
                }
            }
            if (!found.changes.empty() && !muted_ && !down_) {
                if (std::exchange(passesOver_, false)) {
                    found.changes.clear();
                }
                co_return found;
            }
            co_await sleepFor(milliseconds(1));
        }
    }

private:
    void throwIfAsked()
    {
        if (throwing_ > 0) {
            --throwing_;
            throw std::runtime_error("asked for by the test");
        }
    }

    static Failure unavailable() { return {FailureCode::Unavailable, "store down"}; }

    Result<StoreRevision> answer(StoreRevision revision)
    {
        if (written_) {
            written_();
        }
        if (lostAnswers_ > 0) {
            --lostAnswers_;
            return Failure{FailureCode::Ambiguous, "response lost"};
        }
        return revision;
    }

    std::map<std::pair<RecordKind, std::string>, StoredRecord> records_;
    std::vector<std::pair<RecordKind, RecordChange>> changes_;
    uint64_t revision_ = 0;
    uint64_t cuts_ = 0;
    int lostAnswers_ = 0;
    int throwing_ = 0;
    int conflicts_ = 0;
    std::function<void()> written_;
    std::map<RecordKind, int> reads_;
    std::map<RecordKind, int> lists_;
    std::set<RecordKind> failing_;
    std::map<RecordKind, milliseconds> waits_;
    bool muted_ = false;
    bool held_ = false;
    bool passesOver_ = false;
    bool down_ = false;
};

} // namespace wisteriahoist::testing
