// The list of backend servers as one VM knows it, and the news by which VMs
// pass it on: one VM reads the control plane, the others compare digests.
#pragma once

#include "rhubarb/Fleet.h"

#include <map>
#include <string>
#include <vector>

namespace rhubarb {

// An entry of the list, or the mark of one that was removed.
struct ListedRow {
  BackendListing m_Listing;
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
  bool put(const BackendListing &Listing, std::uint64_t Revision, Time Now);
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
  std::vector<BackendListing> entries() const;
  // Changes of the last While, removed entries included.
  std::vector<ListedRow> recent(Duration While, Time Now) const;
  // Changes with higher numbers than this one, the earliest first.
  std::vector<ListedRow> changedAfter(std::uint64_t Change) const;
  std::vector<ListedRow> all() const;

private:
  void store(ListedRow Row);

  std::map<std::string, ListedRow> m_Rows;
  std::uint64_t m_Revision = 0;
  Time m_KnownAt{0};
  std::uint64_t m_Digest = 0;
  std::uint64_t m_Changes = 0;
};

} // namespace rhubarb
