#include "rhubarb/Queue.h"

#include <doctest/doctest.h>

#include <map>

using namespace rhubarb;

namespace {

constexpr Duration Service = 20ms;
constexpr Time FarDeadline = 1h;

enum ProfileIndex { Urgent, Normal, Batch, BatchHighWorth };

AdmissionQueue makeQueue(int Capacity) {
  QueueLimits Limits;
  Limits.m_InitialServiceTime = Service;
  AdmissionQueue Queue(Limits);
  const QueueProfile Profiles[] = {{Priority::Urgent, 1, 0},
                                   {Priority::Normal, 1, 0.2},
                                   {Priority::Batch, 1, 0.1},
                                   {Priority::Batch, 3, 0}};
  Queue.setProfiles(Profiles);
  Queue.setCapacity(Capacity);
  return Queue;
}

// Serves up to Count requests one after another and counts them by profile.
std::map<int, int> serve(AdmissionQueue &Queue, int Count) {
  std::map<int, int> Served;
  for (int I = 0; I < Count; ++I) {
    std::optional<QueuedRequest> Taken = Queue.take(1, Time{0});
    if (!Taken)
      break;
    ++Served[Taken->m_Profile];
    Queue.recordFinished(Taken->m_Priority, Service);
  }
  return Served;
}

} // namespace

TEST_SUITE("queue") {
  TEST_CASE("shares of service when requests keep waiting") {
    struct Row {
      const char *m_Name;
      std::map<int, int> m_Waiting;  // Number of requests by profile.
      std::map<int, int> m_Expected; // Number of served requests by profile.
    };
    const Row Rows[] = {
        {"urgent requests are served first",
         {{Urgent, 100}, {BatchHighWorth, 0}},
         {{Urgent, 100}}},
        // Floors of 20% and 10%, with a margin of 15%.
        {"floors hold below urgent requests",
         {{Urgent, 200}, {Normal, 200}, {Batch, 200}},
         {{Urgent, 65}, {Normal, 23}, {Batch, 12}}},
        {"worth divides capacity within a priority",
         {{Batch, 200}, {BatchHighWorth, 200}},
         {{Batch, 25}, {BatchHighWorth, 75}}},
        {"the floor of an idle priority is used by others",
         {{Urgent, 200}, {Normal, 200}},
         {{Urgent, 77}, {Normal, 23}}},
    };
    for (const Row &Case : Rows) {
      CAPTURE(Case.m_Name);
      AdmissionQueue Queue = makeQueue(1);
      RequestId Id = 1;
      for (auto [Profile, Count] : Case.m_Waiting)
        for (int I = 0; I < Count; ++I)
          Queue.admit(Id++, Profile, Time{0}, FarDeadline);
      std::map<int, int> Served = serve(Queue, 100);
      for (const auto &Expected : Case.m_Expected) {
        CAPTURE(Expected.first);
        CHECK(Served[Expected.first] >= Expected.second - 2);
        CHECK(Served[Expected.first] <= Expected.second + 2);
      }
    }
  }

  TEST_CASE("requests that cannot be served in time are refused on arrival") {
    AdmissionQueue Queue = makeQueue(1);
    Time Deadline = 200ms;
    int Admitted = 0;
    QueueAdmission LastAdmission;
    for (RequestId Id = 1; Id <= 100; ++Id) {
      LastAdmission = Queue.admit(Id, Batch, Time{0}, Deadline);
      Admitted += LastAdmission.m_Error == ErrorKind::None ? 1 : 0;
    }
    CHECK(Admitted >= 5);
    CHECK(Admitted <= 10); // Deadline of 200 ms, service time of 20 ms.
    CHECK(LastAdmission.m_Error == ErrorKind::WaitTooLong);
    CHECK(LastAdmission.m_RetryAfter > Duration{0});
  }

  TEST_CASE("without capacity all requests are refused with Retry-After") {
    AdmissionQueue Queue = makeQueue(0);
    QueueAdmission Admission = Queue.admit(1, Urgent, Time{0}, FarDeadline);
    CHECK(Admission.m_Error == ErrorKind::NoCapacity);
    CHECK(Admission.m_RetryAfter > Duration{0});
  }

  TEST_CASE("requests past their deadline expire") {
    AdmissionQueue Queue = makeQueue(1);
    Queue.admit(1, Urgent, Time{0}, 100ms);
    Queue.admit(2, Urgent, Time{0}, 300ms);
    std::vector<RequestId> Expired;
    Queue.expire(150ms, [&](RequestId Id) { Expired.push_back(Id); });
    CHECK(Expired == std::vector<RequestId>{1});
    CHECK(Queue.waiting() == 1);
  }

  TEST_CASE(
      "a slot stays free for urgent requests when batch requests are slow") {
    AdmissionQueue Queue = makeQueue(4);
    // Batch requests take ten times as long as urgent ones, which keep
    // arriving.
    for (RequestId Id = 1; Id <= 40; ++Id) {
      Queue.admit(Id, Id % 2 == 0 ? Urgent : Batch, Time{0}, FarDeadline);
      std::optional<QueuedRequest> Taken = Queue.take(4, Time{0});
      Queue.recordFinished(
          Taken->m_Priority,
          Taken->m_Priority == Priority::Urgent ? Service : Service * 10);
    }
    Queue.tick(400ms);
    for (RequestId Id = 100; Id < 104; ++Id)
      Queue.admit(Id, Batch, 400ms, FarDeadline);
    int Free = 4;
    while (Queue.take(Free, 400ms))
      --Free;
    CHECK(Free >= 1);
    CHECK(Queue.admit(200, Urgent, 400ms, FarDeadline).m_Error ==
          ErrorKind::None);
    CHECK(Queue.take(Free, 400ms)->m_Priority == Priority::Urgent);
  }

  TEST_CASE("a request that was put back is served next") {
    AdmissionQueue Queue = makeQueue(1);
    Queue.admit(1, Normal, Time{0}, FarDeadline);
    Queue.admit(2, Normal, Time{0}, FarDeadline);
    std::optional<QueuedRequest> Taken = Queue.take(1, Time{0});
    REQUIRE(Taken);
    Queue.putBack(*Taken, Time{0}, FarDeadline);
    CHECK(Queue.running(Priority::Normal) == 0);
    CHECK(Queue.take(1, Time{0})->m_Id == 1);
  }
}
