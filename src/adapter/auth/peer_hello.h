/** @file peer_hello.h Handshake in which two nodes prove that they hold a key of the fleet. */

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
 * The listener's side of the handshake on one connection, a mutual challenge and response.
 *
 * Prevents an unauthorized process, or a node whose key has been withdrawn, from acquiring leases
 * or handing over requests. The nonces are drawn for each connection, so a recorded handshake is
 * useless on another one; neither clocks nor a replay cache are needed. It does not protect against
 * an attacker who can modify the bytes of an open connection; such a network needs mutual TLS.
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

    /** Counts a rejected call on a connection that has not completed the handshake. */
    void countUnauthenticated() { counters_.count(AuthRefusal::Missing); }

    bool isAuthenticated() const { return authenticated_; }

private:
    const FleetKeys &keys_;
    AuthCounters &counters_;
    const FleetKey *key_ = nullptr; ///< Selected by the hello.
    std::string nonces_;            ///< The caller's nonce and this side's; empty before a hello.
    bool authenticated_ = false;
};

/** The caller's side of the handshake on one connection. */
class HelloCaller
{
public:
    /** @pre @p keys is not empty. */
    explicit HelloCaller(const FleetKeys &keys) : key_(keys.keys.front()) { }

    /** @return The request body for HelloPath. */
    std::string makeHello();

    /**
     * @return The request body for ProofPath; Unauthorized if the listener does not hold the key.
     */
    Result<std::string> onHelloReply(const std::string &body) const;

    /** @return Unauthorized if the listener rejected the proof. */
    static Result<void> onProofReply(const std::string &body);

private:
    FleetKey key_;
    std::string nonce_;
};

/** Handles one call of a peer: takes path and body, returns the response body. */
using PeerCallHandler
        = std::function<boost::asio::awaitable<std::string>(std::string, std::string)>;

/** Authenticates the connections of one listener. */
class PeerGuard : public std::enable_shared_from_this<PeerGuard>
{
public:
    explicit PeerGuard(FleetKeys keys) : keys_(std::move(keys)) { }

    /**
     * Wraps @p next for one connection; calls reach it only after the handshake.
     * @pre The guard is owned by a shared_ptr.
     * @return A handler that keeps the guard alive and responds to rejected calls with an empty
     * body.
     */
    PeerCallHandler guard(PeerCallHandler next);

    const AuthCounters &counters() const { return counters_; }

private:
    FleetKeys keys_;
    AuthCounters counters_;
};

} // namespace wisteriahoist
