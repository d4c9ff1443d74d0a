#include "bergamottide/telemetry/metricsregistry.h"

#include "bergamottide/telemetry/metricinfo.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <array>
#include <map>
#include <sstream>
#include <variant>
#include <vector>

namespace bergamottide {

namespace {

constexpr auto metricCount = EnumNames<Metric>::names.size();

/*! @brief A family and its members by the values of their labels, so that an observation makes no label map. */
template <typename Value>
struct Members
{
    prometheus::Family<Value> *family{};
    std::map<std::vector<std::string>, Value *> byLabels;
};

using AnyMembers =
    std::variant<Members<prometheus::Counter>, Members<prometheus::Gauge>, Members<prometheus::Histogram>>;

prometheus::Labels labelsOf(const MetricInfo &info, const std::vector<std::string> &values)
{
    prometheus::Labels labels;
    for (std::size_t index = 0; index < values.size(); ++index) {
        labels.emplace(info.labels[index], values[index]);
    }
    return labels;
}

template <typename Value, typename... Arguments>
Value &member(Members<Value> &members, const MetricInfo &info, const std::vector<std::string> &values,
              const Arguments &...arguments)
{
    const auto found = members.byLabels.find(values);
    if (found != members.byLabels.end()) {
        return *found->second;
    }
    Value &added = members.family->Add(labelsOf(info, values), arguments...);
    members.byLabels.emplace(values, &added);
    return added;
}

AnyMembers makeMembers(const MetricInfo &info, prometheus::Registry &registry)
{
    const std::string name{enumName(info.metric)};
    const std::string help{info.help};
    switch (info.type) {
    case MetricType::Gauge:
        return Members<prometheus::Gauge>{&prometheus::BuildGauge().Name(name).Help(help).Register(registry), {}};
    case MetricType::Histogram:
        return Members<prometheus::Histogram>{&prometheus::BuildHistogram().Name(name).Help(help).Register(registry),
                                              {}};
    case MetricType::Counter:
        break;
    }
    return Members<prometheus::Counter>{&prometheus::BuildCounter().Name(name).Help(help).Register(registry), {}};
}

/*! @brief Applies one observation to the family of its type. */
struct Apply
{
    const MetricInfo &info;
    const Observe &observation;

    void operator()(Members<prometheus::Counter> &members) const
    {
        member(members, info, observation.labels).Increment(observation.value);
    }

    void operator()(Members<prometheus::Gauge> &members) const
    {
        member(members, info, observation.labels).Set(observation.value);
    }

    void operator()(Members<prometheus::Histogram> &members) const
    {
        member(members, info, observation.labels, info.buckets).Observe(observation.value);
    }
};

} // namespace

struct MetricsRegistry::State
{
    prometheus::Registry registry;
    std::array<AnyMembers, metricCount> families;
    prometheus::Counter *refused{};
};

MetricsRegistry::MetricsRegistry()
    : m_state{std::make_unique<State>()}
{
    for (const MetricInfo &info : metricInfos()) {
        m_state->families.at(static_cast<std::size_t>(info.metric)) = makeMembers(info, m_state->registry);
    }
    m_state->refused = &prometheus::BuildCounter()
                            .Name("bergamottide_observations_refused_total")
                            .Help("Observations that do not fit their metric.")
                            .Register(m_state->registry)
                            .Add({});
}

MetricsRegistry::~MetricsRegistry() = default;

void MetricsRegistry::observe(const Observe &observation)
{
    const auto index = static_cast<std::size_t>(observation.metric);
    if (index >= metricCount) {
        m_state->refused->Increment();
        return;
    }
    const MetricInfo &info = metricInfos()[index];
    const bool shrinks = info.type == MetricType::Counter && observation.value < 0;
    if (observation.labels.size() != info.labels.size() || shrinks) {
        m_state->refused->Increment();
        return;
    }
    std::visit(Apply{info, observation}, m_state->families[index]);
}

std::string MetricsRegistry::text() const
{
    std::ostringstream out;
    prometheus::TextSerializer{}.Serialize(out, m_state->registry.Collect());
    return out.str();
}

std::uint64_t MetricsRegistry::refused() const noexcept
{
    return static_cast<std::uint64_t>(m_state->refused->Value());
}

} // namespace bergamottide
