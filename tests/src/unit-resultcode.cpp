#include <celeryroute/error.h>
#include <celeryroute/resultcode.h>

#include <fstream>
#include <set>
#include <sstream>

#include <CppUTest/TestHarness.h>

using namespace celeryroute;

namespace {

std::string expectedPage()
{
    std::ostringstream page;
    page << "| number | name | HTTP | meaning | example |\n|---|---|---|---|---|\n";
    for (const ResultCodeInfo &info : resultCodeInfos()) {
        const std::string status = info.httpStatus == 0 ? "" : std::to_string(info.httpStatus);
        page << "| " << static_cast<int>(info.code) << " | " << info.name << " | " << status << " | " << info.meaning
             << " | " << info.example << " |\n";
    }
    return page.str();
}

} // namespace

TEST_GROUP(ResultCodeTable){};

TEST(ResultCodeTable, allRows_numbersAscend)
{
    int previous = -1;
    for (const ResultCodeInfo &info : resultCodeInfos()) {
        CHECK(static_cast<int>(info.code) > previous);
        previous = static_cast<int>(info.code);
    }
}

TEST(ResultCodeTable, errorsPage_containsTheTableWordForWord)
{
    std::ifstream file(std::string(CELERYROUTE_SOURCE_DIR) + "/docs/ERRORS.md");
    std::stringstream text;
    text << file.rdbuf();
    CHECK(text.str().find(expectedPage()) != std::string::npos);
}

TEST(ResultCodeTable, errorAsText_namesNumberAndName)
{
    const Error error{ResultCode::RateExceeded, "yard is over its rate"};
    STRCMP_EQUAL("error 311 RateExceeded: yard is over its rate", toString(error).c_str());
}
