// Idempotency keys and the table that runs each of them at most once.
//
// A key names its home: one incarnation of one entry process. Only that
// incarnation ever dispatches the key. The right to run is never moved while
// the home lives; a home that died takes it along.
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

// One incarnation of one entry process.
struct HomeId {
  std::uint32_t m_Ip = 0; // IPv4, host byte order.
  std::uint16_t m_Port = 0;
  std::uint64_t m_Incarnation = 0; // Random, drawn at process start.

  bool operator==(const HomeId &) const = default;
};

// Where a key may run and since when it exists. Signed by the deployment.
struct KeyPrefix {
  HomeId m_Home;
  std::int64_t m_IssuedMs = 0; // Unix milliseconds at the issuer.
  std::string m_Signature;
};

// A whole key: the home part, and an id that the caller makes up.
struct IdempotencyKey {
  KeyPrefix m_Prefix;
  std::string m_Id; // 1 to 64 of [0-9A-Za-z_-].

  // Returns the text form, home.issued.signature.id.
  std::string text() const;
};

// Returns the home part as text; the caller appends "." and an id.
std::string keyPrefixText(const KeyPrefix &Home);
// Returns what the signature covers.
std::string signedPayload(const HomeId &Home, std::int64_t IssuedMs);
// Reads a key; the signature is not checked here.
Result<IdempotencyKey> parseKey(std::string_view Text);
// Reads a key without its id, as a look-up answer carries it.
Result<KeyPrefix> parseKeyPrefix(std::string_view Text);

// A header field of an answer.
struct HeaderField {
  std::string m_Name;
  std::string m_Value;
};

// A whole answer as a caller gets it.
struct Response {
  int m_Status = 200;
  std::vector<HeaderField> m_Headers; // Of the backend server.
  std::string m_Body;
  Outcome m_Outcome = Outcome::Answered;
  ErrorKind m_Error = ErrorKind::None;
  Duration m_RetryAfter{0}; // 0: none.
  std::string m_Detail;     // Text for a person; empty with None.

  // Bytes that the answer occupies in the key table.
  std::size_t sizeInBytes() const;
};

using ResponsePtr = std::shared_ptr<const Response>;

// Makes the answer that the error table gives for Kind.
ResponsePtr makeErrorResponse(ErrorKind Kind, std::string Detail = {},
                              Duration RetryAfter = Duration{0});

// Life of a key at its home.
enum class KeyState : std::uint8_t { Queued, Sent, Answered, NotRun, Unknown };

// What an arrival of a key must do.
enum class KeyAction : std::uint8_t {
  Run,    // First arrival, or the earlier attempt is known not to have run.
  Join,   // An attempt is under way: wait for its answer.
  Replay, // The stored answer is final.
  Refuse, // m_Error says why.
};

// Answer to an arrival of a key.
struct KeyAdmission {
  KeyAction m_Action = KeyAction::Refuse;
  ErrorKind m_Error = ErrorKind::None;
  ResponsePtr m_Response; // With Replay.
};

// One row of a hand-over to the neighbour that will answer for the home.
struct KeyHandoverRow {
  std::string m_Key;
  std::uint64_t m_Fingerprint = 0;
  std::int64_t m_ExpiresMs = 0;
  KeyState m_State = KeyState::Unknown;
  ResponsePtr m_Response;
  int m_LastTry = 0;
};

// What a retired home hands to one neighbour.
struct KeyHandover {
  std::vector<HomeId> m_Homes; // Taken over once all rows have arrived.
  std::vector<KeyHandoverRow> m_Rows;
};

// Bounds of a key table, and how long a key lives.
struct KeyTableLimits {
  Duration m_Lifetime = 10min; // From issue to expiry.
  Duration m_ClockSkew = 5s;   // Largest difference between VM clocks.
  std::size_t m_MaxKeys = 200000;
  std::size_t m_MaxResponseBytes = 64U << 20U;
};

// Table of the keys of one home. Rows leave only by expiry: a full table
// refuses new keys and never forgets old ones.
class KeyTable {
public:
  KeyTable(HomeId Self, KeyTableLimits Limits);

  // Decides about an arrival. Fingerprint binds the key to one request;
  // NowMs is Unix time on a clock of the process that never goes back. Try
  // counts the caller's sendings of the key from 1; 0: not stated. A key that
  // was refused as not run runs again only for a later try, so that an earlier
  // one that was held up on its way cannot make the refusal untrue.
  KeyAdmission admit(const IdempotencyKey &Key, std::uint64_t Fingerprint,
                     std::int64_t NowMs, int Try = 0);
  // Records that bytes may reach a backend server from now on. Returns false
  // when the key must not be sent (not queued, or given up).
  bool markSent(const std::string &Key);
  // Takes markSent back: the attempt is known not to have run, and another one
  // follows.
  void markNotSent(const std::string &Key);
  // Records the end of an attempt and wakes every joined arrival.
  void finish(const std::string &Key, const ResponsePtr &Result);
  // Calls Done with the answer once the running attempt has ended.
  void join(const std::string &Key, std::function<void(ResponsePtr)> Done);
  // Drops rows past their lifetime. Cost: the rows dropped.
  void expire(std::int64_t NowMs);

  // Refuses keys that have not been seen yet; attempts under way go on.
  void refuseNewKeys() { m_RefusesNewKeys = true; }
  // Gives up this home for good: no key runs here any more, every row is
  // returned. Attempts still under way are handed over as unknown. Only the
  // first call returns homes: a second hand-over could give a second table the
  // right to run.
  KeyHandover retire();
  // Takes over homes that have given up for good, with all of their rows. A
  // key that is not among the rows never ran there and may run here. Hand one
  // home to one table only: two would both have the right to run its keys.
  void adopt(const KeyHandover &Taken);
  // Returns this home and every adopted one.
  std::vector<HomeId> homes() const;
  // Returns whether this table answers for Home.
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
  KeyAdmission admitExisting(Row &Known, std::uint64_t Fingerprint, int Try);
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
