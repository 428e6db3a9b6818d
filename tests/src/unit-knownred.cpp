#include "knownred.h"

#include <sstream>

#include <CppUTest/TestHarness.h>

using namespace celeryroute::test;

TEST_GROUP(KnownRedTests){};

TEST(KnownRedTests, listWithOtherEntries_givesExactlyTheNamedTestsOfTheProgram)
{
    std::istringstream list("unit-agent | build/bin/unit-agent | seen once | issue 2\n"
                            "unit-http Server.closes_early | command | seen | issue 3\n"
                            "unit-http Server.a is flaky | command | seen | issue 3\n"
                            "\n"
                            "unit-http1 Server.other | command | seen | issue 3\n"
                            "  unit-http  Client.waits|command|seen|issue 3");
    const std::vector<std::string> expected = {"Server.closes_early", "Client.waits"};
    CHECK(knownRedTests(list, "unit-http") == expected);
    std::istringstream again(list.str());
    CHECK(knownRedTests(again, "unit-agent").empty());
}
