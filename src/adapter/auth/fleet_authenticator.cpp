/** @file fleet_authenticator.cpp Signs and verifies operator calls. */

#include "adapter/auth/fleet_authenticator.h"

#include <charconv>
#include <vector>

namespace wisteriahoist {

namespace {

constexpr std::string_view Scheme = "v1";        ///< Changes with the format of the signed text.
constexpr size_t FieldCount = 5;                 ///< Scheme, key id, time, nonce, signature.
constexpr int64_t LatestTime = int64_t(1) << 53; ///< Milliseconds; rules out overflow.

/** @return The text to be signed: one line for each part; no part contains a line break. */
std::string makeSignedText(const SignedCall &call, const std::string &time,
                           const std::string &nonce)
{
    std::string text(Scheme);
    text += '\n';
    text += call.method;
    text += '\n';
    text += call.target;
    text += '\n' + call.audience + '\n' + time + '\n' + nonce + '\n';
    text += toHex(computeDigest(call.body));
    return text;
}

std::vector<std::string> split(std::string_view text, char separator)
{
    std::vector<std::string> parts;
    while (true) {
        const size_t end = text.find(separator);
        parts.emplace_back(text.substr(0, end));
        if (end == std::string_view::npos) {
            return parts;
        }
        text.remove_prefix(end + 1);
    }
}

template <typename Number>
bool parseNumber(const std::string &text, Number &number)
{
    const char *end = text.data() + text.size();
    const auto result = std::from_chars(text.data(), end, number);
    return !text.empty() && result.ec == std::errc() && result.ptr == end;
}

} // namespace

std::string_view refusalName(AuthRefusal refusal)
{
    switch (refusal) {
    case AuthRefusal::Missing:
        return "missing";
    case AuthRefusal::Malformed:
        return "malformed";
    case AuthRefusal::UnknownKey:
        return "unknown-key";
    case AuthRefusal::WrongSignature:
        return "wrong-signature";
    case AuthRefusal::Skewed:
        return "skewed";
    case AuthRefusal::Replayed:
        return "replayed";
    case AuthRefusal::Full:
        return "full";
    }
    return "unknown";
}

std::string signCall(const FleetKeys &keys, const SignedCall &call, WallTime now)
{
    const FleetKey &key = keys.keys.front();
    const std::string time = std::to_string(now.time_since_epoch().count());
    const std::string nonce = std::to_string(randomNonce());
    const std::string mac = toHex(computeMac(key, makeSignedText(call, time, nonce)));
    return std::string(Scheme) + " " + key.id + " " + time + " " + nonce + " " + mac;
}

Failure CallVerifier::refuse(AuthRefusal refusal)
{
    counters_.count(refusal);
    const FailureCode code
            = refusal == AuthRefusal::Full ? FailureCode::Overloaded : FailureCode::Unauthorized;
    return {code, std::string(refusalName(refusal))};
}

Result<void> CallVerifier::verify(const SignedCall &call, std::string_view signature, WallTime now)
{
    if (signature.empty()) {
        return refuse(AuthRefusal::Missing);
    }
    const std::vector<std::string> fields = split(signature, ' ');
    int64_t time = 0;
    uint64_t nonce = 0;
    const bool wellFormed = fields.size() == FieldCount && fields[0] == Scheme
                            && parseNumber(fields[2], time) && parseNumber(fields[3], nonce)
                            && time >= 0 && time <= LatestTime;
    const auto mac = wellFormed ? fromHex(fields[4]) : std::nullopt;
    if (!mac) {
        return refuse(AuthRefusal::Malformed);
    }
    const FleetKey *key = keys_.find(fields[1]);
    if (key == nullptr) {
        return refuse(AuthRefusal::UnknownKey);
    }
    const std::string expected = computeMac(*key, makeSignedText(call, fields[2], fields[3]));
    if (!equalInConstantTime(expected, *mac)) {
        return refuse(AuthRefusal::WrongSignature);
    }
    switch (replay_.check(WallTime(milliseconds(time)), CallNonce(nonce), now)) {
    case ReplayVerdict::Skewed:
        return refuse(AuthRefusal::Skewed);
    case ReplayVerdict::Replayed:
        return refuse(AuthRefusal::Replayed);
    case ReplayVerdict::Full:
        return refuse(AuthRefusal::Full);
    case ReplayVerdict::Fresh:
        break;
    }
    return boost::outcome_v2::success();
}

} // namespace wisteriahoist
