// Replicated list of backend servers. One VM of a region reads it from the
// store and sends updates to the others, which compare digests with it.
#pragma once

#include "rhubarb/Fleet.h"
#include "rhubarb/StorePosition.h"

#include <algorithm>
#include <map>
#include <string>
#include <vector>

namespace rhubarb {

// A listed server, or the tombstone of a removed one.
struct ListingRow {
  BackendInfo m_Listing;
  StorePosition m_Position; // Position of the row's last write.
  bool m_Removed = false;
  Time m_ChangedAt{0};
  // The write may come from the copy that a restored store began with. The
  // server's own order (start time, sequence) then decides whether it is older
  // than what is known from the era before.
  bool m_MayBeCopy = false;
  // Number of the row's last change; numbers count the changes of this table.
  std::uint64_t m_ChangeNumber = 0;
};

// Replica of the list, by server ID. Of two writes to a row the one with the
// higher position wins, whatever the order of arrival, except that a store
// restored from a copy does not undo what servers have said since: that a
// server leaves or is gone. Servers that only the copy lacks stay for a while,
// in which they can write their entries again.
class ListingTable {
public:
  // Applies a write or a removal. Returns whether it changed anything that
  // affects the use of the server.
  bool put(const BackendInfo &Listing, StorePosition Position, Time Now,
           bool MayBeCopy = false);
  bool remove(const std::string &Id, StorePosition Position, Time Now);
  // Applies another replica's row.
  bool merge(const ListingRow &Row, Time Now);
  // Applies the whole list as of Position: older rows that it lacks are
  // removed, those of an earlier era after some time only.
  void replace(const std::vector<ListingRow> &Rows, StorePosition Position,
               Time Now);
  // Records that the table was complete up to Position at KnownAt.
  void confirmComplete(StorePosition Position, Time KnownAt);
  // Whether servers that a restored store lacked have had time to write their
  // entries again, so that another whole list decides which of them are gone.
  bool needsWholeList(Time Now) const;
  // Drops old tombstones. Cost: linear in the rows.
  void tick(Time Now);

  StorePosition position() const { return m_Position; }
  // Servers that a restored store lacks and that are still used.
  std::size_t unconfirmed() const { return m_Unconfirmed.size(); }
  // Servers of which a restored store says something older than is known.
  std::size_t withheld() const { return m_Withheld.size(); }
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
  // A server's entry in the copy that a store was restored from, older than
  // what is known of the server.
  struct WithheldEntry {
    BackendInfo m_Listing;
    Time m_Since{0};
  };
  bool storeRow(ListingRow Row);
  bool withhold(ListingRow &Known, const ListingRow &Copy, Time Now);

  std::map<std::string, ListingRow> m_Rows;
  StorePosition m_Position;
  // Servers that a whole list of a new era lacked, and since when.
  std::map<std::string, Time> m_Unconfirmed;
  std::map<std::string, WithheldEntry> m_Withheld;
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
