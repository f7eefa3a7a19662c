#include "rhubarb/Listing.h"

#include <algorithm>

namespace rhubarb {
namespace {

// Time to keep a tombstone; longer than an update can be delayed.
constexpr Duration TombstoneLifetime = 30s;
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

} // namespace

void ListingTable::storeRow(ListingRow Row) {
  ListingRow &Stored = m_Rows[Row.m_Listing.m_Id];
  bool Absent = Stored.m_Revision == 0;
  m_Digest ^= (Absent ? 0 : rowHash(Stored)) ^ rowHash(Row);
  Row.m_ChangeNumber = ++m_ChangeCount;
  Stored = std::move(Row);
}

bool ListingTable::put(const BackendInfo &Listing, std::uint64_t Revision,
                       Time Now) {
  ListingRow Row{Listing, Revision, false, Now};
  auto Position = m_Rows.find(Listing.m_Id);
  if (Position != m_Rows.end()) {
    ListingRow &Stored = Position->second;
    if (Stored.m_Revision >= Revision)
      return false;
    if (rowHash(Stored) == rowHash(Row) &&
        Listing.m_ColdUntil <=
            Stored.m_Listing.m_ColdUntil + ColdUntilTolerance) {
      Stored.m_Revision = Revision;
      return false;
    }
  }
  storeRow(std::move(Row));
  return true;
}

bool ListingTable::remove(const std::string &Id, std::uint64_t Revision,
                          Time Now) {
  auto Position = m_Rows.find(Id);
  if (Position != m_Rows.end() && Position->second.m_Revision >= Revision)
    return false;
  bool Changed = Position != m_Rows.end() && !Position->second.m_Removed;
  ListingRow Row;
  if (Position != m_Rows.end())
    Row = Position->second;
  Row.m_Listing.m_Id = Id;
  Row.m_Revision = Revision;
  Row.m_Removed = true;
  Row.m_ChangedAt = Now;
  storeRow(std::move(Row));
  return Changed;
}

void ListingTable::replace(const std::vector<ListingRow> &Rows,
                           std::uint64_t Revision, Time Now) {
  std::map<std::string, bool> ListedIds;
  for (const ListingRow &Row : Rows) {
    ListedIds[Row.m_Listing.m_Id] = true;
    if (Row.m_Removed)
      remove(Row.m_Listing.m_Id, Row.m_Revision, Now);
    else
      put(Row.m_Listing, Row.m_Revision, Now);
  }
  std::vector<std::string> Missing;
  for (const auto &[Id, Row] : m_Rows)
    if (!Row.m_Removed && !ListedIds.contains(Id) && Row.m_Revision < Revision)
      Missing.push_back(Id);
  for (const std::string &Id : Missing)
    remove(Id, Revision, Now);
}

void ListingTable::confirmComplete(std::uint64_t Revision, Time KnownAt) {
  m_Revision = std::max(m_Revision, Revision);
  m_KnownAt = std::max(m_KnownAt, KnownAt);
}

void ListingTable::tick(Time Now) {
  std::erase_if(m_Rows, [&](const auto &Item) {
    return Item.second.m_Removed &&
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
