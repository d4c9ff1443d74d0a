#include "bergamottide/app/platformfeed.h"

#include "bergamottide/core/error.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace bergamottide {

namespace {

using Json = nlohmann::json;

std::int64_t milliseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

template <typename Counts>
Json countsJson(const Counts &counts, std::uint64_t values)
{
    return {{"reads", counts.reads}, {"values", values}, {"errors", counts.errors}, {"bytes", counts.bytes}};
}

} // namespace

PlatformFeed::PlatformFeed(Loop &loop, const PlatformFeedOptions &options, PlatformFeedHooks hooks)
    : m_loop{loop}
    , m_hooks{std::move(hooks)}
    , m_config{loop, options.configService, configHooks()}
    , m_instances{loop, options.instanceList, options.identity.seed, instanceHooks()}
    , m_distribution{options.identity, DistributionPolicy{}, loop.now()}
    , m_runner{loop, m_distribution, [this](ConfigEffect effect) {
                   carryOut(std::move(effect));
               }}
{
}

void PlatformFeed::start()
{
    m_instances.start();
    m_runner.submit(Tick{});
}

void PlatformFeed::handleMessage(const InstanceName &from, const Message &message)
{
    const bool isConfigMessage = std::holds_alternative<Hello>(message)
        || std::holds_alternative<ConfigSubscribe>(message) || std::holds_alternative<ConfigDelta>(message);
    if (isConfigMessage) {
        m_runner.submit(PeerMessage{from, message});
    }
}

void PlatformFeed::handleStreamClosed(const InstanceName &peer)
{
    m_runner.submit(PeerDown{peer});
}

std::uint64_t PlatformFeed::version() const
{
    return m_distribution.current() ? m_distribution.current()->version() : 0;
}

std::uint64_t PlatformFeed::revision() const noexcept
{
    return m_revision;
}

Json PlatformFeed::status() const
{
    const ConfigStatus status = m_distribution.status();
    return {{"config_version", status.version},
            {"config_digest", absl::StrCat(absl::Hex(status.digest, absl::kZeroPad16))},
            {"config_unconfirmed", status.unconfirmed},
            {"config_age_ms", milliseconds(m_distribution.age(m_loop.now()))},
            {"config_parent", status.parent.text()},
            {"config_subscribers", status.subscribers},
            {"config_refusal", status.refusalIssues.empty() ? std::string{} : issueText(status.refusalIssues.front())},
            {"config_reads", countsJson(m_config.counts(), m_config.counts().documents)},
            {"view_revision", m_revision},
            {"instance_reads", countsJson(m_instances.counts(), m_instances.counts().values)}};
}

void PlatformFeed::carryOut(ConfigEffect effect)
{
    std::visit([this](const auto &value) { carryOut(value); }, effect);
}

void PlatformFeed::carryOut(const SendMessage &effect)
{
    m_hooks.send(effect);
}

void PlatformFeed::carryOut(const ReadConfig &effect)
{
    m_config.read(effect.newerThan);
}

void PlatformFeed::carryOut(const ConfigChanged &effect)
{
    m_hooks.document(effect);
}

void PlatformFeed::carryOut(const LogLine &line)
{
    m_hooks.log(line);
}

void PlatformFeed::carryOut(const AuditRecord &record)
{
    m_hooks.audit(record);
}

void PlatformFeed::carryOut(const Observe &observation)
{
    m_hooks.observe(observation);
}

ConfigClientHooks PlatformFeed::configHooks()
{
    ConfigClientHooks hooks;
    hooks.document = [this](std::string text) {
        m_runner.submit(ConfigDocumentRead{std::move(text)});
    };
    hooks.unchanged = [this] {
        m_runner.submit(ConfigUnchanged{});
    };
    hooks.failed = [this](const absl::Status &error) {
        logReadFailure("config", error);
        m_runner.submit(ConfigReadFailed{});
    };
    return hooks;
}

InstanceClientHooks PlatformFeed::instanceHooks()
{
    InstanceClientHooks hooks;
    hooks.view = [this](const std::shared_ptr<const InstanceView> &view) {
        applyView(view);
    };
    hooks.failed = [this](const absl::Status &error) {
        logReadFailure("instances", error);
    };
    return hooks;
}

void PlatformFeed::applyView(const std::shared_ptr<const InstanceView> &view)
{
    m_revision = view->revision;
    const auto leaving = std::count_if(view->instances.begin(), view->instances.end(),
                                       [](const auto &listed) { return listed.second.leaving; });
    m_hooks.audit(AuditRecord{AuditKind::ViewChange, absl::StrCat("revision ", view->revision), "instance list",
                              absl::StrCat(view->instances.size(), " instances, ", leaving, " leaving")});
    m_hooks.view(view);
    m_runner.submit(ViewChanged{view});
}

void PlatformFeed::logReadFailure(const char *source, const absl::Status &error)
{
    m_hooks.log(LogLine{Severity::Warning,
                        Part::Config,
                        "Reading from the platform failed.",
                        {{"source", source},
                         {"reason", std::string{enumName(errorReason(error))}},
                         {"detail", std::string{error.message()}}}});
}

} // namespace bergamottide
