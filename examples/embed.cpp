// A complete small program that embeds the library without the daemons. It has
// one pool with two backend servers, three request priorities, a peer that
// accepts forwarded requests under grants, and a link with a bandwidth cap. It
// runs in virtual time and prints the results.
#include <rhubarb/rhubarb.h>

#include <array>
#include <cstdio>
#include <vector>

using namespace rhubarb;

int main() {
  // 1. Configure the queue with three profiles. The two lower priorities have
  // guaranteed minimum shares.
  AdmissionQueue Queue{QueueLimits{}};
  const std::array<QueueProfile, 3> Profiles{{{Priority::Urgent, 1, 0.0},
                                              {Priority::Normal, 2, 0.2},
                                              {Priority::Batch, 1, 0.1}}};
  Queue.setProfiles(Profiles);

  // 2. Add two servers of four slots each. Their slots open gradually.
  BackendServerTable Servers{ServerLimits{}};
  const std::vector<ServerListing> Listings{{"10.0.0.1:9000", 0, 4, false},
                                            {"10.0.0.2:9000", 0, 4, false}};
  Time Now{0};
  Servers.update(Listings, Now);
  for (int I = 0; I < 20; ++I)
    Servers.tick(Now += 300ms);
  Queue.setCapacity(Servers.openSlots(0));

  // 3. Submit 395 batch requests, followed by 5 urgent ones.
  int RefusedCount = 0;
  for (RequestId Id = 1; Id <= 400; ++Id) {
    int Profile = Id > 395 ? 0 : 2;
    QueueAdmission Admission = Queue.admit(Id, Profile, Now, Now + 2s);
    RefusedCount += Admission.m_Error == ErrorKind::None ? 0 : 1;
  }
  std::printf("waiting %d, refused at once %d\n", Queue.waiting(),
              RefusedCount);

  // 4. Fill the slots of the own servers. Urgent requests are served first.
  std::vector<QueuedRequest> Running;
  std::vector<ServerIndex> AcquiredServers;
  while (auto Dequeued = Queue.take(Servers.freeSlots(0), Now)) {
    Running.push_back(*Dequeued);
    AcquiredServers.push_back(Servers.acquire(0));
  }
  std::printf("first served: %s\n",
              priorityName(Running.front().m_Priority).data());

  // 5. Request slots from a peer, which grants them from its free capacity.
  GrantHolder Holder;
  GrantIssuer PeerIssuer{GrantLimits{}};
  for (const PlannedGrantRequest &PlannedRequest : Holder.planRequests(
           0, *Queue.firstWaitingPriority(), Queue.waiting(),
           Queue.predictWait(Priority::Batch), {{"10.0.1.1", 1, 6}}, Now)) {
    Grant IssuedGrant = PeerIssuer.issue(
        {"10.0.0.9", 0, PlannedRequest.m_Priority, PlannedRequest.m_Slots},
        {6, 0, Priority::Batch}, Now);
    Holder.recordResponse(PlannedRequest.m_Peer, 0, IssuedGrant, Now, Now);
    std::printf("granted %d slots\n", IssuedGrant.m_Slots);
  }

  // 6. Forward requests under the grant, within the bandwidth cap of the link.
  LinkShare Link{LinkLimits{}, Now};
  Link.setCap(500'000'000, 2, Now);
  Now += 10ms;
  int ForwardedCount = 0;
  constexpr std::int64_t RequestBytes = 2000;
  while (GrantHolder::HeldGrant *Held = Holder.acquire(0, 1, Now)) {
    if (!Link.charge(RequestBytes, Now) || !PeerIssuer.start(Held->m_Id, Now))
      break;
    ++ForwardedCount;
  }
  std::printf("forwarded %d, link charged %lld bytes\n", ForwardedCount,
              static_cast<long long>(Link.chargedBytes()));

  // 7. Each finished attempt releases its slot and reports to the queue how
  // long the slot was held.
  for (std::size_t I = 0; I < Running.size(); ++I) {
    Servers.release(AcquiredServers[I], AttemptStatus::Answered, Now);
    Queue.recordFinished(Running[I].m_Priority, 20ms);
  }
  bool Succeeded =
      Running.front().m_Priority == Priority::Urgent && ForwardedCount > 0;
  return Succeeded ? 0 : 1;
}
