/** @file peer_hello.h The hello with which two nodes prove that they hold a key of the fleet. */

#pragma once

#include "adapter/auth/fleet_authenticator.h"

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace wisteriahoist {

inline const std::string HelloPath = "/hello";
inline const std::string ProofPath = "/proof";

/**
 * The listener's side of one connection: a challenge and its answer, both ways.
 *
 * Failure prevented: a stranger's process, or a node whose key was withdrawn, asks for leases or
 * hands over requests. The nonces are drawn for each connection, so that a recorded hello is worth
 * nothing on another one; no clock and no memory of nonces is needed. What it does not prevent: one
 * who can change bytes of an open connection. Such a network needs mutual TLS.
 */
class HelloListener
{
public:
    HelloListener(const FleetKeys &keys, AuthCounters &counters) : keys_(keys), counters_(counters)
    { }

    /** @return The reply to HelloPath. */
    std::string onHello(const std::string &body);

    /** @return The reply to ProofPath. */
    std::string onProof(const std::string &body);

    /** Any other call of a connection that has not proved itself was refused. */
    void onStranger() { counters_.count(AuthRefusal::Missing); }

    bool isProved() const { return proved_; }

private:
    const FleetKeys &keys_;
    AuthCounters &counters_;
    const FleetKey *key_ = nullptr; ///< Named by the hello.
    std::string nonces_;            ///< The caller's and ours; empty before a hello.
    bool proved_ = false;
};

/** The caller's side of one connection. */
class HelloCaller
{
public:
    /** @pre @p keys is not empty. */
    explicit HelloCaller(const FleetKeys &keys) : key_(keys.keys.front()) { }

    /** @return The body for HelloPath. */
    std::string makeHello();

    /** @return The body for ProofPath; Unauthorized if the listener holds no such key. */
    Result<std::string> onHelloReply(const std::string &body) const;

    /** @return Unauthorized if the listener refused the proof. */
    static Result<void> onProofReply(const std::string &body);

private:
    FleetKey key_;
    std::string nonce_;
};

/** Answers one call of a peer: path and body in, body out. */
using PeerCallHandler
        = std::function<boost::asio::awaitable<std::string>(std::string, std::string)>;

/** Guards the connections of one listener. */
class PeerGuard : public std::enable_shared_from_this<PeerGuard>
{
public:
    explicit PeerGuard(FleetKeys keys) : keys_(std::move(keys)) { }

    /**
     * Wraps @p next for one connection: calls reach it only after the hello.
     * @pre The guard is owned by a shared_ptr.
     * @return Answers with an empty body what is refused. It keeps the guard alive.
     */
    PeerCallHandler guard(PeerCallHandler next);

    const AuthCounters &counters() const { return counters_; }

private:
    FleetKeys keys_;
    AuthCounters counters_;
};

} // namespace wisteriahoist
