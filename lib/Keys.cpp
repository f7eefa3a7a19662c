#include "rhubarb/Keys.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace rhubarb {
namespace {

constexpr std::size_t MaxIdLength = 64;
constexpr std::size_t MaxKeyLength = 256;
constexpr int HexBase = 16;

std::string hexText(std::uint64_t Value) {
  std::array<char, 16> Buffer{};
  auto [End, Error] = std::to_chars(
      Buffer.data(), Buffer.data() + Buffer.size(), Value, HexBase);
  return {Buffer.data(), End};
}

template <typename T> bool readHex(std::string_view Text, T &Value) {
  const char *End = Text.data() + Text.size();
  auto [Stop, Error] = std::from_chars(Text.data(), End, Value, HexBase);
  return Error == std::errc() && Stop == End && !Text.empty();
}

// Returns the part before the next separator and advances Rest past it.
std::string_view takeField(std::string_view &Rest, char Separator) {
  std::size_t Position = Rest.find(Separator);
  std::string_view Field = Rest.substr(0, Position);
  Rest = Position == std::string_view::npos ? std::string_view()
                                            : Rest.substr(Position + 1);
  return Field;
}

bool isIdText(std::string_view Text) {
  auto Allowed = [](char C) {
    return (C >= '0' && C <= '9') || (C >= 'a' && C <= 'z') ||
           (C >= 'A' && C <= 'Z') || C == '_' || C == '-';
  };
  return !Text.empty() && Text.size() <= MaxIdLength &&
         std::all_of(Text.begin(), Text.end(), Allowed);
}

Error malformed(const char *Text) { return {ErrorKind::KeyMalformed, Text}; }

} // namespace

std::string signedPayload(const HomeId &Home, std::int64_t IssuedMs) {
  return hexText(Home.m_Ip) + "-" + hexText(Home.m_Port) + "-" +
         hexText(Home.m_Incarnation) + "." +
         hexText(static_cast<std::uint64_t>(IssuedMs));
}

std::string keyPrefixText(const KeyPrefix &Prefix) {
  return signedPayload(Prefix.m_Home, Prefix.m_IssuedMs) + "." +
         Prefix.m_Signature;
}

std::string IdempotencyKey::text() const {
  return keyPrefixText(m_Prefix) + "." + m_Id;
}

Result<KeyPrefix> parseKeyPrefix(std::string_view Text) {
  if (Text.size() > MaxKeyLength)
    return malformed("key is longer than 256 characters");
  KeyPrefix Prefix;
  std::string_view Address = takeField(Text, '.');
  std::string_view Issued = takeField(Text, '.');
  std::string_view Ip = takeField(Address, '-');
  std::string_view Port = takeField(Address, '-');
  std::uint64_t IssuedMs = 0;
  if (!readHex(Ip, Prefix.m_Home.m_Ip) ||
      !readHex(Port, Prefix.m_Home.m_Port) ||
      !readHex(Address, Prefix.m_Home.m_Incarnation) ||
      !readHex(Issued, IssuedMs))
    return malformed("key is not home.issued.signature.id");
  Prefix.m_IssuedMs = static_cast<std::int64_t>(IssuedMs);
  Prefix.m_Signature = Text;
  if (!isIdText(Text))
    return malformed("key has no signature");
  return Prefix;
}

Result<IdempotencyKey> parseKey(std::string_view Text) {
  std::size_t LastDot = Text.rfind('.');
  if (LastDot == std::string_view::npos)
    return malformed("key is not home.issued.signature.id");
  std::string_view Id = Text.substr(LastDot + 1);
  if (!isIdText(Id))
    return malformed("key id takes 1 to 64 of 0-9, A-Z, a-z, _ and -");
  Result<KeyPrefix> Prefix = parseKeyPrefix(Text.substr(0, LastDot));
  if (!Prefix)
    return Prefix.error();
  return IdempotencyKey{Prefix.value(), std::string(Id)};
}

std::size_t Response::sizeInBytes() const {
  std::size_t Sum = sizeof(Response) + m_Body.size() + m_Detail.size();
  for (const HeaderField &Field : m_Headers)
    Sum += sizeof(HeaderField) + Field.m_Name.size() + Field.m_Value.size();
  return Sum;
}

ResponsePtr makeErrorResponse(ErrorKind Kind, std::string Detail,
                              Duration RetryAfter) {
  const ErrorInfo &Row = errorInfo(Kind);
  auto Built = std::make_shared<Response>();
  Built->m_Status = Row.m_HttpStatus;
  Built->m_Outcome = Row.m_Outcome;
  Built->m_Error = Kind;
  Built->m_Detail =
      Detail.empty() ? std::string(Row.m_Hint) : std::move(Detail);
  constexpr Duration DefaultRetryAfter = 500ms;
  if (Row.m_Retryable)
    Built->m_RetryAfter =
        RetryAfter.count() > 0 ? RetryAfter : DefaultRetryAfter;
  return Built;
}

KeyTable::KeyTable(HomeId Self, KeyTableLimits Limits)
    : m_Self(Self), m_Limits(Limits) {}

KeyAdmission KeyTable::admit(const IdempotencyKey &Key,
                             std::uint64_t Fingerprint, std::int64_t NowMs,
                             int Try) {
  using std::chrono::duration_cast;
  using std::chrono::milliseconds;
  std::int64_t LifetimeMs =
      duration_cast<milliseconds>(m_Limits.m_Lifetime).count();
  std::int64_t SkewMs =
      duration_cast<milliseconds>(m_Limits.m_ClockSkew).count();
  std::int64_t ExpiresMs = Key.m_Prefix.m_IssuedMs + LifetimeMs;
  if (Key.m_Prefix.m_IssuedMs > NowMs + SkewMs)
    return refuse(ErrorKind::KeyForged);
  if (NowMs >= ExpiresMs)
    return refuse(ErrorKind::KeyExpired);
  expire(NowMs);
  std::string Text = Key.text();
  auto Found = m_Rows.find(Text);
  if (Found != m_Rows.end())
    return admitExisting(Found->second, Fingerprint, Try);
  if (!servesHome(Key.m_Prefix.m_Home))
    return refuse(ErrorKind::HomeGone);
  if (m_RefusesNewKeys)
    return refuse(ErrorKind::Leaving);
  if (m_Rows.size() >= m_Limits.m_MaxKeys ||
      m_ResponseBytes >= m_Limits.m_MaxResponseBytes)
    return refuse(ErrorKind::KeyTableFull);
  Row &Added = m_Rows[Text];
  Added.m_Fingerprint = Fingerprint;
  Added.m_ExpiresMs = ExpiresMs;
  Added.m_LastTry = Try;
  m_ExpiryHeap.emplace_back(-ExpiresMs, std::move(Text));
  std::push_heap(m_ExpiryHeap.begin(), m_ExpiryHeap.end());
  return {KeyAction::Run, ErrorKind::None, {}};
}

KeyAdmission KeyTable::admitExisting(Row &Existing, std::uint64_t Fingerprint,
                                     int Try) {
  if (Existing.m_Fingerprint != Fingerprint)
    return refuse(ErrorKind::KeyReused);
  bool DelayedTry = Try != 0 && Try <= Existing.m_LastTry;
  Existing.m_LastTry = std::max(Existing.m_LastTry, Try);
  switch (Existing.m_State) {
  case KeyState::Queued:
  case KeyState::Sent:
    return {KeyAction::Join, ErrorKind::None, {}};
  case KeyState::NotRun:
    // The peer that took over this home may run the key on a later try.
    if (m_Retired)
      return refuse(ErrorKind::HomeGone);
    if (m_RefusesNewKeys || DelayedTry)
      return {KeyAction::Replay, ErrorKind::None, Existing.m_Response};
    Existing.m_State = KeyState::Queued;
    return {KeyAction::Run, ErrorKind::None, {}};
  case KeyState::Answered:
  case KeyState::Unknown:
    break;
  }
  return {KeyAction::Replay, ErrorKind::None, Existing.m_Response};
}

bool KeyTable::markSent(const std::string &Key) {
  auto Found = m_Rows.find(Key);
  if (m_Retired || Found == m_Rows.end() ||
      Found->second.m_State != KeyState::Queued)
    return false;
  Found->second.m_State = KeyState::Sent;
  return true;
}

void KeyTable::markNotSent(const std::string &Key) {
  auto Found = m_Rows.find(Key);
  if (Found != m_Rows.end() && Found->second.m_State == KeyState::Sent)
    Found->second.m_State = KeyState::Queued;
}

void KeyTable::storeResponse(Row &Target, ResponsePtr Result) {
  if (Target.m_Response)
    m_ResponseBytes -= Target.m_Response->sizeInBytes();
  m_ResponseBytes += Result->sizeInBytes();
  Target.m_Response = std::move(Result);
}

void KeyTable::finish(const std::string &Key, const ResponsePtr &Result) {
  auto Found = m_Rows.find(Key);
  if (Found == m_Rows.end())
    return;
  Row &Target = Found->second;
  switch (Result->m_Outcome) {
  case Outcome::Answered:
    Target.m_State = KeyState::Answered;
    break;
  case Outcome::NotRun:
    Target.m_State = KeyState::NotRun;
    break;
  case Outcome::Unknown:
    Target.m_State = KeyState::Unknown;
    break;
  }
  storeResponse(Target, Result);
  std::vector<std::function<void(ResponsePtr)>> Joined;
  Joined.swap(Target.m_Waiters);
  for (auto &Done : Joined)
    Done(Result);
}

void KeyTable::join(const std::string &Key,
                    std::function<void(ResponsePtr)> Done) {
  auto Found = m_Rows.find(Key);
  if (Found == m_Rows.end() || (Found->second.m_State != KeyState::Queued &&
                                Found->second.m_State != KeyState::Sent)) {
    Done(makeErrorResponse(ErrorKind::Internal, "no attempt to join"));
    return;
  }
  Found->second.m_Waiters.push_back(std::move(Done));
}

void KeyTable::expire(std::int64_t NowMs) {
  while (!m_ExpiryHeap.empty() && -m_ExpiryHeap.front().first <= NowMs) {
    std::pop_heap(m_ExpiryHeap.begin(), m_ExpiryHeap.end());
    auto Found = m_Rows.find(m_ExpiryHeap.back().second);
    m_ExpiryHeap.pop_back();
    if (Found == m_Rows.end())
      continue;
    Row &Expired = Found->second;
    if (Expired.m_Response)
      m_ResponseBytes -= Expired.m_Response->sizeInBytes();
    auto Joined = std::move(Expired.m_Waiters);
    m_Rows.erase(Found);
    for (auto &Done : Joined)
      Done(makeErrorResponse(ErrorKind::KeyExpired));
  }
}

KeyHandover KeyTable::retire() {
  KeyHandover Handover;
  if (m_Retired)
    return Handover;
  m_RefusesNewKeys = true;
  m_Retired = true;
  Handover.m_Homes = homes();
  Handover.m_Rows.reserve(m_Rows.size());
  for (auto &[Key, Value] : m_Rows) {
    bool InFlight =
        Value.m_State == KeyState::Queued || Value.m_State == KeyState::Sent;
    ResponsePtr FinalResponse =
        InFlight ? makeErrorResponse(ErrorKind::HomeGone) : Value.m_Response;
    Handover.m_Rows.push_back({Key, Value.m_Fingerprint, Value.m_ExpiresMs,
                               InFlight ? KeyState::Unknown : Value.m_State,
                               FinalResponse, Value.m_LastTry});
  }
  return Handover;
}

void KeyTable::adopt(const KeyHandover &Handover) {
  for (const HomeId &Home : Handover.m_Homes)
    if (!servesHome(Home))
      m_Adopted.push_back(Home);
  for (const KeyHandoverRow &Source : Handover.m_Rows) {
    if (m_Rows.contains(Source.m_Key) || !Source.m_Response)
      continue;
    Row &Target = m_Rows[Source.m_Key];
    Target.m_State = Source.m_State;
    Target.m_Fingerprint = Source.m_Fingerprint;
    Target.m_ExpiresMs = Source.m_ExpiresMs;
    Target.m_LastTry = Source.m_LastTry;
    storeResponse(Target, Source.m_Response);
    m_ExpiryHeap.emplace_back(-Source.m_ExpiresMs, Source.m_Key);
    std::push_heap(m_ExpiryHeap.begin(), m_ExpiryHeap.end());
  }
}

std::vector<HomeId> KeyTable::homes() const {
  std::vector<HomeId> Homes = m_Adopted;
  Homes.push_back(m_Self);
  return Homes;
}

bool KeyTable::servesHome(const HomeId &Home) const {
  return Home == m_Self ||
         std::find(m_Adopted.begin(), m_Adopted.end(), Home) != m_Adopted.end();
}

} // namespace rhubarb
