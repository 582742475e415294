/** @file fleet_key.h Shared keys of a fleet, and HMAC-SHA256 with them. */

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace wisteriahoist {

inline constexpr size_t FleetSecretBytes = 32;

/** One shared key. */
struct FleetKey {
    std::string id;     ///< Identifies the key in signatures; not secret.
    std::string secret; ///< FleetSecretBytes bytes.
};

/** All accepted keys; the first one signs. During a rotation there are two. */
struct FleetKeys {
    std::vector<FleetKey> keys;

    bool empty() const { return keys.empty(); }

    /** @return The key with id @p id, or nullptr. */
    const FleetKey *find(std::string_view id) const;
};

/** @return HMAC-SHA256 of @p text, 32 bytes. */
std::string computeMac(const FleetKey &key, std::string_view text);

/** @return SHA-256 of @p text, 32 bytes. */
std::string computeDigest(std::string_view text);

/** @return Whether both are equal; the time does not depend on where they differ. */
bool equalInConstantTime(std::string_view one, std::string_view other);

/**
 * @return @p count bytes of a cryptographically secure random generator, suitable for keys and
 * nonces.
 * @throws std::system_error if the generator fails.
 */
std::string randomBytes(size_t count);

/** @return 64 random bits. */
uint64_t randomNonce();

std::string toHex(std::string_view bytes);

/** @return The bytes, or nothing if @p text is not an even number of hexadecimal digits. */
std::optional<std::string> fromHex(std::string_view text);

} // namespace wisteriahoist
