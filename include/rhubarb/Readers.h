// Who of a region's VMs reads the control plane. One does and tells the others;
// the next ones step in when what they know grows old. Answers the pattern in
// which a reader loses the control plane without noticing, and those that
// stepped in hear of each other: each must not take the other for the reader.
#pragma once

#include "rhubarb/Types.h"

#include <string>
#include <string_view>
#include <vector>

namespace rhubarb {

// VMs of a region that step in for its reader, and tell the others.
inline constexpr std::size_t MaxReaders = 4;

// Returns the place of a VM in its region's order of readers; 0 reads. By
// rendezvous hashing over the live VMs.
std::size_t readerRank(const std::string &Self,
                       const std::vector<std::string> &LiveVms);

// Whether one VM goes before another in every such order.
bool precedesAsReader(const std::string &First, const std::string &Second);

// Returns how many bytes of changes a reader sends to each of the region's VMs
// at once. Changes that are larger the VMs read from the control plane: passed
// on, they would fill the reader's link and hold up all other news.
std::size_t changeBytesPerVm(std::size_t Vms);

// Why a VM reads the control plane itself.
enum class ReadReason : std::uint8_t {
  None,
  Reader, // It is its region's reader.
  Behind, // News told of changes that this VM did not get.
  TooOld, // No news comes, or what is known has grown old.
};
std::string_view readReasonName(ReadReason Value);

// Whether this VM reads one kind of news itself. All times derive from the
// bound within which a change must be known on every VM.
class StoreReadPolicy {
public:
  explicit StoreReadPolicy(Duration Bound) : m_PropagationBound(Bound) {}
  void setPropagationBound(Duration Bound) { m_PropagationBound = Bound; }
  // Records the start of the process: what it has read then is new, and for a
  // moment it cannot know which VMs go before it.
  void recordStart(Time Now) { m_StartedAt = Now; }

  // Takes news of a VM that goes before this one; it was complete Age ago. Such
  // a VM reads even if this one does not know yet that it lives.
  void recordUpdate(Duration Age, Time Now);
  // Takes such news that tells a part of the changes: the rest follows.
  void recordPartialUpdate(Duration Age, Time Now);
  // Takes up to which revision of the control plane another VM knows all.
  void recordAnnouncedRevision(std::uint64_t Revision, Time Now);
  // Takes up to which revision this VM knows all. An answer of the control
  // plane may hold a part only: the rest is read without a pause.
  void recordCompleteRevision(std::uint64_t Revision, Time Now);
  // Whether others know of changes that this VM lacks.
  bool isBehind() const { return m_AnnouncedRevision > m_CompleteRevision; }
  // Whether a peer is to be asked for what this VM lacks: the control plane has
  // not given it in time.
  bool shouldFetchFromPeer(Time Now) const;
  // Records that a peer is asked; the next one no sooner than after a pause.
  void recordPeerFetch(Time Now) { m_BehindSince = Now; }
  // KnownAt: what this VM knows was complete then; 0: it knows nothing.
  ReadReason reasonToRead(std::size_t OwnRank, Time KnownAt, Time Now) const;
  bool shouldRead(std::size_t OwnRank, Time KnownAt, Time Now) const {
    return reasonToRead(OwnRank, KnownAt, Now) != ReadReason::None;
  }
  // Returns the age from which news tells nothing of its sender.
  Duration staleAfter() const;
  // Returns how long a watch waits, so that answers come at a steady pace: a
  // connection that has gone silent is found when its answer is overdue.
  Duration watchTimeout(Time KnownAt, Time Now) const;
  // Returns the pause after an answer with changes: many at once take one look.
  Duration pauseAfterChanges() const;

private:
  Duration m_PropagationBound;
  Time m_StartedAt{0};
  Time m_LastPartialUpdate{0}; // Last news that told a part.
  Time m_LastUpdate{0};        // Last news from a VM that goes before this one.
  std::uint64_t m_AnnouncedRevision = 0;
  std::uint64_t m_CompleteRevision = 0;
  Time m_BehindSince{0};     // Or since the last progress.
  bool m_CatchingUp = false; // Has read a part of what it lacked.
};

} // namespace rhubarb
