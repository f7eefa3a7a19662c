// Decides which VMs of a region read from the store. One VM, the
// reader, reads and sends updates to the others; the next ones in order take
// over when their data gets stale. Guards against a reader that loses the
// store without noticing, and against VMs that take over and then each
// mistake another one for the reader because they receive each other's updates.
#pragma once

#include "rhubarb/StorePosition.h"
#include "rhubarb/Types.h"

#include <string>
#include <string_view>
#include <vector>

namespace rhubarb {

// VMs of a region, the reader included, that send updates to the others and
// take over from the reader one after the other.
inline constexpr std::size_t MaxReaders = 4;

// Returns the position of a VM in its region's reader order, by rendezvous
// hashing over the live VMs. Rank 0 is the reader.
std::size_t readerRank(const std::string &Self,
                       const std::vector<std::string> &LiveVms);

// Whether First comes before Second in every reader order that has both.
bool precedesAsReader(const std::string &First, const std::string &Second);

// Returns the maximum bytes of changes sent to each of the region's VMs at
// once. VMs read larger changes from the store: relayed, they would
// saturate the reader's link and delay all other updates.
std::size_t changeBytesPerVm(std::size_t Vms);

// Why a VM reads from the store itself.
enum class ReadReason : std::uint8_t {
  None,
  Reader, // The VM is its region's reader.
  Behind, // The VM lacks changes that an update announced.
  TooOld, // Updates have stopped, or the local data is stale.
};
std::string_view readReasonName(ReadReason Value);

// Decides whether this VM reads one kind of data (server list, operator
// settings) from the store. All times derive from the propagation
// bound, within which a change must be known on every VM.
class StoreReadPolicy {
public:
  explicit StoreReadPolicy(Duration Bound) : m_PropagationBound(Bound) {}
  void setPropagationBound(Duration Bound) { m_PropagationBound = Bound; }
  // Records the start of the process. It does not act as the reader until the
  // heartbeats that show which VMs precede it have had time to arrive.
  void recordStart(Time Now) { m_StartedAt = Now; }

  // Records an update from a VM that precedes this one, whose data was complete
  // Age ago. Such a VM reads, even if this one does not know yet that it is
  // live.
  void recordUpdate(Duration Age, Time Now);
  // Records an update from a preceding VM that holds only part of the changes;
  // the rest follows.
  void recordPartialUpdate(Duration Age, Time Now);
  // Records a position of the store up to which another VM has all
  // changes.
  void recordAnnouncedPosition(StorePosition Position, Time Now);
  // Records the position up to which this VM has all changes. If an answer of
  // the store held only part of what it lacked, the next read follows
  // without a pause.
  void recordCompletePosition(StorePosition Position, Time Now);
  // Whether other VMs have announced changes that this VM lacks.
  bool isBehind() const { return m_AnnouncedPosition > m_CompletePosition; }
  // Whether to fetch the missing changes from a peer, because the store
  // has not returned them in time.
  bool shouldFetchFromPeer(Time Now) const;
  // Records a fetch from a peer, and delays the next one.
  void recordPeerFetch(Time Now) { m_BehindSince = Now; }
  // Returns why this VM should read now, or None. KnownAt is the time when its
  // data was last complete, 0 if it has none.
  ReadReason reasonToRead(std::size_t OwnRank, Time KnownAt, Time Now) const;
  bool shouldRead(std::size_t OwnRank, Time KnownAt, Time Now) const {
    return reasonToRead(OwnRank, KnownAt, Now) != ReadReason::None;
  }
  // Returns the age from which data is stale: an update of that age does not
  // show that its sender reads.
  Duration staleAfter() const;
  // Returns the timeout of a watch. Answers then come at a steady rate, and an
  // overdue one reveals a connection that has gone silent.
  Duration watchTimeout(Time KnownAt, Time Now) const;
  // Returns the pause after an answer with changes, so that many changes in
  // quick succession take one read.
  Duration pauseAfterChanges() const;

private:
  Duration m_PropagationBound;
  Time m_StartedAt{0};
  Time m_LastPartialUpdate{0};
  Time m_LastUpdate{0}; // Last fresh update from a VM that precedes this one.
  StorePosition m_AnnouncedPosition;
  StorePosition m_CompletePosition;
  // Time when the first missing change was announced, or of the last progress
  // or peer fetch since.
  Time m_BehindSince{0};
  // Part of the missing changes has been received; the next read is due at
  // once.
  bool m_CatchingUp = false;
};

} // namespace rhubarb
