#include "bergamottide/app/platformfeed.h"

#include "bergamottide/core/error.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace bergamottide {

PlatformFeed::PlatformFeed(Loop &loop, const PlatformFeedOptions &options, PlatformFeedHooks hooks)
    : m_loop{loop}
    , m_hooks{std::move(hooks)}
    , m_config{loop, options.configService, options.seed,
               ConfigClientHooks{[this](const std::string &text) { return takeDocument(text); },
                                 [this](const absl::Status &error) { readFailed("config", error); },
                                 [this] {
                                     m_confirmed = m_loop.now();
                                 }}}
    , m_instances{loop, options.instanceList, options.seed + 1,
                  InstanceClientHooks{[this](std::shared_ptr<const InstanceView> view) { takeView(std::move(view)); },
                                      [this](const absl::Status &error) { readFailed("instances", error); },
                                      {}}}
{
}

void PlatformFeed::start()
{
    m_config.start();
    m_instances.start();
}

void PlatformFeed::observe()
{
    m_hooks.observe(Observe{Metric::ConfigVersion, {}, static_cast<double>(version())});
    const auto age = confirmedAge();
    if (age) {
        m_hooks.observe(Observe{Metric::ConfigAgeSeconds, {}, std::chrono::duration<double>(*age).count()});
    }
}

std::uint64_t PlatformFeed::version() const noexcept
{
    return m_store.version();
}

std::uint64_t PlatformFeed::digest() const noexcept
{
    return m_store.digest();
}

std::uint64_t PlatformFeed::revision() const noexcept
{
    return m_revision;
}

std::optional<Duration> PlatformFeed::confirmedAge() const
{
    return m_confirmed ? std::optional<Duration>{m_loop.now() - *m_confirmed} : std::nullopt;
}

const LongPollCounts &PlatformFeed::configCounts() const noexcept
{
    return m_config.counts();
}

const LongPollCounts &PlatformFeed::instanceCounts() const noexcept
{
    return m_instances.counts();
}

absl::StatusOr<std::uint64_t> PlatformFeed::takeDocument(const std::string &text)
{
    const Verdict verdict = m_store.offerText(text);
    switch (verdict.acceptance) {
    case Acceptance::Accepted:
        putInForce(verdict, "read from the configuration service");
        return verdict.version;
    case Acceptance::Same:
    case Acceptance::Older:
        return verdict.version;
    case Acceptance::Conflicting:
    case Acceptance::Invalid:
    case Acceptance::Mismatched:
        break;
    }
    return refuse(text, verdict);
}

void PlatformFeed::putInForce(const Verdict &verdict, const char *cause)
{
    m_confirmed = m_loop.now();
    m_hooks.audit(AuditRecord{AuditKind::ConfigAccepted, absl::StrCat("version ", verdict.version), cause,
                              absl::StrCat("digest ", absl::Hex(verdict.digest, absl::kZeroPad16), ", changed ",
                                           absl::StrJoin(verdict.changed, " "))});
    m_hooks.document(m_store.current()->document, verdict.digest);
}

absl::Status PlatformFeed::refuse(const std::string &text, const Verdict &verdict)
{
    const std::string detail = verdict.issues.empty() ? std::string{"The version in force came with another content."}
                                                      : issueText(verdict.issues.front());
    m_hooks.observe(Observe{Metric::ConfigRefusedTotal, {std::string{enumName(verdict.acceptance)}}, 1.0});
    const std::uint64_t digest = XXH3_64bits(text.data(), text.size());
    if (digest != m_refusedText) {
        m_refusedText = digest;
        m_hooks.audit(AuditRecord{AuditKind::ConfigRefused, absl::StrCat("version ", verdict.version),
                                  std::string{enumName(verdict.acceptance)}, detail});
    }
    return makeError(Reason::MalformedBody, "config", detail);
}

void PlatformFeed::takeView(std::shared_ptr<const InstanceView> view)
{
    m_revision = view->revision;
    const auto leaving = std::count_if(view->instances.begin(), view->instances.end(),
                                       [](const auto &listed) { return listed.second.leaving; });
    m_hooks.audit(AuditRecord{AuditKind::ViewChange, absl::StrCat("revision ", view->revision), "instance list",
                              absl::StrCat(view->instances.size(), " instances, ", leaving, " leaving")});
    m_hooks.view(std::move(view));
}

void PlatformFeed::readFailed(const char *source, const absl::Status &error)
{
    m_hooks.log(LogLine{Severity::Warning,
                        Part::Config,
                        "A read of the platform failed.",
                        {{"source", source},
                         {"reason", std::string{enumName(errorReason(error))}},
                         {"detail", std::string{error.message()}}}});
}

} // namespace bergamottide
