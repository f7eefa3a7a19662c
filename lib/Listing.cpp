#include "rhubarb/Listing.h"

#include <algorithm>
#include <set>

namespace rhubarb {
namespace {

// Time to keep a tombstone; longer than an update can be delayed.
constexpr Duration TombstoneLifetime = 30s;
// A server that lives has written its entry again this long after the store's
// return.
constexpr Duration ReturnTime = 2500ms;
// A later end of a cold period within this tolerance is no change. The end is
// computed from the remaining time that the server reports, so it varies with
// the delay of the report.
constexpr Duration ColdUntilTolerance = 250ms;
// Maximum number of departures that one update repeats.
constexpr std::size_t MaxRepeatedDepartures = 16;

// Hash of the fields of a row that affect the use of the server; 0 for a
// tombstone. The cold period is left out, as it ends without a write.
std::uint64_t rowHash(const ListingRow &Row) {
  if (Row.m_Removed)
    return 0;
  const BackendInfo &Info = Row.m_Listing;
  std::uint64_t Hash = stableHash(Info.m_Id);
  for (const std::string &Part :
       {Info.m_Address, Info.m_PoolName, Info.m_Domain,
        std::to_string(Info.m_Slots), std::to_string(Info.m_StartTimeMs),
        std::string(Info.m_Leaving ? "leaving" : "ready")})
    Hash = stableHash(Part, Hash);
  return Hash;
}

bool isDeparture(const ListingRow &Row) {
  return Row.m_Removed || Row.m_Listing.m_Leaving;
}

// Compares two entries by what the server says of itself.
std::strong_ordering serverOrder(const BackendInfo &A, const BackendInfo &B) {
  if (A.m_StartTimeMs != B.m_StartTimeMs)
    return A.m_StartTimeMs <=> B.m_StartTimeMs;
  return A.m_Sequence <=> B.m_Sequence;
}

// Whether a row of a restored store is older than what is known from the era
// before.
bool isStaleCopy(const ListingRow &Row, const ListingRow &Known) {
  if (Row.m_Removed || !Row.m_MayBeCopy)
    return false;
  // A removal does not name the server's last sequence. A copy of an entry that
  // was removed later has no higher revision than the tombstone.
  if (Known.m_Removed)
    return Row.m_Listing.m_StartTimeMs <= Known.m_Listing.m_StartTimeMs &&
           Row.m_Position.m_Revision <= Known.m_Position.m_Revision;
  return serverOrder(Row.m_Listing, Known.m_Listing) < 0;
}

// Whether a row is to replace one of the same position. They differ if one
// replica knows more than the copy that the store was restored from.
bool outweighs(const ListingRow &Row, const ListingRow &Known) {
  if (Row.m_Removed != Known.m_Removed)
    return Row.m_Removed;
  return !Row.m_Removed && serverOrder(Row.m_Listing, Known.m_Listing) > 0;
}

} // namespace

bool ListingTable::storeRow(ListingRow Row) {
  const std::string &Id = Row.m_Listing.m_Id;
  m_Unconfirmed.erase(Id);
  m_Withheld.erase(Id);
  auto [Position, Absent] = m_Rows.try_emplace(Id);
  ListingRow &Stored = Position->second;
  if (!Absent && !Row.m_Removed && rowHash(Stored) == rowHash(Row) &&
      Row.m_Listing.m_ColdUntil <=
          Stored.m_Listing.m_ColdUntil + ColdUntilTolerance) {
    Stored.m_Position = Row.m_Position;
    Stored.m_MayBeCopy = Row.m_MayBeCopy;
    Stored.m_Listing.m_Sequence = Row.m_Listing.m_Sequence;
    return false;
  }
  bool Changed = !Row.m_Removed || (!Absent && !Stored.m_Removed);
  if (Row.m_Removed && !Absent) // Keeps the server's start time and sequence.
    Row.m_Listing = Stored.m_Listing;
  m_Digest ^= (Absent ? 0 : rowHash(Stored)) ^ rowHash(Row);
  Row.m_ChangeNumber = ++m_ChangeCount;
  Stored = std::move(Row);
  return Changed;
}

// Keeps what is known of a server, though the store says something older since
// its restore. Later writes of the new era replace it.
bool ListingTable::withhold(ListingRow &Known, const ListingRow &Copy,
                            Time Now) {
  Known.m_Position = Copy.m_Position;
  Known.m_MayBeCopy = true;
  m_Unconfirmed.erase(Known.m_Listing.m_Id);
  m_Withheld.try_emplace(Known.m_Listing.m_Id,
                         WithheldEntry{Copy.m_Listing, Now});
  return false;
}

bool ListingTable::put(const BackendInfo &Listing, StorePosition Position,
                       Time Now, bool MayBeCopy) {
  ListingRow Row{Listing, Position, false, Now, MayBeCopy};
  return merge(Row, Now);
}

bool ListingTable::remove(const std::string &Id, StorePosition Position,
                          Time Now) {
  ListingRow Row;
  Row.m_Listing.m_Id = Id;
  Row.m_Position = Position;
  Row.m_Removed = true;
  return merge(Row, Now);
}

bool ListingTable::merge(const ListingRow &Got, Time Now) {
  ListingRow Row = Got;
  Row.m_ChangedAt = Now;
  auto Found = m_Rows.find(Row.m_Listing.m_Id);
  if (Found == m_Rows.end())
    return storeRow(std::move(Row));
  ListingRow &Known = Found->second;
  if (Row.m_Position.m_Era == Known.m_Position.m_Era) {
    bool Newer = Row.m_Position > Known.m_Position ||
                 (Row.m_Position == Known.m_Position && outweighs(Row, Known));
    return Newer && storeRow(std::move(Row));
  }
  if (Row.m_Position > Known.m_Position)
    return isStaleCopy(Row, Known) ? withhold(Known, Row, Now)
                                   : storeRow(std::move(Row));
  if (!isStaleCopy(Known, Row))
    return false;
  // This replica began with the copy, another one knows more.
  ListingRow Copy = Known;
  Row.m_Position = Copy.m_Position;
  Row.m_MayBeCopy = true;
  bool Changed = storeRow(std::move(Row));
  m_Withheld.try_emplace(Copy.m_Listing.m_Id,
                         WithheldEntry{Copy.m_Listing, Now});
  return Changed;
}

void ListingTable::replace(const std::vector<ListingRow> &Rows,
                           StorePosition Position, Time Now) {
  std::set<std::string> ListedIds;
  for (const ListingRow &Row : Rows) {
    ListedIds.insert(Row.m_Listing.m_Id);
    m_Unconfirmed.erase(Row.m_Listing.m_Id);
    merge(Row, Now);
  }
  std::vector<std::string> Missing;
  for (const auto &[Id, Row] : m_Rows) {
    if (Row.m_Removed || ListedIds.contains(Id) || Row.m_Position >= Position)
      continue;
    bool Lost = Row.m_Position.m_Era != Position.m_Era;
    if (Lost &&
        Now - m_Unconfirmed.try_emplace(Id, Now).first->second <= ReturnTime)
      continue;
    Missing.push_back(Id);
  }
  for (const std::string &Id : Missing)
    remove(Id, Position, Now);
}

void ListingTable::confirmComplete(StorePosition Position, Time KnownAt) {
  m_Position = std::max(m_Position, Position);
  m_KnownAt = std::max(m_KnownAt, KnownAt);
}

bool ListingTable::needsWholeList(Time Now) const {
  return std::any_of(
      m_Unconfirmed.begin(), m_Unconfirmed.end(),
      [&](const auto &Item) { return Now - Item.second > ReturnTime; });
}

void ListingTable::tick(Time Now) {
  std::vector<BackendInfo> Released;
  for (const auto &[Id, Entry] : m_Withheld)
    if (Now - Entry.m_Since > TombstoneLifetime)
      Released.push_back(Entry.m_Listing);
  for (const BackendInfo &Listing : Released) {
    m_Withheld.erase(Listing.m_Id);
    put(Listing, m_Position, Now);
  }
  std::erase_if(m_Rows, [&](const auto &Item) {
    return Item.second.m_Removed && !m_Withheld.contains(Item.first) &&
           Now - Item.second.m_ChangedAt > TombstoneLifetime;
  });
}

std::vector<BackendInfo> ListingTable::entries() const {
  std::vector<BackendInfo> Listed;
  for (const auto &[Id, Row] : m_Rows)
    if (!Row.m_Removed)
      Listed.push_back(Row.m_Listing);
  return Listed;
}

const ListingRow *ListingTable::find(const std::string &Id) const {
  auto Position = m_Rows.find(Id);
  return Position == m_Rows.end() ? nullptr : &Position->second;
}

std::vector<const ListingRow *>
ListingTable::rowsAfter(std::uint64_t Change) const {
  std::vector<const ListingRow *> Changed;
  for (const auto &[Id, Row] : m_Rows)
    if (Row.m_ChangeNumber > Change)
      Changed.push_back(&Row);
  return Changed;
}

std::vector<ListingRow> ListingTable::recentChanges(Duration Period,
                                                    Time Now) const {
  std::vector<ListingRow> Changed;
  for (const auto &[Id, Row] : m_Rows)
    if (Now - Row.m_ChangedAt <= Period)
      Changed.push_back(Row);
  return Changed;
}

std::vector<ListingRow> ListingTable::changesAfter(std::uint64_t Change,
                                                   bool Departing) const {
  std::vector<ListingRow> Changed;
  for (const ListingRow *Row : rowsAfter(Change))
    if (isDeparture(*Row) == Departing)
      Changed.push_back(*Row);
  std::sort(Changed.begin(), Changed.end(),
            [](const ListingRow &A, const ListingRow &B) {
              return A.m_ChangeNumber < B.m_ChangeNumber;
            });
  return Changed;
}

std::vector<ListingRow> PropagationCursor::pending(const ListingTable &Table,
                                                   Duration Repeat,
                                                   Time Now) const {
  std::vector<ListingRow> Rows = Table.recentChanges(Repeat, Now);
  std::erase_if(Rows, [&](const ListingRow &Row) {
    return !isDeparture(Row) || Row.m_ChangeNumber > m_SentDepartures;
  });
  if (Rows.size() > MaxRepeatedDepartures)
    Rows.resize(MaxRepeatedDepartures);
  for (ListingRow &Row : Table.changesAfter(m_SentDepartures, true))
    Rows.push_back(std::move(Row));
  for (ListingRow &Row : Table.changesAfter(m_SentOthers, false))
    Rows.push_back(std::move(Row));
  return Rows;
}

void PropagationCursor::markSent(const ListingTable &Table,
                                 const std::vector<ListingRow> &Rows,
                                 std::size_t Count) {
  if (Count == Rows.size()) {
    markAllSent(Table);
    return;
  }
  for (std::size_t I = 0; I < Count; ++I) {
    std::uint64_t &LastSent =
        isDeparture(Rows[I]) ? m_SentDepartures : m_SentOthers;
    LastSent = std::max(LastSent, Rows[I].m_ChangeNumber);
  }
}

std::vector<ListingRow> ListingTable::rows() const {
  std::vector<ListingRow> Rows;
  for (const auto &[Id, Row] : m_Rows)
    Rows.push_back(Row);
  return Rows;
}

} // namespace rhubarb
