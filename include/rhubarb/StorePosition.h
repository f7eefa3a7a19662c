// Position in the history of a store that can be restored from a copy.
#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace rhubarb {

// A revision and the era that it belongs to. A restore starts the next era:
// revisions go back to those of the copy and are given out again, so a revision
// alone says nothing about order. Numbers do not convert to positions.
struct StorePosition {
  std::uint64_t m_Era = 0; // 0 for a store that names no era.
  std::uint64_t m_Revision = 0;

  friend bool operator==(const StorePosition &A, const StorePosition &B) {
    return A.m_Era == B.m_Era && A.m_Revision == B.m_Revision;
  }
  friend std::strong_ordering operator<=>(const StorePosition &A,
                                          const StorePosition &B) {
    auto ByEra = A.m_Era <=> B.m_Era;
    return ByEra != 0 ? ByEra : A.m_Revision <=> B.m_Revision;
  }
  // Whether this is no position: nothing has been read yet.
  bool isNone() const { return m_Era == 0 && m_Revision == 0; }
};

// Returns "ERA.REVISION", as in logs.
inline std::string positionText(StorePosition Position) {
  return std::to_string(Position.m_Era) + "." +
         std::to_string(Position.m_Revision);
}

} // namespace rhubarb
