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
struct ListedRow {
  BackendInfo m_Listing;
  std::uint64_t m_Revision = 0; // Of the control plane, when it was written.
  bool m_Removed = false;
  Time m_ChangedAt{0};
  std::uint64_t m_Change = 0; // Number of its last change in this book.
};

// Entries by id. Of two writes of an entry the one with the higher revision
// holds, in whatever order they arrive.
class ListingBook {
public:
  // Takes an entry, or its removal. Returns whether something changed that
  // matters to the use of the server.
  bool put(const BackendInfo &Listing, std::uint64_t Revision, Time Now);
  bool remove(const std::string &Id, std::uint64_t Revision, Time Now);
  // Takes the whole list as of Revision: entries that it lacks are removed.
  void replace(const std::vector<ListedRow> &Rows, std::uint64_t Revision,
               Time Now);
  // Records that the list was complete up to Revision at KnownAt.
  void confirm(std::uint64_t Revision, Time KnownAt);
  // Forgets marks of removed entries that are old. Cost: rows.
  void tick(Time Now);

  std::uint64_t revision() const { return m_Revision; }
  Time knownAt() const { return m_KnownAt; }
  // Equal for books with the same entries.
  std::uint64_t digest() const { return m_Digest; }
  // Grows with each change that matters.
  std::uint64_t changes() const { return m_Changes; }
  // Rows, marks of removed entries included, with higher change numbers than
  // this one, in the order of their ids. Valid until the book changes.
  std::vector<const ListedRow *> after(std::uint64_t Change) const;
  std::vector<BackendInfo> entries() const;
  // Changes of the last While, removed entries included.
  std::vector<ListedRow> recent(Duration While, Time Now) const;
  // Changes with higher numbers than this one, the earliest first: of servers
  // that leave or have gone, or of all others.
  std::vector<ListedRow> changedAfter(std::uint64_t Change, bool Gone) const;
  std::vector<ListedRow> all() const;

private:
  void store(ListedRow Row);

  std::map<std::string, ListedRow> m_Rows;
  std::uint64_t m_Revision = 0;
  Time m_KnownAt{0};
  std::uint64_t m_Digest = 0;
  std::uint64_t m_Changes = 0;
};

// Which changes of a book have been told to others. Answers the pattern in
// which hundreds of servers come while some leave: those that leave are told
// first.
class TellingMark {
public:
  // Returns the changes that are left to tell, in the order in which to tell.
  // Before them go those that were told in the last Repeat, if servers left:
  // a lost message must not hide them.
  std::vector<ListedRow> left(const ListingBook &Book, Duration Repeat,
                              Time Now) const;
  // Records that so many of them have been told.
  void told(const ListingBook &Book, const std::vector<ListedRow> &Left,
            std::size_t Count);
  // Records that others know all.
  void allTold(const ListingBook &Book) { m_Gone = m_Others = Book.changes(); }
  bool hasLeft(const ListingBook &Book) const {
    return std::min(m_Gone, m_Others) < Book.changes();
  }

private:
  std::uint64_t m_Gone = 0; // Number of the last change told, by kind.
  std::uint64_t m_Others = 0;
};

} // namespace rhubarb
