// The list of backend servers as one VM knows it, and the news by which VMs
// pass it on: one VM reads the control plane, the others compare digests.
#pragma once

#include "rhubarb/Fleet.h"

#include <algorithm>
#include <map>
#include <string>
#include <vector>

namespace rhubarb {

// An entry of the list, or the mark of one that was removed.
struct ListingRow {
  BackendInfo m_Listing;
  std::uint64_t m_Revision = 0; // Of the control plane, when it was written.
  bool m_Removed = false;
  Time m_ChangedAt{0};
  std::uint64_t m_ChangeNumber = 0; // Number of its last change in this book.
};

// Entries by id. Of two writes of an entry the one with the higher revision
// holds, in whatever order they arrive.
class ListingTable {
public:
  // Takes an entry, or its removal. Returns whether something changed that
  // matters to the use of the server.
  bool put(const BackendInfo &Listing, std::uint64_t Revision, Time Now);
  bool remove(const std::string &Id, std::uint64_t Revision, Time Now);
  // Takes the whole list as of Revision: entries that it lacks are removed.
  void replace(const std::vector<ListingRow> &Rows, std::uint64_t Revision,
               Time Now);
  // Records that the list was complete up to Revision at KnownAt.
  void confirmComplete(std::uint64_t Revision, Time KnownAt);
  // Forgets marks of removed entries that are old. Cost: rows.
  void tick(Time Now);

  std::uint64_t revision() const { return m_Revision; }
  Time knownAt() const { return m_KnownAt; }
  // Equal for books with the same entries.
  std::uint64_t digest() const { return m_Digest; }
  // Grows with each change that matters.
  std::uint64_t changeCount() const { return m_ChangeCount; }
  // Rows, marks of removed entries included, with higher change numbers than
  // this one, in the order of their ids. Valid until the book changes.
  std::vector<const ListingRow *> rowsAfter(std::uint64_t Change) const;
  std::vector<BackendInfo> entries() const;
  // Changes of the last While, removed entries included.
  std::vector<ListingRow> recentChanges(Duration While, Time Now) const;
  // Changes with higher numbers than this one, the earliest first: of servers
  // that leave or have gone, or of all others.
  std::vector<ListingRow> changesAfter(std::uint64_t Change, bool Gone) const;
  std::vector<ListingRow> rows() const;

private:
  void storeRow(ListingRow Row);

  std::map<std::string, ListingRow> m_Rows;
  std::uint64_t m_Revision = 0;
  Time m_KnownAt{0};
  std::uint64_t m_Digest = 0;
  std::uint64_t m_ChangeCount = 0;
};

// Which changes of a book have been told to others. Answers the pattern in
// which hundreds of servers come while some leave: those that leave are told
// first.
class PropagationCursor {
public:
  // Returns the changes that are left to tell, in the order in which to tell.
  // Before them go those that were told in the last Repeat, if servers left:
  // a lost message must not hide them.
  std::vector<ListingRow> pending(const ListingTable &Book, Duration Repeat,
                                  Time Now) const;
  // Records that so many of them have been told.
  void markSent(const ListingTable &Book, const std::vector<ListingRow> &Left,
                std::size_t Count);
  // Records that others know all.
  void markAllSent(const ListingTable &Book) {
    m_SentDepartures = m_SentOthers = Book.changeCount();
  }
  bool hasPending(const ListingTable &Book) const {
    return std::min(m_SentDepartures, m_SentOthers) < Book.changeCount();
  }

private:
  std::uint64_t m_SentDepartures =
      0; // Number of the last change told, by kind.
  std::uint64_t m_SentOthers = 0;
};

} // namespace rhubarb
