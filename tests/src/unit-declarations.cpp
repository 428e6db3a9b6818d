#include <celeryroute/detail/config/declarationreader.h>
#include <celeryroute/detail/config/similarname.h>

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <random>
#include <sstream>

#include <CppUTest/TestHarness.h>

using namespace celeryroute;

namespace {
const std::string Valid = R"(
customers:
  - {name: yard, tokens_per_second: 10, burst_tokens: 100}
pools:
  - name: p
    memory_mb: 1000
    max_concurrent: 4
    store: {loads_per_second: 1.5, parallel_loads: 4, adapters_in_flight: 30}
    models:
      - name: oak
        memory_mb: 100
        adapters: [{name: walnut, memory_mb: 5}]
routes:
  - {name: r, pool: p, models: [oak, oak/walnut], customers: [yard]}
)";

struct Mistake {
    std::string correct; ///< Text of Valid.
    std::string wrong; ///< What stands there instead.
    std::string expected; ///< The problems, one a line.
};

const std::vector<Mistake> Mistakes = {
    {"tokens_per_second: 10",
     "tokens_per_second: -10",
     "f:3:18: error 204 DeclarationInvalidValue: tokens_per_second is -10; it must be 0 or more\n"},
    {"burst_tokens: 100",
     "burst_token: 100",
     "f:3:5: error 203 DeclarationMissingField: field 'burst_tokens' is missing\n"
     "f:3:41: error 202 DeclarationUnknownField: unknown field 'burst_token'; did you mean 'burst_tokens'?\n"},
    {"max_concurrent: 4",
     "max_concurrent: four",
     "f:7:5: error 204 DeclarationInvalidValue: max_concurrent is 'four'; it must be a whole number, 0 or more\n"},
    {"pool: p,", "pool: q,", "f:14:15: error 206 DeclarationUnknownName: there is no pool 'q'; did you mean 'p'?\n"},
    {"customers: [yard]",
     "customers: [yrd]",
     "f:14:63: error 206 DeclarationUnknownName: there is no customer 'yrd'; did you mean 'yard'?\n"},
    {"models: [oak, ",
     "models: [oka, ",
     "f:14:33: error 206 DeclarationUnknownName: pool 'p' has no model 'oka'; did you mean 'oak'?\n"},
    {"memory_mb: 5}",
     "memory_mb: 950}",
     "f:12:35: error 204 DeclarationInvalidValue: needs 1050 MB; a worker of the pool has 1000 MB\n"},
    {"  - {name: yard, ",
     "  - {name: yard, tokens_per_second: 1, burst_tokens: 1}\n  - {name: yard, ",
     "f:4:6: error 205 DeclarationDuplicate: customer 'yard' is declared twice\n"},
    {"customers: [yard]}",
     "customers: [yard], open: maybe}",
     "f:14:70: error 204 DeclarationInvalidValue: open is 'maybe'; it must be true or false\n"},
    {"pools:\n", "pools: [\n", "f:5:3: error 201 DeclarationSyntax: "},
};

std::string text(const SourceProblems &problems)
{
    std::string lines;
    for (const SourceProblem &problem : problems) {
        lines += toString(problem) + "\n";
    }
    return lines;
}

std::string replaced(std::string source, const std::string &from, const std::string &to)
{
    const std::size_t place = source.find(from);
    return place == std::string::npos ? source : source.replace(place, from.size(), to);
}

std::string examplePath(const std::string &name)
{
    return std::string(CELERYROUTE_SOURCE_DIR) + "/examples/" + name;
}
} // namespace

TEST_GROUP(DeclarationReader){
    ParsedDeclarations parse(const std::string &source){return parseDeclarations({{"f", source}});
}
}
;

TEST(DeclarationReader, validText_isReadWithDefaults)
{
    const ParsedDeclarations parsed = parse(Valid);
    STRCMP_EQUAL("", text(parsed.problems).c_str());
    const PoolSpec &pool = parsed.declarations.pools.at("p");
    LONGS_EQUAL(256, pool.maxQueued);
    LONGS_EQUAL(1, pool.models.at(0).adapters.at(0).replicas);
    DOUBLES_EQUAL(1.5, pool.store.loadsPerSecond, 0);
    const RouteSpec &route = parsed.declarations.routes.at("r");
    CHECK(route.repeatable);
    CHECK(route.urgency == Urgency::Standard);
    DOUBLES_EQUAL(1, parsed.declarations.customers.at("yard").weight, 0);
}

TEST(DeclarationReader, eachMistake_isNamedWithItsPlace)
{
    for (const Mistake &mistake : Mistakes) {
        const std::string source = replaced(Valid, mistake.correct, mistake.wrong);
        CHECK(source != Valid);
        const std::string found = text(parse(source).problems);
        CHECK_TEXT(found.compare(0, mistake.expected.size(), mistake.expected) == 0, found.c_str());
        const bool whole = found.size() == mistake.expected.size() || mistake.expected.back() != '\n';
        CHECK_TEXT(whole, found.c_str());
    }
}

TEST(DeclarationReader, severalMistakes_areReportedAtOnce)
{
    std::string source = replaced(Valid, "tokens_per_second: 10", "tokens_per_second: x");
    source = replaced(source, "parallel_loads: 4", "parallel_loads: 0");
    source = replaced(source, "pool: p,", "pool: nowhere, urgency: now,");
    const SourceProblems problems = parse(source).problems;
    CHECK_EQUAL_TEXT(std::size_t{4}, problems.size(), text(problems).c_str());
    CHECK(std::is_sorted(problems.begin(), problems.end(), [](const SourceProblem &left, const SourceProblem &right) {
        return left.position < right.position;
    }));
}

TEST(DeclarationReader, twoRoutesWithOnePath_areRefused)
{
    const std::string source = "pools: [{name: s, kind: service, max_concurrent: 1}]\n"
                               "routes:\n"
                               "  - {name: a, pool: s, path: /x, open: true}\n"
                               "  - {name: b, pool: s, path: /x, open: true}\n"
                               "  - {name: c, pool: s, path: /v1/models, open: true}\n";
    const SourceProblems problems = parse(source).problems;
    CHECK_EQUAL_TEXT(std::size_t{2}, problems.size(), text(problems).c_str());
    LONGS_EQUAL(4, problems[0].position.line);
    LONGS_EQUAL(5, problems[1].position.line);
}

TEST(DeclarationReader, missingFileOrEmptyFolder_isNamed)
{
    const ParsedDeclarations parsed = readDeclarations({"no-such-file.yaml"});
    STRCMP_EQUAL("no-such-file.yaml: error 207 DeclarationFileUnreadable: the file cannot be read\n",
                 text(parsed.problems).c_str());
}

TEST(DeclarationReader, examples_areValidAndOfTheSizesOfToday)
{
    const ParsedDeclarations yards = readDeclarations({examplePath("tana-ridge")});
    STRCMP_EQUAL("", text(yards.problems).c_str());
    LONGS_EQUAL(30, yards.declarations.pools.at("assay-llm").models.size());
    LONGS_EQUAL(5, yards.declarations.customers.size());
    const ParsedDeclarations stains = readDeclarations({examplePath("mti-finish")});
    STRCMP_EQUAL("", text(stains.problems).c_str());
    LONGS_EQUAL(35, stains.declarations.pools.at("stain-advisor").models.size());
    DOUBLES_EQUAL(4, stains.declarations.pools.at("stain-advisor").store.loadsPerSecond, 0);
}

// Whatever stands in a file, reading ends with declarations or with problems that name their place.
TEST(DeclarationReader, mutatedExamples_areReadOrRefusedWithPlaces)
{
    constexpr int Mutations = 600;
    constexpr std::uint64_t Seed = 20;
    std::mt19937_64 random(Seed);
    const auto number = [&random](std::size_t bound) {
        return std::uniform_int_distribution<std::size_t>(0, bound - 1)(random);
    };
    std::string original;
    for (const char *file : {"/routes.yaml", "/pools.yaml", "/customers.yaml"}) {
        std::ifstream stream(examplePath("mti-finish") + file);
        original += std::string(std::istreambuf_iterator<char>(stream), {}) + "---\n";
    }
    original += Valid;
    int refused = 0;
    for (int i = 0; i < Mutations; ++i) {
        std::string source = original;
        for (std::size_t edits = 1 + number(4); edits > 0; --edits) {
            const std::size_t place = number(source.size());
            switch (number(4)) {
            case 0:
                source[place] = static_cast<char>(number(256));
                break;
            case 1:
                source.erase(place, number(40));
                break;
            case 2:
                source.insert(place, source.substr(number(source.size()), number(60)));
                break;
            default:
                source.insert(place, std::string(1 + number(3), "{}[]:,-&*#|>\"' \n"[number(16)]));
                break;
            }
        }
        const SourceProblems problems = parse(source).problems;
        refused += problems.empty() ? 0 : 1;
        for (const SourceProblem &problem : problems) {
            CHECK(!problem.error.message.empty());
            CHECK(problem.position.line >= 0);
        }
    }
    std::printf("\n%d mutations, seed %d: %d refused\n", Mutations, static_cast<int>(Seed), refused);
    CHECK(refused > Mutations / 2);
}

TEST(DeclarationReader, similarName_isNearOrNone)
{
    STRCMP_EQUAL("urgency", similarName("urgencey", {"name", "urgency"}).c_str());
    STRCMP_EQUAL("", similarName("colour", {"name", "urgency"}).c_str());
}
