#include "bergamottide/app/endpointcalls.h"

#include <absl/strings/str_cat.h>
#include <xxhash.h>

#include <cstddef>
#include <memory>
#include <utility>

namespace bergamottide {

namespace {

/*! @brief Endpoints whose practice is remembered; all are learnt anew beyond that. */
constexpr std::size_t maxPractices = 10'000;

} // namespace

EndpointCalls::EndpointCalls(HttpClient &client, Incarnation incarnation, EndpointCallsHooks hooks)
    : m_client{client}
    , m_hooks{std::move(hooks)}
    , m_nextIdentity{XXH3_64bits(&incarnation, sizeof(incarnation))}
{
}

HttpCallId EndpointCalls::call(const InstanceName &instance, const std::string &address, HttpRequest request,
                               HttpCallHooks hooks)
{
    const std::string identity = absl::StrCat(absl::Hex(m_nextIdentity++, absl::kZeroPad16));
    m_hooks.addIdentity(request, identity);
    const auto practice = m_practices.find(instance);
    const bool isKept = practice != m_practices.end() && practice->second == Practice::Repeats;
    const Connection connection = isKept ? Connection::Pooled : Connection::Fresh;
    const auto id = std::make_shared<HttpCallId>();
    HttpCallHooks checked = hooks;
    checked.head = [this, instance, identity, connection, id, hooks = std::move(hooks)](int status,
                                                                                        const HttpHeaders &headers) {
        const AnswerIdentity found = m_hooks.checkIdentity(identity, headers);
        if (!acceptsAnswer(instance, found, connection)) {
            recordForeignAnswer(instance, found);
            m_client.cancel(*id);
            hooks.failed(HttpFailure::Broken);
            return;
        }
        if (hooks.head) {
            hooks.head(status, headers);
        }
    };
    *id = m_client.call(address, std::move(request), std::move(checked), connection);
    return *id;
}

/*! @brief Returns whether an answer belongs to its call, and learns whether its endpoint repeats identities. */
bool EndpointCalls::acceptsAnswer(const InstanceName &instance, AnswerIdentity identity, Connection connection)
{
    if (m_practices.size() > maxPractices) {
        m_practices.clear();
    }
    switch (identity) {
    case AnswerIdentity::Same:
        m_practices.try_emplace(instance, Practice::Repeats);
        return true;
    case AnswerIdentity::Missing:
        m_practices[instance] = Practice::Omits;
        return connection == Connection::Fresh;
    case AnswerIdentity::Other:
        break;
    }
    return false;
}

void EndpointCalls::recordForeignAnswer(const InstanceName &instance, AnswerIdentity identity)
{
    m_hooks.observe(Observe{Metric::ForeignAnswersTotal, {std::string{enumName(identity)}}, 1.0});
    m_hooks.log({Severity::Warning,
                 Part::Net,
                 "An endpoint's answer to a call does not belong to it.",
                 {{"endpoint", instance.text()}, {"identity", std::string{enumName(identity)}}}});
}

} // namespace bergamottide
