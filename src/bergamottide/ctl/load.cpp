#include "bergamottide/ctl/load.h"

#include "bergamottide/net/httpclient.h"
#include "bergamottide/net/loop.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

namespace bergamottide {

namespace {

using Json = nlohmann::ordered_json;

constexpr Duration pollTimeout = std::chrono::milliseconds{20};
constexpr Duration progressPeriod = std::chrono::seconds{1};
/*! @brief Time without data after which an answer counts as lost; exceeds the longest allowed deadline. */
constexpr Duration answerTimeout = std::chrono::minutes{11};

double milliseconds(Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

std::string outcomeOf(const HttpResponse &answer)
{
    const Json body = Json::parse(answer.body, nullptr, false);
    if (body.is_object() && body.contains("outcome") && body["outcome"].is_string()) {
        return body["outcome"].get<std::string>();
    }
    return "status_" + std::to_string(answer.status);
}

/*! @brief Sends requests at a constant rate and collects the answers. */
class LoadGenerator
{
public:
    LoadGenerator(const CommandContext &context, std::string address, HttpRequest request)
        : m_context{context}
        , m_address{std::move(address)}
        , m_request{std::move(request)}
        , m_loop{m_clock}
        , m_client{m_loop, HttpClientOptions{.ioTimeout = answerTimeout}}
        , m_start{m_clock.now()}
        , m_nextProgress{m_start + progressPeriod}
    {
    }

    [[nodiscard]] LoadSummary run()
    {
        const ControlOptions &options = m_context.options;
        const auto total = static_cast<std::size_t>(std::chrono::duration<double>(options.time).count() * options.rate);
        while (m_summary.answers() < total) {
            const std::size_t due = std::min(total, dueCount(m_clock.now()));
            for (; m_sent < due; ++m_sent) {
                send();
            }
            m_loop.runOnce(timeUntilNext(total));
            reportProgress(total);
        }
        return m_summary;
    }

private:
    [[nodiscard]] std::size_t dueCount(TimePoint now) const
    {
        return 1
            + static_cast<std::size_t>(std::chrono::duration<double>(now - m_start).count() * m_context.options.rate);
    }

    [[nodiscard]] Duration timeUntilNext(std::size_t total) const
    {
        if (m_sent >= total) {
            return pollTimeout;
        }
        const auto offset = std::chrono::duration<double>(static_cast<double>(m_sent) / m_context.options.rate);
        const Duration timeLeft = m_start + std::chrono::duration_cast<Duration>(offset) - m_clock.now();
        return std::clamp<Duration>(timeLeft, std::chrono::milliseconds{1}, pollTimeout);
    }

    void send()
    {
        const TimePoint sent = m_clock.now();
        HttpCallHooks hooks;
        hooks.done = [this, sent](const HttpResponse &answer) {
            m_summary.add(outcomeOf(answer), m_clock.now() - sent);
        };
        hooks.failed = [this, sent](HttpFailure) {
            m_summary.add("lost", m_clock.now() - sent);
        };
        (void)m_client.call(m_address, m_request, std::move(hooks));
    }

    void reportProgress(std::size_t total)
    {
        if (m_clock.now() < m_nextProgress) {
            return;
        }
        m_nextProgress += progressPeriod;
        m_context.err << m_sent << " of " << total << " sent, " << m_summary.answers() << " answered\n";
    }

    const CommandContext &m_context;
    std::string m_address;
    HttpRequest m_request;
    SystemClock m_clock;
    Loop m_loop;
    HttpClient m_client;
    TimePoint m_start;
    TimePoint m_nextProgress;
    std::size_t m_sent{};
    LoadSummary m_summary;
};

} // namespace

void LoadSummary::add(const std::string &outcome, Duration latency)
{
    ++m_answers;
    ++m_outcomes[outcome];
    if (outcome == "completed") {
        m_latencies.insert(std::upper_bound(m_latencies.begin(), m_latencies.end(), latency), latency);
    }
}

void LoadSummary::setCosts(const StageCosts &before, const StageCosts &after)
{
    m_costs = after;
    for (const auto &[stage, cost] : before) {
        m_costs[stage].usefulSeconds -= cost.usefulSeconds;
        m_costs[stage].wastedSeconds -= cost.wastedSeconds;
    }
}

double LoadSummary::attainment() const
{
    return m_answers == 0 ? 1.0 : static_cast<double>(m_latencies.size()) / static_cast<double>(m_answers);
}

Duration LoadSummary::quantile(double fraction) const
{
    if (m_latencies.empty()) {
        return {};
    }
    const auto rank = static_cast<std::size_t>(std::ceil(fraction * static_cast<double>(m_latencies.size())));
    return m_latencies[std::clamp<std::size_t>(rank, 1, m_latencies.size()) - 1];
}

std::string LoadSummary::text(OutputFormat format) const
{
    Json json{{"requests", m_answers}, {"attainment", attainment()}, {"outcomes", m_outcomes}};
    json["latency_ms"] = {{"p50", milliseconds(quantile(0.5))},
                          {"p95", milliseconds(quantile(0.95))},
                          {"p99", milliseconds(quantile(0.99))},
                          {"max", milliseconds(quantile(1.0))}};
    json["cost_seconds"] = Json::object();
    for (const auto &[stage, cost] : m_costs) {
        json["cost_seconds"][stage] = {{"useful", cost.usefulSeconds}, {"wasted", cost.wastedSeconds}};
    }
    if (format == OutputFormat::Json) {
        return json.dump() + '\n';
    }
    std::string out = "requests " + std::to_string(m_answers) + ", attainment " + json["attainment"].dump() + '\n';
    for (const auto &[outcome, count] : m_outcomes) {
        out += "  " + outcome + ' ' + std::to_string(count) + '\n';
    }
    for (const auto &[name, value] : json["latency_ms"].items()) {
        out += "  latency " + name + ' ' + value.dump() + " ms\n";
    }
    for (const auto &[stage, cost] : json["cost_seconds"].items()) {
        out += "  stage " + stage + " useful " + cost["useful"].dump() + " s, wasted " + cost["wasted"].dump() + " s\n";
    }
    return out;
}

ExitCode runLoad(const CommandContext &context, const std::vector<std::string> &arguments)
{
    const auto body = context.readFile(arguments[2]);
    if (!body) {
        context.err << arguments[2] << ": The file cannot be read.\n";
        return ExitCode::Failed;
    }
    const StageCosts before = readStageCosts(context);
    LoadGenerator generator{context, arguments[0], makeSubmission(context.options, arguments[1], *body)};
    LoadSummary summary = generator.run();
    summary.setCosts(before, readStageCosts(context));
    context.out << summary.text(context.options.output);
    return summary.attainment() < 1.0 ? ExitCode::No : ExitCode::Ok;
}

} // namespace bergamottide
