#include "bergamottide/app/platformfeed.h"

#include "bergamottide/config/parser.h"
#include "bergamottide/core/error.h"

#include <absl/strings/str_cat.h>
#include <xxhash.h>

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
                  InstanceClientHooks{[this](std::shared_ptr<const InstanceView> view) {
                                          m_revision = view->revision;
                                          m_hooks.view(std::move(view));
                                      },
                                      [this](const absl::Status &error) { readFailed("instances", error); },
                                      {}}}
{
}

void PlatformFeed::start()
{
    m_config.start();
    m_instances.start();
}

std::uint64_t PlatformFeed::version() const noexcept
{
    return m_version;
}

std::uint64_t PlatformFeed::digest() const noexcept
{
    return m_digest;
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
    ParseResult parsed = parseDocument(text);
    if (!parsed.document) {
        const ConfigIssue issue = parsed.issues.empty() ? ConfigIssue{} : parsed.issues.front();
        return refuse(text, Reason::MalformedBody, issueText(issue));
    }
    const std::uint64_t version = parsed.document->version;
    if (version == m_version && parsed.digest != m_digest) {
        return refuse(text, Reason::MalformedBody, "The version in force came with another content");
    }
    if (version <= m_version) {
        return version;
    }
    m_version = version;
    m_digest = parsed.digest;
    m_confirmed = m_loop.now();
    m_hooks.audit(AuditRecord{AuditKind::ConfigAccepted, absl::StrCat("version ", version), "newer document read",
                              absl::StrCat("digest ", absl::Hex(m_digest, absl::kZeroPad16))});
    m_hooks.document(std::make_shared<const Document>(*std::move(parsed.document)), m_digest);
    return version;
}

absl::Status PlatformFeed::refuse(const std::string &text, Reason reason, const std::string &detail)
{
    const std::uint64_t digest = XXH3_64bits(text.data(), text.size());
    if (digest != m_refusedText) {
        m_refusedText = digest;
        m_hooks.audit(AuditRecord{AuditKind::ConfigRefused, absl::StrCat("text ", absl::Hex(digest, absl::kZeroPad16)),
                                  std::string{enumName(reason)}, detail});
    }
    return makeError(reason, "config", detail);
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
