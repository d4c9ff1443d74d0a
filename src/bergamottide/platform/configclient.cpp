#include "bergamottide/platform/configclient.h"

#include "bergamottide/platform/valuedigest.h"

#include <utility>

namespace bergamottide {

namespace {

LongPollOptions pollOptions(const std::string &address, std::uint64_t seed)
{
    LongPollOptions options;
    options.address = address;
    options.path = "/v1/config";
    options.seed = seed;
    return options;
}

} // namespace

ConfigClient::ConfigClient(Loop &loop, const std::string &address, std::uint64_t seed, ConfigClientHooks hooks)
    : m_hooks{std::move(hooks)}
    , m_poll{loop, pollOptions(address, seed),
             LongPoll::Hooks{[this](HttpAnswer answer) -> absl::StatusOr<std::uint64_t> {
                                 absl::Status intact = checkDigest(answer);
                                 if (!intact.ok()) {
                                     return intact;
                                 }
                                 return m_hooks.document(std::move(answer.body));
                             },
                             m_hooks.failed, m_hooks.unchanged}}
{
}

void ConfigClient::start()
{
    m_poll.start();
}

void ConfigClient::stop()
{
    m_poll.stop();
}

void ConfigClient::advance(std::uint64_t version)
{
    m_poll.advance(version);
}

const LongPollCounts &ConfigClient::counts() const noexcept
{
    return m_poll.counts();
}

} // namespace bergamottide
