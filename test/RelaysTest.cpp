// Distribution of a reader's updates to its region through relays.
#include "rhubarb/Relays.h"

#include <doctest/doctest.h>

#include <map>
#include <set>

using namespace rhubarb;

TEST_SUITE("relays") {
  TEST_CASE(
      "each VM gets an update once, through a relay of its failure domain") {
    struct Row {
      std::size_t m_Vms;
      std::size_t m_Domains;
      std::size_t m_DeadEvery; // One VM in this many is dead; 0: none is.
      RelayShape m_Shape;
      std::size_t m_MaxGroups;
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
      std::set<std::string> Relays;
      for (std::uint64_t Round = 1; Round <= 3; ++Round) {
        std::multiset<std::string> Reached;
        std::vector<RelayGroup> Groups = relayGroups(Vms, Round, Case.m_Shape);
        CHECK(Groups.size() <= Case.m_MaxGroups);
        for (const RelayGroup &Group : Groups) {
          Reached.insert(Group.m_Relay);
          CHECK(Group.m_Receivers.size() <= MaxRelayFanout);
          if (!Group.m_Receivers.empty())
            CHECK(!Dead.contains(Group.m_Relay));
          if (!Group.m_Receivers.empty() && Case.m_Vms > MaxDirectTargets)
            // Each round uses other relays.
            CHECK(Relays.insert(Group.m_Relay).second);
          for (const std::string &Vm : Group.m_Receivers) {
            Reached.insert(Vm);
            CHECK(DomainOf[Vm] == DomainOf[Group.m_Relay]);
          }
        }
        CHECK(Reached.size() == Case.m_Vms);
        CHECK(std::set<std::string>(Reached.begin(), Reached.end()).size() ==
              Case.m_Vms);
      }
    }
  }

  // In a fleet that has just started, most VMs have not sent a heartbeat yet: a
  // failure domain without a live VM still needs relays.
  TEST_CASE("unheard VMs relay in domains without a live one") {
    std::vector<RelayTarget> Vms;
    Vms.reserve(40);
    for (int I = 0; I < 40; ++I)
      Vms.push_back({std::to_string(I), I < 20 ? "unheard" : "live", I >= 20});
    std::set<std::string> Relays;
    for (std::uint64_t Round = 1; Round <= 4; ++Round) {
      std::vector<RelayGroup> Groups =
          relayGroups(Vms, Round, RelayShape::Balanced);
      CHECK(Groups.size() <= 8);
      for (const RelayGroup &Group : Groups)
        Relays.insert(Group.m_Relay);
    }
    // Relays change, so a dead one costs its group one round.
    CHECK(Relays.size() >= 24);
  }
}
