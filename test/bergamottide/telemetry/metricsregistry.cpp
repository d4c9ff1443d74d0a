#include "bergamottide/telemetry/metricsregistry.h"

#include "bergamottide/telemetry/metricinfo.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <string>

using namespace bergamottide;

class MetricsRegistryTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(MetricsRegistryTest);
    CPPUNIT_TEST(tableDescribesEveryMetricInOrder);
    CPPUNIT_TEST(valuesAreExposed);
    CPPUNIT_TEST(wrongObservationsAreCountedAndDropped);
    CPPUNIT_TEST_SUITE_END();

public:
    void tableDescribesEveryMetricInOrder()
    {
        const auto infos = metricInfos();
        CPPUNIT_ASSERT_EQUAL(EnumNames<Metric>::names.size(), infos.size());
        for (std::size_t index = 0; index < infos.size(); ++index) {
            const std::string name{enumName(infos[index].metric)};
            CPPUNIT_ASSERT_EQUAL_MESSAGE(name, index, static_cast<std::size_t>(infos[index].metric));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(name, infos[index].type == MetricType::Counter, name.ends_with("_total"));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(name, infos[index].type == MetricType::Histogram,
                                         !infos[index].buckets.empty());
            CPPUNIT_ASSERT_MESSAGE(name, std::is_sorted(infos[index].buckets.begin(), infos[index].buckets.end()));
        }
    }

    void valuesAreExposed()
    {
        MetricsRegistry registry;
        registry.observe({Metric::RequestsTotal, {"acme", "pour", "completed"}, 1});
        registry.observe({Metric::RequestsTotal, {"acme", "pour", "completed"}, 2});
        registry.observe({Metric::QueueDepth, {}, 7});
        registry.observe({Metric::QueueDepth, {}, 4});
        registry.observe({Metric::RequestSeconds, {"pour"}, 0.3});
        const std::string text = registry.text();
        const std::string requests =
            "bergamottide_requests_total{kind=\"pour\",outcome=\"completed\",workspace=\"acme\"} 3";
        CPPUNIT_ASSERT_MESSAGE(text, text.find(requests) != std::string::npos);
        CPPUNIT_ASSERT(text.find("bergamottide_queue_depth 4") != std::string::npos);
        CPPUNIT_ASSERT(text.find("bergamottide_request_seconds_bucket{kind=\"pour\",le=\"0.25\"} 0")
                       != std::string::npos);
        CPPUNIT_ASSERT(text.find("bergamottide_request_seconds_bucket{kind=\"pour\",le=\"0.5\"} 1")
                       != std::string::npos);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, registry.refused());
    }

    void wrongObservationsAreCountedAndDropped()
    {
        MetricsRegistry registry;
        registry.observe({Metric::RequestsTotal, {"acme"}, 1});
        registry.observe({Metric::RetriesTotal, {"encode"}, -1});
        registry.observe({static_cast<Metric>(200), {}, 1});
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, registry.refused());
        CPPUNIT_ASSERT(registry.text().find("acme") == std::string::npos);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MetricsRegistryTest);
