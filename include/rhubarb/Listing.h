// Replicated list of backend servers. One VM of a region reads it from the
// store and sends updates to the others, which compare digests with it.
#pragma once

#include "rhubarb/Fleet.h"

#include <algorithm>
#include <map>
#include <string>
#include <vector>

namespace rhubarb {

// A listed server, or the tombstone of a removed one.
struct ListingRow {
  BackendInfo m_Listing;
  std::uint64_t m_Revision = 0; // Store revision of the row's last write.
  bool m_Removed = false;
  Time m_ChangedAt{0};
  // Number of the row's last change; numbers count the changes of this table.
  std::uint64_t m_ChangeNumber = 0;
};

// Replica of the list, by server ID. Of two writes to a row the one with the
// higher revision wins, whatever the order of arrival.
class ListingTable {
public:
  // Applies a write or a removal. Returns whether it changed anything that
  // affects the use of the server.
  bool put(const BackendInfo &Listing, std::uint64_t Revision, Time Now);
  bool remove(const std::string &Id, std::uint64_t Revision, Time Now);
  // Applies the whole list as of Revision: older rows that it lacks are
  // removed.
  void replace(const std::vector<ListingRow> &Rows, std::uint64_t Revision,
               Time Now);
  // Records that the table was complete up to Revision at KnownAt.
  void confirmComplete(std::uint64_t Revision, Time KnownAt);
  // Drops old tombstones. Cost: linear in the rows.
  void tick(Time Now);

  std::uint64_t revision() const { return m_Revision; }
  Time knownAt() const { return m_KnownAt; }
  // Hash over the rows; equal for tables with the same servers.
  std::uint64_t digest() const { return m_Digest; }
  // Returns the number of the table's last change.
  std::uint64_t changeCount() const { return m_ChangeCount; }
  // Returns the rows and tombstones with higher change numbers than Change,
  // sorted by ID. Valid until the table changes.
  std::vector<const ListingRow *> rowsAfter(std::uint64_t Change) const;
  std::vector<BackendInfo> entries() const;
  // Returns the row or tombstone of a server, or nullptr.
  const ListingRow *find(const std::string &Id) const;
  // Returns the rows and tombstones that changed within the last Period.
  std::vector<ListingRow> recentChanges(Duration Period, Time Now) const;
  // Returns the changes with higher numbers than Change, earliest first: of
  // leaving and removed servers if Departing, of all others if not.
  std::vector<ListingRow> changesAfter(std::uint64_t Change,
                                       bool Departing) const;
  // Returns all rows and tombstones.
  std::vector<ListingRow> rows() const;

private:
  void storeRow(ListingRow Row);

  std::map<std::string, ListingRow> m_Rows;
  std::uint64_t m_Revision = 0;
  Time m_KnownAt{0};
  std::uint64_t m_Digest = 0;
  std::uint64_t m_ChangeCount = 0;
};

// Tracks which changes of a table have been sent to other VMs. Departures are
// sent first: when hundreds of servers are added while some leave, updates
// about the leaving ones must not wait behind the others.
class PropagationCursor {
public:
  // Returns the changes that are still to be sent, in sending order. They are
  // preceded by some sent departures that are no older than Repeat, so that a
  // lost message does not hide them.
  std::vector<ListingRow> pending(const ListingTable &Table, Duration Repeat,
                                  Time Now) const;
  // Records that the first Count rows of what pending() returned were sent.
  void markSent(const ListingTable &Table, const std::vector<ListingRow> &Rows,
                std::size_t Count);
  // Records that other VMs have all changes.
  void markAllSent(const ListingTable &Table) {
    m_SentDepartures = m_SentOthers = Table.changeCount();
  }
  bool hasPending(const ListingTable &Table) const {
    return std::min(m_SentDepartures, m_SentOthers) < Table.changeCount();
  }

private:
  // Highest change numbers sent, of departures and of other changes.
  std::uint64_t m_SentDepartures = 0;
  std::uint64_t m_SentOthers = 0;
};

} // namespace rhubarb
