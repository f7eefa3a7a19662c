// How a reader's news reaches each VM of its region, over others.
#include "rhubarb/Relays.h"

#include <doctest/doctest.h>

#include <map>
#include <set>

using namespace rhubarb;

TEST_SUITE("relays") {
  TEST_CASE("each VM is told once, within its failure domain") {
    struct Row {
      std::size_t m_Vms;
      std::size_t m_Domains;
      std::size_t m_DeadEvery; // 0: none.
      RelayShape m_Shape;
      std::size_t m_MostGroups;
    };
    for (const Row &Case : {Row{0, 1, 0, RelayShape::Balanced, 0},
                            Row{1, 1, 0, RelayShape::Balanced, 1},
                            Row{16, 2, 0, RelayShape::Balanced, 16},
                            Row{17, 2, 0, RelayShape::Balanced, 6},
                            Row{98, 3, 0, RelayShape::Balanced, 13},
                            Row{98, 3, 5, RelayShape::Balanced, 13},
                            Row{98, 3, 5, RelayShape::FewestGroups, 6},
                            Row{330, 3, 7, RelayShape::Balanced, 24},
                            Row{2020, 2, 0, RelayShape::FewestGroups, 90}}) {
      CAPTURE(Case.m_Vms);
      std::vector<RelayTarget> Vms;
      std::map<std::string, std::string> DomainOf;
      std::set<std::string> Dead;
      for (std::size_t I = 0; I < Case.m_Vms; ++I) {
        RelayTarget Target;
        Target.m_Vm =
            "10.0." + std::to_string(I / 250) + "." + std::to_string(I % 250);
        Target.m_Domain = "d" + std::to_string(I % Case.m_Domains);
        Target.m_Live = Case.m_DeadEvery == 0 || I % Case.m_DeadEvery != 0;
        DomainOf[Target.m_Vm] = Target.m_Domain;
        if (!Target.m_Live)
          Dead.insert(Target.m_Vm);
        Vms.push_back(Target);
      }
      std::set<std::string> PassedOn;
      for (std::uint64_t Round = 1; Round <= 3; ++Round) {
        std::multiset<std::string> Told;
        std::vector<RelayGroup> Groups = relayGroups(Vms, Round, Case.m_Shape);
        CHECK(Groups.size() <= Case.m_MostGroups);
        for (const RelayGroup &Group : Groups) {
          Told.insert(Group.m_Relay);
          CHECK(Group.m_Receivers.size() <= MaxRelayFanout);
          if (!Group.m_Receivers.empty())
            CHECK(!Dead.contains(Group.m_Relay));
          if (!Group.m_Receivers.empty() && Case.m_Vms > MaxDirectTargets)
            CHECK(PassedOn.insert(Group.m_Relay).second); // Another each round.
          for (const std::string &Vm : Group.m_Receivers) {
            Told.insert(Vm);
            CHECK(DomainOf[Vm] == DomainOf[Group.m_Relay]);
          }
        }
        CHECK(Told.size() == Case.m_Vms);
        CHECK(std::set<std::string>(Told.begin(), Told.end()).size() ==
              Case.m_Vms);
      }
    }
  }

  // Pattern: a fleet has just started, and nothing has been heard of most VMs.
  TEST_CASE("VMs that were not heard of pass on where none was") {
    std::vector<RelayTarget> Vms;
    Vms.reserve(40);
    for (int I = 0; I < 40; ++I)
      Vms.push_back({std::to_string(I), I < 20 ? "unheard" : "live", I >= 20});
    std::set<std::string> First;
    for (std::uint64_t Round = 1; Round <= 4; ++Round) {
      std::vector<RelayGroup> Groups =
          relayGroups(Vms, Round, RelayShape::Balanced);
      CHECK(Groups.size() <= 8);
      for (const RelayGroup &Group : Groups)
        First.insert(Group.m_Relay);
    }
    CHECK(First.size() >= 24); // A dead one costs its group one round.
  }
}
