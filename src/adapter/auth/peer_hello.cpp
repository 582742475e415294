/** @file peer_hello.cpp Handshake in which two nodes prove that they hold a key of the fleet. */

#include "adapter/auth/peer_hello.h"

#include "wisteriahoist/v1/auth.pb.h"

namespace wisteriahoist {

namespace {

constexpr size_t NonceBytes = 16;

// Each role signs a different text, so that a proof cannot be reflected to its sender.
constexpr std::string_view ListenerRole = "wisteriahoist hello v1 listener ";
constexpr std::string_view CallerRole = "wisteriahoist hello v1 caller ";

std::string computeProof(const FleetKey &key, std::string_view role, const std::string &nonces)
{
    return computeMac(key, std::string(role) + nonces);
}

Failure makeUnauthorized(AuthRefusal refusal)
{
    return {FailureCode::Unauthorized, "hello: " + std::string(refusalName(refusal))};
}

boost::asio::awaitable<std::string> handleAuthenticated(std::shared_ptr<HelloListener> hello,
                                                        PeerCallHandler next, std::string path,
                                                        std::string body)
{
    if (path == HelloPath) {
        co_return hello->onHello(body);
    }
    if (path == ProofPath) {
        co_return hello->onProof(body);
    }
    if (!hello->isAuthenticated()) {
        hello->countUnauthenticated();
        co_return std::string();
    }
    co_return co_await next(std::move(path), std::move(body));
}

} // namespace

std::string HelloListener::onHello(const std::string &body)
{
    v1::HelloRequest request;
    v1::HelloReply reply;
    authenticated_ = false;
    nonces_.clear();
    if (!request.ParseFromString(body) || request.nonce().size() != NonceBytes) {
        counters_.count(AuthRefusal::Malformed);
        return reply.SerializeAsString();
    }
    key_ = keys_.find(request.key_id());
    if (key_ == nullptr) {
        counters_.count(AuthRefusal::UnknownKey);
        return reply.SerializeAsString();
    }
    reply.set_nonce(randomBytes(NonceBytes));
    nonces_ = request.nonce() + reply.nonce();
    reply.set_mac(computeProof(*key_, ListenerRole, nonces_));
    return reply.SerializeAsString();
}

std::string HelloListener::onProof(const std::string &body)
{
    v1::ProofRequest request;
    v1::ProofReply reply;
    if (nonces_.empty() || !request.ParseFromString(body)) {
        counters_.count(AuthRefusal::Malformed);
        return reply.SerializeAsString();
    }
    authenticated_ = equalInConstantTime(computeProof(*key_, CallerRole, nonces_), request.mac());
    nonces_.clear();
    if (!authenticated_) {
        counters_.count(AuthRefusal::WrongSignature);
    }
    reply.set_accepted(authenticated_);
    return reply.SerializeAsString();
}

std::string HelloCaller::makeHello()
{
    nonce_ = randomBytes(NonceBytes);
    v1::HelloRequest request;
    request.set_key_id(key_.id);
    request.set_nonce(nonce_);
    return request.SerializeAsString();
}

Result<std::string> HelloCaller::onHelloReply(const std::string &body) const
{
    v1::HelloReply reply;
    if (!reply.ParseFromString(body)) {
        return makeUnauthorized(AuthRefusal::Malformed);
    }
    if (reply.nonce().size() != NonceBytes) {
        return makeUnauthorized(AuthRefusal::UnknownKey);
    }
    const std::string nonces = nonce_ + reply.nonce();
    if (!equalInConstantTime(computeProof(key_, ListenerRole, nonces), reply.mac())) {
        return makeUnauthorized(AuthRefusal::WrongSignature);
    }
    v1::ProofRequest proof;
    proof.set_mac(computeProof(key_, CallerRole, nonces));
    return proof.SerializeAsString();
}

Result<void> HelloCaller::onProofReply(const std::string &body)
{
    v1::ProofReply reply;
    if (!reply.ParseFromString(body) || !reply.accepted()) {
        return makeUnauthorized(AuthRefusal::WrongSignature);
    }
    return boost::outcome_v2::success();
}

PeerCallHandler PeerGuard::guard(PeerCallHandler next)
{
    // Keeps the guard alive, since a connection may outlive the listener that accepted it.
    auto owner = shared_from_this();
    auto hello = std::make_shared<HelloListener>(keys_, counters_);
    return [owner, hello, next = std::move(next)](std::string path, std::string body) {
        return handleAuthenticated(hello, next, std::move(path), std::move(body));
    };
}

} // namespace wisteriahoist
