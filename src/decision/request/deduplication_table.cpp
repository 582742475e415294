/** @file deduplication_table.cpp Idempotency keys that a gate has run, with the stored responses.
 */

#include "decision/request/deduplication_table.h"

#include <algorithm>
#include <charconv>

namespace wisteriahoist {

namespace {

constexpr size_t EntryOverheadBytes = 160; ///< Of the nodes of the map and the list.
constexpr size_t MaxKeyLength = 255;

bool isPlainCharacter(char character)
{
    return character > ' ' && character < '\x7f' && character != '"' && character != '\\'
           && character != ';' && character != ',';
}

} // namespace

size_t DeduplicationTable::costOf(const EntryKey &name, const Entry &entry) const
{
    return EntryOverheadBytes + 2 * (name.first.size() + name.second.size())
           + entry.fingerprint.size() + entry.response.size();
}

void DeduplicationTable::expire(TimePoint now)
{
    while (!expiries_.empty() && expiries_.front().first <= now) {
        const auto found = entries_.find(expiries_.front().second);
        bytes_ -= costOf(found->first, found->second);
        entries_.erase(found);
        expiries_.pop_front();
    }
}

bool DeduplicationTable::mayHaveRunEarlier(const KeyedAttempt &attempt, TimePoint now) const
{
    const Duration owned = now - attempt.epochSince;
    if (!attempt.age) {
        return attempt.refuseUnknownAge && owned < limits_.timeToLive;
    }
    // The age is stated at the time of sending; the transit adds to it.
    const bool firstSending = attempt.age->count() == 0;
    return !firstSending && owned < *attempt.age + limits_.transitMargin;
}

DeduplicationDecision DeduplicationTable::begin(const KeyedAttempt &attempt, TimePoint now)
{
    expire(now);
    const EntryKey name{attempt.service, attempt.idempotencyKey};
    const auto found = entries_.find(name);
    if (found != entries_.end()) {
        const Entry &entry = found->second;
        if (entry.fingerprint != attempt.fingerprint) {
            return {DeduplicationStep::Reused, {}};
        }
        switch (entry.state) {
        case State::Running:
            return {DeduplicationStep::InProgress, {}};
        case State::Unknown:
            return {DeduplicationStep::OutcomeUnknown, {}};
        case State::Done:
            return {DeduplicationStep::Replay, entry.response};
        }
    }
    if (mayHaveRunEarlier(attempt, now)) {
        return {DeduplicationStep::OlderThanEpoch, {}};
    }
    Entry entry;
    entry.fingerprint = attempt.fingerprint;
    const size_t cost = costOf(name, entry);
    if (entries_.size() >= limits_.entries || bytes_ + cost > limits_.bytes) {
        return {DeduplicationStep::TableFull, {}};
    }
    bytes_ += cost;
    entries_.emplace(name, std::move(entry));
    return {DeduplicationStep::Run, {}};
}

void DeduplicationTable::finish(const std::string &service, const std::string &idempotencyKey,
                                std::optional<std::string> response, TimePoint now)
{
    const auto found = entries_.find({service, idempotencyKey});
    if (found == entries_.end() || found->second.state != State::Running) {
        return;
    }
    Entry &entry = found->second;
    const bool fits = response && bytes_ + response->size() <= limits_.bytes;
    entry.state = fits ? State::Done : State::Unknown;
    if (fits) {
        bytes_ += response->size();
        entry.response = std::move(*response);
    }
    entry.expiry = expiries_.emplace(expiries_.end(), now + limits_.timeToLive, found->first);
}

void DeduplicationTable::forget(const std::string &service, const std::string &idempotencyKey)
{
    const auto found = entries_.find({service, idempotencyKey});
    if (found == entries_.end() || found->second.state != State::Running) {
        return;
    }
    bytes_ -= costOf(found->first, found->second);
    entries_.erase(found);
}

std::optional<IdempotencyHeader> parseIdempotencyHeader(std::string_view text)
{
    const bool quoted = text.starts_with('"');
    if (quoted) {
        text.remove_prefix(1);
    }
    const auto keyEnd = std::find_if_not(text.begin(), text.end(), isPlainCharacter);
    const auto length = static_cast<size_t>(keyEnd - text.begin());
    IdempotencyHeader header;
    header.key = text.substr(0, length);
    text.remove_prefix(length);
    if (header.key.empty() || length > MaxKeyLength || (quoted && !text.starts_with('"'))) {
        return std::nullopt;
    }
    if (quoted) {
        text.remove_prefix(1);
    }
    if (text.empty()) {
        return header;
    }
    constexpr std::string_view AgeParameter = ";age=";
    if (!text.starts_with(AgeParameter)) {
        return std::nullopt;
    }
    text.remove_prefix(AgeParameter.size());
    uint32_t age = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), age);
    if (error != std::errc() || end != text.data() + text.size()) {
        return std::nullopt;
    }
    header.age = milliseconds(age);
    return header;
}

} // namespace wisteriahoist
