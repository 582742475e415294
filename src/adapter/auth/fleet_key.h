/** @file fleet_key.h The keys that a fleet shares, and HMAC-SHA256 with them. */

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
    std::string id;     ///< Names the key in signatures; not secret.
    std::string secret; ///< FleetSecretBytes bytes.
};

/** All keys that are accepted; the first one signs. Two are listed while a rotation lasts. */
struct FleetKeys {
    std::vector<FleetKey> keys;

    bool empty() const { return keys.empty(); }

    /** @return The key named @p id, or nullptr. */
    const FleetKey *find(std::string_view id) const;
};

/** @return HMAC-SHA256 of @p text, 32 bytes. */
std::string computeMac(const FleetKey &key, std::string_view text);

/** @return SHA-256 of @p text, 32 bytes. */
std::string computeDigest(std::string_view text);

/** @return Whether both are equal; takes the same time wherever they differ. */
bool equalInConstantTime(std::string_view one, std::string_view other);

/** @return @p count bytes from the system's generator, fit for keys and nonces. */
std::string randomBytes(size_t count);

/** @return 64 random bits. */
uint64_t randomNonce();

std::string toHex(std::string_view bytes);

/** @return The bytes, or nothing if @p text is no hexadecimal number of whole bytes. */
std::optional<std::string> fromHex(std::string_view text);

} // namespace wisteriahoist
