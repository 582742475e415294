/** @file fleet_key.cpp Shared keys of a fleet, and HMAC-SHA256 with them, by OpenSSL. */

#include "adapter/auth/fleet_key.h"

#include <algorithm>
#include <array>
#include <boost/algorithm/hex.hpp>
#include <cstring>
#include <iterator>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>
#include <system_error>

namespace wisteriahoist {

namespace {

const unsigned char *asBytes(std::string_view text)
{
    return reinterpret_cast<const unsigned char *>(text.data());
}

} // namespace

const FleetKey *FleetKeys::find(std::string_view id) const
{
    const auto found = std::find_if(keys.begin(), keys.end(),
                                    [id](const FleetKey &key) { return key.id == id; });
    return found == keys.end() ? nullptr : &*found;
}

std::string computeMac(const FleetKey &key, std::string_view text)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> mac{};
    unsigned int size = 0;
    HMAC(EVP_sha256(), key.secret.data(), static_cast<int>(key.secret.size()), asBytes(text),
         text.size(), mac.data(), &size);
    return {mac.begin(), mac.begin() + size};
}

std::string computeDigest(std::string_view text)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int size = 0;
    EVP_Digest(text.data(), text.size(), digest.data(), &size, EVP_sha256(), nullptr);
    return {digest.begin(), digest.begin() + size};
}

bool equalInConstantTime(std::string_view one, std::string_view other)
{
    return one.size() == other.size() && CRYPTO_memcmp(one.data(), other.data(), one.size()) == 0;
}

std::string randomBytes(size_t count)
{
    std::string bytes(count, '\0');
    if (RAND_bytes(reinterpret_cast<unsigned char *>(bytes.data()), static_cast<int>(count)) != 1) {
        // Failing is better than signing with a predictable nonce or key.
        throw std::system_error(std::make_error_code(std::errc::io_error),
                                "cannot generate random bytes");
    }
    return bytes;
}

uint64_t randomNonce()
{
    uint64_t nonce = 0;
    const std::string bytes = randomBytes(sizeof(nonce));
    std::memcpy(&nonce, bytes.data(), sizeof(nonce));
    return nonce;
}

std::string toHex(std::string_view bytes)
{
    std::string text;
    boost::algorithm::hex_lower(bytes.begin(), bytes.end(), std::back_inserter(text));
    return text;
}

std::optional<std::string> fromHex(std::string_view text)
{
    std::string bytes;
    try {
        boost::algorithm::unhex(text.begin(), text.end(), std::back_inserter(bytes));
    } catch (const boost::algorithm::hex_decode_error &) {
        return std::nullopt;
    }
    return bytes;
}

} // namespace wisteriahoist
