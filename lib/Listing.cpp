#include "rhubarb/Listing.h"

#include <algorithm>

namespace rhubarb {
namespace {

constexpr Duration RemovedKept = 30s; // Longer than news can be late.
// What a server says of its time to be cold, less the time that passed, varies
// by the way of its report.
constexpr Duration ColdJitter = 250ms;
constexpr std::size_t MaxRepeated = 16; // Servers that left, told once more.

// Hash of what matters of an entry. The time that it stays cold passes by
// itself and is left out.
std::uint64_t rowHash(const ListedRow &Row) {
  if (Row.m_Removed)
    return 0;
  const BackendInfo &Entry = Row.m_Listing;
  std::uint64_t Hash = stableHash(Entry.m_Id);
  for (const std::string &Part :
       {Entry.m_Address, Entry.m_PoolName, Entry.m_Domain,
        std::to_string(Entry.m_Slots), std::to_string(Entry.m_StartTimeMs),
        std::string(Entry.m_Leaving ? "leaving" : "ready")})
    Hash = stableHash(Part, Hash);
  return Hash;
}

bool isGone(const ListedRow &Row) {
  return Row.m_Removed || Row.m_Listing.m_Leaving;
}

} // namespace

void ListingBook::store(ListedRow Row) {
  ListedRow &Known = m_Rows[Row.m_Listing.m_Id];
  bool Absent = Known.m_Revision == 0;
  m_Digest ^= (Absent ? 0 : rowHash(Known)) ^ rowHash(Row);
  Row.m_Change = ++m_Changes;
  Known = std::move(Row);
}

bool ListingBook::put(const BackendInfo &Listing, std::uint64_t Revision,
                      Time Now) {
  ListedRow Row{Listing, Revision, false, Now};
  auto Found = m_Rows.find(Listing.m_Id);
  if (Found != m_Rows.end()) {
    ListedRow &Known = Found->second;
    if (Known.m_Revision >= Revision)
      return false;
    if (rowHash(Known) == rowHash(Row) &&
        Listing.m_ColdUntil <= Known.m_Listing.m_ColdUntil + ColdJitter) {
      Known.m_Revision = Revision;
      return false;
    }
  }
  store(std::move(Row));
  return true;
}

bool ListingBook::remove(const std::string &Id, std::uint64_t Revision,
                         Time Now) {
  auto Found = m_Rows.find(Id);
  if (Found != m_Rows.end() && Found->second.m_Revision >= Revision)
    return false;
  bool Changed = Found != m_Rows.end() && !Found->second.m_Removed;
  ListedRow Row;
  if (Found != m_Rows.end())
    Row = Found->second;
  Row.m_Listing.m_Id = Id;
  Row.m_Revision = Revision;
  Row.m_Removed = true;
  Row.m_ChangedAt = Now;
  store(std::move(Row));
  return Changed;
}

void ListingBook::replace(const std::vector<ListedRow> &Rows,
                          std::uint64_t Revision, Time Now) {
  std::map<std::string, bool> Named;
  for (const ListedRow &Row : Rows) {
    Named[Row.m_Listing.m_Id] = true;
    if (Row.m_Removed)
      remove(Row.m_Listing.m_Id, Row.m_Revision, Now);
    else
      put(Row.m_Listing, Row.m_Revision, Now);
  }
  std::vector<std::string> Gone;
  for (const auto &[Id, Row] : m_Rows)
    if (!Row.m_Removed && !Named.contains(Id) && Row.m_Revision < Revision)
      Gone.push_back(Id);
  for (const std::string &Id : Gone)
    remove(Id, Revision, Now);
}

void ListingBook::confirm(std::uint64_t Revision, Time KnownAt) {
  m_Revision = std::max(m_Revision, Revision);
  m_KnownAt = std::max(m_KnownAt, KnownAt);
}

void ListingBook::tick(Time Now) {
  std::erase_if(m_Rows, [&](const auto &Entry) {
    return Entry.second.m_Removed &&
           Now - Entry.second.m_ChangedAt > RemovedKept;
  });
}

std::vector<BackendInfo> ListingBook::entries() const {
  std::vector<BackendInfo> Listed;
  for (const auto &[Id, Row] : m_Rows)
    if (!Row.m_Removed)
      Listed.push_back(Row.m_Listing);
  return Listed;
}

std::vector<const ListedRow *> ListingBook::after(std::uint64_t Change) const {
  std::vector<const ListedRow *> Changed;
  for (const auto &[Id, Row] : m_Rows)
    if (Row.m_Change > Change)
      Changed.push_back(&Row);
  return Changed;
}

std::vector<ListedRow> ListingBook::recent(Duration While, Time Now) const {
  std::vector<ListedRow> Changed;
  for (const auto &[Id, Row] : m_Rows)
    if (Now - Row.m_ChangedAt <= While)
      Changed.push_back(Row);
  return Changed;
}

std::vector<ListedRow> ListingBook::changedAfter(std::uint64_t Change,
                                                 bool Gone) const {
  std::vector<ListedRow> Changed;
  for (const ListedRow *Row : after(Change))
    if (isGone(*Row) == Gone)
      Changed.push_back(*Row);
  std::sort(Changed.begin(), Changed.end(),
            [](const ListedRow &A, const ListedRow &B) {
              return A.m_Change < B.m_Change;
            });
  return Changed;
}

std::vector<ListedRow> TellingMark::left(const ListingBook &Book,
                                         Duration Repeat, Time Now) const {
  std::vector<ListedRow> Rows = Book.recent(Repeat, Now);
  std::erase_if(Rows, [&](const ListedRow &Row) {
    return !isGone(Row) || Row.m_Change > m_Gone;
  });
  if (Rows.size() > MaxRepeated)
    Rows.resize(MaxRepeated);
  for (ListedRow &Row : Book.changedAfter(m_Gone, true))
    Rows.push_back(std::move(Row));
  for (ListedRow &Row : Book.changedAfter(m_Others, false))
    Rows.push_back(std::move(Row));
  return Rows;
}

void TellingMark::told(const ListingBook &Book,
                       const std::vector<ListedRow> &Left, std::size_t Count) {
  if (Count == Left.size()) {
    allTold(Book);
    return;
  }
  for (std::size_t I = 0; I < Count; ++I) {
    std::uint64_t &Mark = isGone(Left[I]) ? m_Gone : m_Others;
    Mark = std::max(Mark, Left[I].m_Change);
  }
}

std::vector<ListedRow> ListingBook::all() const {
  std::vector<ListedRow> Rows;
  for (const auto &[Id, Row] : m_Rows)
    Rows.push_back(Row);
  return Rows;
}

} // namespace rhubarb
