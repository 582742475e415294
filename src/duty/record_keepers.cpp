/** @file record_keepers.cpp Other nodes keep this node's member record. */

#include "duty/record_keepers.h"

#include "adapter/codec/record_codec.h"
#include "adapter/task/background_task.h"
#include "core/hash_func.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <charconv>

namespace wisteriahoist {

namespace asio = boost::asio;

namespace {

constexpr std::string_view DepositPath = "/keep-record";
constexpr std::string_view CollectPath = "/kept-record";
constexpr std::string_view Kept = "kept";
constexpr std::string_view NoRecord = "none"; ///< An empty reply is that of an older program.
/** Nodes that are asked to keep a record, and how many of them must. */
constexpr size_t KeeperCount = 5;
constexpr size_t EnoughKeepers = 2;
/** Nodes that are asked for it: more, since nodes may have joined or left meanwhile. */
constexpr size_t AskedCount = 8;
constexpr milliseconds CallTimeout{400};
/** A node that runs for so long was there before the process that asks it was restarted. */
constexpr milliseconds WitnessAge{10000};

/** @return How long a node runs that keeps no record; none if @p reply is another one. A node of
 *          an older version doesn't say how long. */
std::optional<milliseconds> ageWithoutRecord(std::string_view reply)
{
    if (!reply.starts_with(NoRecord)) {
        return std::nullopt;
    }
    int64_t age = 0;
    const std::string_view number = reply.substr(std::min(reply.size(), NoRecord.size() + 1));
    (void)std::from_chars(number.data(), number.data() + number.size(), age);
    return milliseconds(age);
}

} // namespace

struct RecordKeepers::Replies {
    explicit Replies(asio::io_context &context) : done(context) { }
    asio::steady_timer done; ///< Cancelled when there are enough replies.
    std::vector<Reply> received;
    size_t outstanding = 0;
    size_t enough = 0;
};

RecordKeepers::RecordKeepers(asio::io_context &context, const Clock &clock, PeerCalls &peers,
                             FleetView &view, NodeId self)
    : context_(context), clock_(clock), startedAt_(clock.now()), peers_(peers), view_(view),
      self_(self)
{
    peers_.serve(std::string(DepositPath),
                 [this](std::string body) { return onDeposit(std::move(body)); });
    peers_.serve(std::string(CollectPath),
                 [this](std::string body) { return onCollect(std::move(body)); });
    view.onMemberRecord([this](const MemberRecord &record) { onStored(record); });
}

std::vector<MemberRecord> RecordKeepers::keepers(size_t count) const
{
    const std::string own = std::to_string(self_.value());
    std::vector<std::pair<uint64_t, const MemberRecord *>> ranked;
    for (const auto &[node, member] : view_.members()) {
        if (node != self_) {
            ranked.emplace_back(hashKey(own, node.value()).value(), &member);
        }
    }
    const size_t taken = std::min(count, ranked.size());
    std::partial_sort(ranked.begin(), ranked.begin() + static_cast<ptrdiff_t>(taken), ranked.end());
    std::vector<MemberRecord> found;
    for (size_t rank = 0; rank < taken; ++rank) {
        found.push_back(*ranked[rank].second);
    }
    return found;
}

asio::awaitable<bool> RecordKeepers::deposit(MemberRecord record)
{
    const size_t others = view_.members().size() - view_.members().count(self_);
    const size_t enough = std::min(EnoughKeepers, others);
    if (enough == 0) {
        co_return false;
    }
    const std::vector<Reply> replies
            = co_await callAll(DepositPath, encodeMember(record), KeeperCount, enough);
    const auto kept = std::count_if(replies.begin(), replies.end(),
                                    [](const Reply &reply) { return reply.body == Kept; });
    co_return static_cast<size_t>(kept) >= enough;
}

asio::awaitable<KeptRecords> RecordKeepers::collect()
{
    const std::vector<Reply> replies
            = co_await callAll(CollectPath, std::to_string(self_.value()), AskedCount, AskedCount);
    KeptRecords kept;
    for (const Reply &reply : replies) {
        if (const std::optional<milliseconds> age = ageWithoutRecord(reply.body)) {
            kept.witnesses += reply.rank < KeeperCount && *age >= WitnessAge ? 1 : 0;
            continue;
        }
        const Result<MemberRecord> record = decodeMember(reply.body);
        if (record && record.assume_value().node == self_) {
            kept.records.push_back(record.assume_value());
        }
    }
    // A record is acknowledged only if enough of the called nodes keep it: at least one of them is
    // among the witnesses if fewer than that are missing.
    const size_t others = view_.members().size() - view_.members().count(self_);
    const size_t called = std::min(KeeperCount, others);
    const size_t missing = called - std::min(called, kept.witnesses);
    const bool knowsFleet = !view_.members().empty();
    kept.complete = knowsFleet && (others == 0 || missing < std::min(EnoughKeepers, others));
    co_return kept;
}

/** Calls @p nodes nodes at the same time. @return The replies, once @p enough have arrived. */
asio::awaitable<std::vector<RecordKeepers::Reply>>
RecordKeepers::callAll(std::string_view path, std::string body, size_t nodes, size_t enough)
{
    const auto replies = std::make_shared<Replies>(context_);
    const std::vector<MemberRecord> called = keepers(nodes);
    replies->outstanding = called.size();
    replies->enough = enough;
    replies->done.expires_after(CallTimeout);
    for (size_t rank = 0; rank < called.size(); ++rank) {
        asio::co_spawn(
                context_,
                [this, replies, rank, member = called[rank], path = std::string(path), body]() {
                    return callOne(replies, rank, member, path, body);
                },
                logFailureOf("record of a leaving"));
    }
    if (replies->outstanding > 0 && replies->received.size() < enough) {
        boost::system::error_code ignored;
        co_await replies->done.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
    co_return std::move(replies->received);
}

asio::awaitable<void> RecordKeepers::callOne(std::shared_ptr<Replies> replies, size_t rank,
                                             MemberRecord member, std::string path,
                                             std::string body)
{
    Result<std::string> reply
            = co_await peers_.call(member, path, std::move(body), CallTimes(CallTimeout));
    --replies->outstanding;
    if (reply && !reply.assume_value().empty()) {
        replies->received.push_back({rank, std::move(reply.assume_value())});
    }
    if (replies->outstanding == 0 || replies->received.size() >= replies->enough) {
        replies->done.cancel();
    }
}

asio::awaitable<std::string> RecordKeepers::onDeposit(std::string body)
{
    Result<MemberRecord> record = decodeMember(body);
    if (!record) {
        co_return std::string(NoRecord);
    }
    const NodeId node = record.assume_value().node;
    kept_[node] = std::move(record.assume_value());
    co_return std::string(Kept);
}

asio::awaitable<std::string> RecordKeepers::onCollect(std::string body)
{
    uint64_t number = 0;
    (void)std::from_chars(body.data(), body.data() + body.size(), number);
    const auto found = kept_.find(NodeId(number));
    if (found != kept_.end()) {
        co_return encodeMember(found->second);
    }
    const auto age = std::chrono::duration_cast<milliseconds>(clock_.now() - startedAt_);
    co_return std::string(NoRecord) + " " + std::to_string(age.count());
}

/** The store has the record, or one of a later incarnation of the backend server. */
void RecordKeepers::onStored(const MemberRecord &record)
{
    const auto found = kept_.find(record.node);
    if (found != kept_.end()
        && (record.backend != found->second.backend || record.state == found->second.state)) {
        kept_.erase(found);
    }
}

} // namespace wisteriahoist
