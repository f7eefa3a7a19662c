// Random numbers, signatures and base64, using OpenSSL.
#pragma once

#include "rhubarb/Keys.h"

#include <string>
#include <string_view>

namespace rhubarb::net {

// Returns 64 random bits.
std::uint64_t randomBits();
// Returns 16 random hexadecimal digits.
std::string randomId();
// Returns the length of bytes in base64 with padding.
constexpr std::size_t base64Length(std::size_t Bytes) {
  return (Bytes + 2) / 3 * 4;
}
// Encodes bytes as base64 with padding.
std::string encodeBase64(std::string_view Bytes);
// Decodes base64. Returns an error if Text is not valid base64.
Result<std::string> decodeBase64(std::string_view Text);

// Signs and verifies key prefixes with the deployment's secret (HMAC-SHA-256,
// truncated to the first 16 hexadecimal digits).
class KeySigner {
public:
  explicit KeySigner(std::string Secret) : m_Secret(std::move(Secret)) {}
  // Returns a signed key prefix.
  KeyPrefix sign(const HomeId &Home, std::int64_t IssuedMs) const;
  // Returns whether the signature was made with the deployment's secret.
  bool verify(const KeyPrefix &Prefix) const;

private:
  std::string signature(const std::string &Payload) const;
  std::string m_Secret;
};

// Computes digests under a secret that is drawn when it is created
// (HMAC-SHA-256, 32 bytes). Digests of different processes differ.
class KeyedDigest {
public:
  KeyedDigest();
  std::string operator()(std::string_view Text) const;

private:
  std::string m_Secret;
};

} // namespace rhubarb::net
