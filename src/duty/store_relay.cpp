/** @file store_relay.cpp Access to the store through another node. */

#include "duty/store_relay.h"

#include "adapter/clock/sleep_func.h"
#include "adapter/log/event_log.h"
#include "wisteriahoist/v1/control.pb.h"

namespace wisteriahoist {

namespace {

constexpr std::string_view StorePath = "/store";

enum class RelayCall : uint32_t { List = 1, Read, Create, Replace };

/** @return Whether the store could not be reached, as opposed to an error returned by the store. */
bool isLost(const Failure &failure)
{
    return failure.code == FailureCode::Unavailable || failure.code == FailureCode::Ambiguous
           || failure.code == FailureCode::DeadlineExceeded
           || failure.code == FailureCode::RateLimited;
}

v1::StoreRequest makeRequest(RelayCall call, RecordKind kind, const std::string &name = {},
                             StoreRevision revision = {}, const std::string &content = {})
{
    v1::StoreRequest request;
    request.set_call(static_cast<uint32_t>(call));
    request.set_kind(static_cast<uint32_t>(kind));
    request.set_name(name);
    request.set_revision(revision.value());
    request.set_content(content);
    return request;
}

void setFailure(v1::StoreReply &reply, const Failure &failure)
{
    reply.set_failure(static_cast<uint32_t>(failure.code) + 1);
    reply.set_cause(failure.context);
}

void addRecord(v1::StoreReply &reply, const StoredRecord &record)
{
    v1::StoreRecord *added = reply.add_records();
    added->set_name(record.name);
    added->set_revision(record.revision.value());
    added->set_content(record.content);
}

StoredRecord toRecord(const v1::StoreRecord &record)
{
    return {record.name(), StoreRevision(record.revision()), record.content()};
}

/** @return The failure that the reply carries; nullopt if the call succeeded. */
std::optional<Failure> failureOf(const v1::StoreReply &reply)
{
    if (reply.failure() == 0) {
        return std::nullopt;
    }
    const uint32_t code = reply.failure() - 1;
    if (code > static_cast<uint32_t>(FailureCode::HistoryGone)) {
        return Failure{FailureCode::Malformed, "store relay returned an unknown failure code"};
    }
    return Failure{static_cast<FailureCode>(code), reply.cause()};
}

} // namespace

RelayedStore::RelayedStore(RecordStore &direct, const Clock &clock, PeerLink &peers,
                           FleetView &view, NodeId self)
    : direct_(direct), clock_(clock), peers_(peers), view_(view), choice_(self)
{
    peers_.serve(std::string(StorePath),
                 [this](std::string body) { return serve(std::move(body)); });
}

bool RelayedStore::updateDirectAccess(const Failure *failure)
{
    if (failure == nullptr || !isLost(*failure)) {
        nextDirectAttempt_ = NeverTime;
        return false;
    }
    nextDirectAttempt_ = clock_.now() + times_.directRetryDelay;
    return true;
}

RecordStore::Pending<v1::StoreReply> RelayedStore::callRelay(MemberRecord member, std::string body)
{
    const CallTimes limits(times_.callTimeout, times_.transferTimeout);
    Result<std::string> bytes = co_await peers_.call(member, StorePath, std::move(body), limits);
    if (!bytes) {
        co_return std::move(bytes).as_failure();
    }
    v1::StoreReply reply;
    if (bytes.assume_value().empty() || !reply.ParseFromString(bytes.assume_value())) {
        co_return Failure{FailureCode::Malformed, "malformed reply from the store relay"};
    }
    const std::optional<Failure> failure = failureOf(reply);
    if (failure && isLost(*failure)) {
        co_return *failure;
    }
    co_return reply;
}

RecordStore::Pending<v1::StoreReply> RelayedStore::relay(v1::StoreRequest request)
{
    if (clock_.now() < nextRelayAttempt_) {
        co_return Failure{FailureCode::Unavailable, "store unavailable: other nodes could not "
                                                    "reach it either; not asking them again yet"};
    }
    const std::string body = request.SerializeAsString();
    std::string cause = "none is known";
    for (const NodeId node : choice_.candidates(view_.members(), clock_.now())) {
        const MemberRecord *member = view_.findMember(node);
        if (member == nullptr) {
            continue; // Removed during an earlier call.
        }
        const std::string name = member->name;
        Result<v1::StoreReply> reply = co_await callRelay(*member, body);
        if (!reply) {
            choice_.onFailure(node, clock_.now());
            cause = name + ": " + reply.assume_error().context;
            continue;
        }
        if (choice_.onSuccess(node)) {
            logEvent(LogEvent::StoreRelayed, {{"through", name}});
        }
        if (const auto failure = failureOf(reply.assume_value())) {
            co_return *failure;
        }
        co_return std::move(reply.assume_value());
    }
    nextRelayAttempt_ = clock_.now() + times_.relayRetryDelay;
    co_return Failure{FailureCode::Unavailable,
                      "store unavailable: no other node could reach it; the last one tried is "
                              + cause};
}

RecordStore::Pending<RecordListing> RelayedStore::list(RecordKind kind)
{
    if (isDirect()) {
        Result<RecordListing> listing = co_await direct_.list(kind);
        if (!updateDirectAccess(listing ? nullptr : &listing.assume_error())) {
            co_return listing;
        }
    }
    v1::StoreRequest request = makeRequest(RelayCall::List, kind);
    request.set_takes_packed(true);
    Result<v1::StoreReply> reply = co_await relay(std::move(request));
    if (!reply) {
        co_return std::move(reply).as_failure();
    }
    RecordListing listing;
    listing.at = StoreRevision(reply.assume_value().revision());
    for (const v1::StoreRecord &record : reply.assume_value().records()) {
        Result<StoredRecord> unpacked = packer_.unpack(record);
        if (!unpacked) {
            co_return std::move(unpacked).as_failure();
        }
        listing.records.push_back(std::move(unpacked.assume_value()));
    }
    co_return listing;
}

RecordStore::Pending<StoredRecord> RelayedStore::read(RecordKind kind, std::string name)
{
    if (isDirect()) {
        Result<StoredRecord> record = co_await direct_.read(kind, name);
        if (!updateDirectAccess(record ? nullptr : &record.assume_error())) {
            co_return record;
        }
    }
    v1::StoreRequest request = makeRequest(RelayCall::Read, kind, name);
    Result<v1::StoreReply> reply = co_await relay(std::move(request));
    if (!reply) {
        co_return std::move(reply).as_failure();
    }
    if (reply.assume_value().records_size() != 1) {
        co_return Failure{FailureCode::Malformed,
                          "store relay reply must contain exactly one record"};
    }
    co_return toRecord(reply.assume_value().records(0));
}

RecordStore::Pending<StoreRevision> RelayedStore::relayWrite(v1::StoreRequest request)
{
    Result<v1::StoreReply> reply = co_await relay(std::move(request));
    if (!reply) {
        co_return std::move(reply).as_failure();
    }
    co_return StoreRevision(reply.assume_value().revision());
}

RecordStore::Pending<StoreRevision> RelayedStore::create(RecordKind kind, std::string name,
                                                         std::string content)
{
    if (isDirect()) {
        Result<StoreRevision> revision = co_await direct_.create(kind, name, content);
        if (!updateDirectAccess(revision ? nullptr : &revision.assume_error())) {
            co_return revision;
        }
    }
    v1::StoreRequest request = makeRequest(RelayCall::Create, kind, name, {}, content);
    co_return co_await relayWrite(std::move(request));
}

RecordStore::Pending<StoreRevision> RelayedStore::replace(RecordKind kind, std::string name,
                                                          StoreRevision expected,
                                                          std::string content)
{
    if (isDirect()) {
        Result<StoreRevision> revision = co_await direct_.replace(kind, name, expected, content);
        if (!updateDirectAccess(revision ? nullptr : &revision.assume_error())) {
            co_return revision;
        }
    }
    v1::StoreRequest request = makeRequest(RelayCall::Replace, kind, name, expected, content);
    co_return co_await relayWrite(std::move(request));
}

RecordStore::Pending<RecordChanges> RelayedStore::watch(RecordKind kind, StoreRevision since,
                                                        milliseconds wait)
{
    // A relayed watch would keep a call open at the relaying node for each kind of record; periodic
    // lists are sufficient while direct access fails.
    if (!isDirect()) {
        co_await sleepFor(times_.listInterval);
        co_return Failure{
                FailureCode::Unavailable,
                "watches are not relayed; records are listed until the store is reached directly"};
    }
    Result<RecordChanges> changes = co_await direct_.watch(kind, since, wait);
    if (!changes && changes.assume_error().code != FailureCode::Ambiguous) {
        (void)updateDirectAccess(&changes.assume_error());
    }
    co_return changes;
}

boost::asio::awaitable<std::string> RelayedStore::serve(std::string body)
{
    v1::StoreRequest request;
    v1::StoreReply reply;
    if (!request.ParseFromString(body) || request.kind() >= RecordKindCount) {
        setFailure(reply, {FailureCode::Malformed, "malformed store request"});
    } else if (!isDirect()) {
        setFailure(reply,
                   {FailureCode::Unavailable, "the relaying node can't reach the store either"});
    } else {
        reply = co_await execute(std::move(request));
    }
    co_return reply.SerializeAsString();
}

void RelayedStore::countRelayed(TimePoint now)
{
    ++relayedCalls_;
    if (relayedLoggedAt_ != NeverTime && now - relayedLoggedAt_ < times_.logInterval) {
        return;
    }
    logEvent(LogEvent::StoreRelaying, {{"calls", relayedCalls_ - loggedCalls_}});
    loggedCalls_ = relayedCalls_;
    relayedLoggedAt_ = now;
}

boost::asio::awaitable<v1::StoreReply> RelayedStore::execute(v1::StoreRequest request)
{
    countRelayed(clock_.now());
    v1::StoreReply reply;
    const auto kind = static_cast<RecordKind>(request.kind());
    const StoreRevision expected(request.revision());
    Result<StoreRevision> written = Failure{FailureCode::Malformed, "unknown store call"};
    switch (static_cast<RelayCall>(request.call())) {
    case RelayCall::List: {
        Result<RecordListing> listing = co_await direct_.list(kind);
        if (listing) {
            reply.set_revision(listing.assume_value().at.value());
            const bool packs = kind == RecordKind::Configuration && request.takes_packed();
            for (const StoredRecord &record : listing.assume_value().records) {
                if (packs) {
                    packer_.pack(record, StoreRevision(), *reply.add_records());
                } else {
                    addRecord(reply, record);
                }
            }
        } else {
            setFailure(reply, listing.assume_error());
        }
        co_return reply;
    }
    case RelayCall::Read: {
        Result<StoredRecord> record = co_await direct_.read(kind, request.name());
        if (record) {
            addRecord(reply, record.assume_value());
        } else {
            setFailure(reply, record.assume_error());
        }
        co_return reply;
    }
    case RelayCall::Create:
        written = co_await direct_.create(kind, request.name(), request.content());
        break;
    case RelayCall::Replace:
        written = co_await direct_.replace(kind, request.name(), expected, request.content());
        break;
    }
    if (written) {
        reply.set_revision(written.assume_value().value());
    } else {
        setFailure(reply, written.assume_error());
    }
    co_return reply;
}

} // namespace wisteriahoist
