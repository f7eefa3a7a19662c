// Reading of the load header. Guards against a header with more figures, or
// with one odd figure, from which nothing is used any more, and against false
// values that reach the load estimate.
#include "tools/rhubarb-node/Headers.h"

#include <doctest/doctest.h>

using namespace rhubarb;
using namespace rhubarb::node;

TEST_SUITE("node_headers") {
  TEST_CASE("load headers") {
    struct Row {
      const char *m_Text;
      bool m_Valid;
      ReportedLoad m_Load;
    };
    const Row Rows[] = {
        {"3,2,9", true, {3, 2, 9, 0}},
        {"3,2,9,250", true, {3, 2, 9, 250}},
        {"3,2,9,250,7", true, {3, 2, 9, 250}},
        {"3,2,9,250,not a number", true, {3, 2, 9, 250}},
        {"3,2,9,250,", true, {3, 2, 9, 250}},
        {" 3 ,\t2 , 9 , 250 ", true, {3, 2, 9, 250}},
        {"0,0,0,100", true, {0, 0, 0, 100}},
        {"1000000,1000000,1000000,100000",
         true,
         {1'000'000, 1'000'000, 1'000'000, 100'000}},
        // An odd fourth figure counts as not reported.
        {"3,2,9,", true, {3, 2, 9, 0}},
        {"3,2,9, ", true, {3, 2, 9, 0}},
        {"3,2,9,0", true, {3, 2, 9, 0}},
        {"3,2,9,-250", true, {3, 2, 9, 0}},
        {"3,2,9,100001", true, {3, 2, 9, 0}},
        {"3,2,9,99999999999999999999", true, {3, 2, 9, 0}},
        {"3,2,9,2.5", true, {3, 2, 9, 0}},
        {"3,2,9,250%", true, {3, 2, 9, 0}},
        {"3,2,9,nan", true, {3, 2, 9, 0}},
        {"3,2,9,,250", true, {3, 2, 9, 0}},
        // One of the first three figures is odd or missing.
        {"", false, {}},
        {" ", false, {}},
        {",", false, {}},
        {",,,", false, {}},
        {"3", false, {}},
        {"3,2", false, {}},
        {"3,2,", false, {}},
        {"3,,9", false, {}},
        {",2,9,250", false, {}},
        {"3, ,9", false, {}},
        {"-3,2,9", false, {}},
        {"3,-2,9,250", false, {}},
        {"+3,2,9", false, {}},
        {"3,2,1000001", false, {}},
        {"3,99999999999,9", false, {}},
        {"three,2,9", false, {}},
        {"3,2,9x", false, {}},
        {"3 2 9", false, {}},
        {"3;2;9;250", false, {}},
        {"0x3,2,9", false, {}},
    };
    for (const Row &Case : Rows) {
      CAPTURE(Case.m_Text);
      std::optional<ReportedLoad> Load = readServerLoad(Case.m_Text);
      REQUIRE(Load.has_value() == Case.m_Valid);
      if (!Load)
        continue;
      CHECK(Load->m_Running == Case.m_Load.m_Running);
      CHECK(Load->m_Waiting == Case.m_Load.m_Waiting);
      CHECK(Load->m_Slots == Case.m_Load.m_Slots);
      CHECK(Load->m_RunTimePercent == Case.m_Load.m_RunTimePercent);
    }
  }
}
