#include "knownred.h"

#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>
#include <CppUTest/TestRegistry.h>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>

namespace {

/// Moves the tests of @p all to @p kept, except those in @p knownRed.
/// @return the number of tests left out
std::size_t moveTests(TestRegistry &all, TestRegistry &kept, const std::vector<std::string> &knownRed)
{
    std::vector<UtestShell *> tests;
    std::size_t leftOut = 0;
    for (UtestShell *test = all.getFirstTest(); test != nullptr; test = test->getNext()) {
        const std::string name = std::string(test->getGroup().asCharString()) + '.' + test->getName().asCharString();
        if (std::find(knownRed.begin(), knownRed.end(), name) == knownRed.end()) {
            tests.push_back(test);
        } else {
            ++leftOut;
            std::cout << "known red, not run: " << name << '\n';
        }
    }
    // A registry runs first what was added last.
    std::for_each(tests.rbegin(), tests.rend(), [&kept](UtestShell *test) { kept.addTest(test); });
    return leftOut;
}

} // namespace

// Leaks are checked by `make check-asan`. The leak plugin is left out altogether: it keeps a list of
// what libraries allocated before main(), and reads it after they have freed some of it.
int main(int argc, char **argv)
{
    MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
    TestRegistry *registry = TestRegistry::getCurrentRegistry();
    TestRegistry kept;
    if (const char *listPath = std::getenv("CELERYROUTE_KNOWN_RED")) {
        std::ifstream list(listPath);
        const std::vector<std::string> knownRed = celeryroute::test::knownRedTests(
            list,
            std::filesystem::path(argv[0]).filename().string());
        if (!list.eof() || moveTests(*registry, kept, knownRed) != knownRed.size()) {
            std::cerr << listPath << ": not readable, or names a test that does not exist\n";
            return EXIT_FAILURE;
        }
        registry = &kept;
        registry->setCurrentRegistry(registry);
    }
    CommandLineTestRunner runner(argc, argv, registry);
    return runner.runAllTestsMain();
}
