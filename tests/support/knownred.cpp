#include "knownred.h"

#include <sstream>

namespace celeryroute::test {

std::vector<std::string> knownRedTests(std::istream &list, const std::string &program)
{
    std::vector<std::string> tests;
    for (std::string line; std::getline(list, line);) {
        std::istringstream words(line.substr(0, line.find('|')));
        std::string listedProgram;
        std::string test;
        std::string more;
        words >> listedProgram >> test >> more;
        const bool namesTest = test.find('.') != std::string::npos && more.empty();
        if (listedProgram == program && namesTest) {
            tests.push_back(test);
        }
    }
    return tests;
}

} // namespace celeryroute::test
