#include <celeryroute/detail/observe/metrics.h>

#include <CppUTest/TestHarness.h>

using namespace celeryroute;

TEST_GROUP(Metrics)
{
    Metrics metrics;

    bool exposes(const std::string &line) const
    {
        return metrics.exposition().find(line) != std::string::npos;
    }
};

TEST(Metrics, countersAndHistograms_appearUnderTheirNames)
{
    metrics.countRequest("yard", "assay-llm");
    metrics.countRequest("yard", "assay-llm");
    metrics.countRefusal("yard", 311);
    metrics.observeColdStart("assay-llm", std::chrono::milliseconds(300));
    metrics.setStateOffset(17);
    CHECK(exposes("celeryroute_requests_total{customer=\"yard\",pool=\"assay-llm\"} 2"));
    CHECK(exposes("celeryroute_refusals_total{code=\"311\",customer=\"yard\"} 1"));
    CHECK(exposes("celeryroute_cold_start_seconds_bucket{pool=\"assay-llm\",le=\"0.2\"} 0"));
    CHECK(exposes("celeryroute_cold_start_seconds_bucket{pool=\"assay-llm\",le=\"0.37\"} 1"));
    CHECK(exposes("celeryroute_state_offset 17"));
}
