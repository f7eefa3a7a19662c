#include "net/Crypto.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#include <array>
#include <random>

namespace rhubarb::net {
namespace {

constexpr std::size_t SignatureBytes = 8;
constexpr std::size_t DigestSecretWords = 4; // Of 64 bits each.
constexpr char HexDigits[] = "0123456789abcdef";

} // namespace

std::uint64_t randomBits() {
  std::uint64_t Bits = 0;
  if (RAND_bytes(reinterpret_cast<unsigned char *>(&Bits), sizeof(Bits)) == 1)
    return Bits;
  std::random_device Device;
  return (static_cast<std::uint64_t>(Device()) << 32U) | Device();
}

std::string randomId() {
  std::uint64_t Bits = randomBits();
  std::string Text;
  for (int I = 0; I < 16; ++I, Bits >>= 4U)
    Text += HexDigits[Bits & 15U];
  return Text;
}

std::string encodeBase64(std::string_view Bytes) {
  std::string Text((Bytes.size() + 2) / 3 * 4 + 1, '\0');
  int Length =
      EVP_EncodeBlock(reinterpret_cast<unsigned char *>(Text.data()),
                      reinterpret_cast<const unsigned char *>(Bytes.data()),
                      static_cast<int>(Bytes.size()));
  Text.resize(static_cast<std::size_t>(Length));
  return Text;
}

Result<std::string> decodeBase64(std::string_view Text) {
  std::string Bytes(Text.size() / 4 * 3 + 3, '\0');
  int Length =
      EVP_DecodeBlock(reinterpret_cast<unsigned char *>(Bytes.data()),
                      reinterpret_cast<const unsigned char *>(Text.data()),
                      static_cast<int>(Text.size()));
  if (Length < 0)
    return Error{ErrorKind::BadRequest, "invalid base64"};
  std::size_t Padding = 0;
  while (Padding < 2 && Padding < Text.size() &&
         Text[Text.size() - 1 - Padding] == '=')
    ++Padding;
  Bytes.resize(static_cast<std::size_t>(Length) - Padding);
  return Bytes;
}

std::string KeySigner::signature(const std::string &Payload) const {
  std::array<unsigned char, EVP_MAX_MD_SIZE> Digest{};
  unsigned int Length = 0;
  HMAC(EVP_sha256(), m_Secret.data(), static_cast<int>(m_Secret.size()),
       reinterpret_cast<const unsigned char *>(Payload.data()), Payload.size(),
       Digest.data(), &Length);
  std::string Text;
  for (std::size_t I = 0; I < SignatureBytes; ++I) {
    Text += HexDigits[Digest[I] >> 4U];
    Text += HexDigits[Digest[I] & 15U];
  }
  return Text;
}

KeyPrefix KeySigner::sign(const HomeId &Home, std::int64_t IssuedMs) const {
  return {Home, IssuedMs, signature(signedPayload(Home, IssuedMs))};
}

bool KeySigner::verify(const KeyPrefix &Prefix) const {
  std::string Expected =
      signature(signedPayload(Prefix.m_Home, Prefix.m_IssuedMs));
  return Expected.size() == Prefix.m_Signature.size() &&
         CRYPTO_memcmp(Expected.data(), Prefix.m_Signature.data(),
                       Expected.size()) == 0;
}

KeyedDigest::KeyedDigest() {
  for (std::size_t I = 0; I < DigestSecretWords; ++I) {
    std::uint64_t Bits = randomBits();
    m_Secret.append(reinterpret_cast<const char *>(&Bits), sizeof(Bits));
  }
}

std::string KeyedDigest::operator()(std::string_view Text) const {
  std::array<unsigned char, EVP_MAX_MD_SIZE> Digest{};
  unsigned int Length = 0;
  HMAC(EVP_sha256(), m_Secret.data(), static_cast<int>(m_Secret.size()),
       reinterpret_cast<const unsigned char *>(Text.data()), Text.size(),
       Digest.data(), &Length);
  return {reinterpret_cast<const char *>(Digest.data()), Length};
}

} // namespace rhubarb::net
