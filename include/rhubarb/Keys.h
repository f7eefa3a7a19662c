// Idempotency keys, and the table that ensures that each key runs at most once.
//
// A key names its home: one incarnation of one entry process, the only one that
// may dispatch the key. This right is not transferred while the home is
// running, except by a handover at shutdown; if the home crashes, its keys can
// no longer run.
#pragma once

#include "rhubarb/Errors.h"
#include "rhubarb/Types.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace rhubarb {

// An incarnation of an entry process.
struct HomeId {
  std::uint32_t m_Ip = 0; // IPv4 address in host byte order.
  std::uint16_t m_Port = 0;
  std::uint64_t m_Incarnation = 0; // Random number chosen at process start.

  bool operator==(const HomeId &) const = default;
};

// The part of a key that the deployment issues and signs: the home and the time
// of issue.
struct KeyPrefix {
  HomeId m_Home;
  // Unix time in milliseconds on the issuer's clock.
  std::int64_t m_IssuedMs = 0;
  std::string m_Signature;
};

// A complete key: the issued prefix and an id chosen by the caller.
struct IdempotencyKey {
  KeyPrefix m_Prefix;
  std::string m_Id; // 1 to 64 characters from [0-9A-Za-z_-].

  // Returns the key as text, in the form home.issued.signature.id.
  std::string text() const;
};

// Returns the text form of a prefix. The caller appends "." and an id to it.
std::string keyPrefixText(const KeyPrefix &Prefix);
// Returns the text that the signature of a key prefix covers.
std::string signedPayload(const HomeId &Home, std::int64_t IssuedMs);
// Parses a key. Does not verify the signature.
Result<IdempotencyKey> parseKey(std::string_view Text);
// Parses a key prefix, as contained in a look-up response. Does not verify the
// signature.
Result<KeyPrefix> parseKeyPrefix(std::string_view Text);

// A header field of a response.
struct HeaderField {
  std::string m_Name;
  std::string m_Value;
};

// A complete response to a caller.
struct Response {
  int m_Status = 200;
  // Header fields set by the backend server.
  std::vector<HeaderField> m_Headers;
  std::string m_Body;
  Outcome m_Outcome = Outcome::Answered;
  ErrorKind m_Error = ErrorKind::None;
  Duration m_RetryAfter{0}; // 0: no Retry-After header.
  std::string m_Detail;     // Message for a person; empty if m_Error is None.

  // Returns the memory that the response takes in the key table.
  std::size_t sizeInBytes() const;
};

using ResponsePtr = std::shared_ptr<const Response>;

// Builds the response for an error kind. An empty Detail is replaced by the
// hint of the kind, and a RetryAfter of 0 by 500 ms if the kind is retryable.
ResponsePtr makeErrorResponse(ErrorKind Kind, std::string Detail = {},
                              Duration RetryAfter = Duration{0});

// State of a key at its home.
enum class KeyState : std::uint8_t { Queued, Sent, Answered, NotRun, Unknown };

// What to do with a request that carries a key.
enum class KeyAction : std::uint8_t {
  // First request with this key, or the previous attempt is known not to have
  // run.
  Run,
  Join,   // An attempt is in flight; wait for its response.
  Replay, // Return the stored response.
  Refuse, // Return the error in KeyAdmission::m_Error.
};

// Decision about a request that carries a key.
struct KeyAdmission {
  KeyAction m_Action = KeyAction::Refuse;
  ErrorKind m_Error = ErrorKind::None;
  ResponsePtr m_Response; // Stored response; set if m_Action is Replay.
};

// A key in a handover to the peer that takes over the home.
struct KeyHandoverRow {
  std::string m_Key;
  std::uint64_t m_Fingerprint = 0;
  std::int64_t m_ExpiresMs = 0;
  KeyState m_State = KeyState::Unknown;
  ResponsePtr m_Response;
  int m_LastTry = 0;
};

// The state that a retired home transfers to a single peer.
struct KeyHandover {
  // Sent with the last rows, so that the peer takes over the homes only once it
  // has all rows.
  std::vector<HomeId> m_Homes;
  std::vector<KeyHandoverRow> m_Rows;
};

// Size limits of a key table, and the lifetime of a key.
struct KeyTableLimits {
  Duration m_Lifetime = 10min; // Time from the issue of a key to its expiry.
  // Maximum difference between the clocks of two VMs.
  Duration m_ClockSkew = 5s;
  std::size_t m_MaxKeys = 200000;
  std::size_t m_MaxResponseBytes = 64U << 20U;
};

// The keys of one home. Rows are removed only when they expire: a full table
// refuses new keys, because evicting a key would allow it to run again.
class KeyTable {
public:
  KeyTable(HomeId Self, KeyTableLimits Limits);

  // Decides how to handle a request. Fingerprint ties the key to the content of
  // one request. NowMs is Unix time from a clock that never goes backwards
  // within the process. Try is the number of times that the caller has sent the
  // key, starting at 1, or 0 if unknown. After a response that said that the
  // key did not run, only a higher Try runs it again: a delayed duplicate of an
  // earlier try must not invalidate that response.
  KeyAdmission admit(const IdempotencyKey &Key, std::uint64_t Fingerprint,
                     std::int64_t NowMs, int Try = 0);
  // Records that the request may reach a backend server from now on. Returns
  // false if it must not be sent because the key is not queued or this home has
  // been retired.
  bool markSent(const std::string &Key);
  // Reverts markSent() when the attempt is known not to have run and another
  // one follows.
  void markNotSent(const std::string &Key);
  // Stores the result of an attempt and passes it to all joined requests.
  void finish(const std::string &Key, const ResponsePtr &Result);
  // Calls Done with the response once the attempt in flight has ended, or with
  // an error at once if none is in flight.
  void join(const std::string &Key, std::function<void(ResponsePtr)> Done);
  // Removes expired rows and ends their joined requests with KeyExpired. Takes
  // O(n log size) for n removed rows.
  void expire(std::int64_t NowMs);

  // Refuses keys that are not in the table and runs no key again. Attempts in
  // flight continue.
  void refuseNewKeys() { m_RefusesNewKeys = true; }
  // Permanently stops running keys here and returns all rows. Attempts in
  // flight are handed over with an unknown outcome. Later calls
  // return an empty handover: a second one could allow two tables to run the
  // same keys.
  KeyHandover retire();
  // Takes over retired homes with all of their rows. A key that is not among
  // the rows did not run there and may run here. A home must be handed to a
  // single table: two tables could each run the same key.
  void adopt(const KeyHandover &Handover);
  // Returns this home and all adopted homes.
  std::vector<HomeId> homes() const;
  // Returns whether Home is this home or an adopted one.
  bool servesHome(const HomeId &Home) const;

  const HomeId &self() const { return m_Self; }
  std::size_t size() const { return m_Rows.size(); }
  std::size_t responseBytes() const { return m_ResponseBytes; }
  bool retired() const { return m_Retired; }

private:
  struct Row {
    KeyState m_State = KeyState::Queued;
    std::uint64_t m_Fingerprint = 0;
    std::int64_t m_ExpiresMs = 0;
    int m_LastTry = 0;
    ResponsePtr m_Response;
    std::vector<std::function<void(ResponsePtr)>> m_Waiters;
  };

  KeyAdmission refuse(ErrorKind Kind) const {
    return {KeyAction::Refuse, Kind, {}};
  }
  KeyAdmission admitExisting(Row &Existing, std::uint64_t Fingerprint, int Try);
  void storeResponse(Row &Target, ResponsePtr Result);

  HomeId m_Self;
  KeyTableLimits m_Limits;
  bool m_RefusesNewKeys = false;
  bool m_Retired = false;
  std::size_t m_ResponseBytes = 0;
  std::unordered_map<std::string, Row> m_Rows;
  std::vector<std::pair<std::int64_t, std::string>> m_ExpiryHeap;
  std::vector<HomeId> m_Adopted;
};

} // namespace rhubarb
