#include "bergamottide/pools/crashdetector.h"

#include <string>

namespace bergamottide::serving {

namespace {

/*! @brief Time for which a crashed endpoint is remembered; the platform lists it for some seconds more. */
constexpr Duration crashMemory = std::chrono::seconds{30};

} // namespace

CrashDetector::CrashDetector(EndpointRegistry &endpoints)
    : m_endpoints{endpoints}
{
}

std::optional<EndpointCrash> CrashDetector::recordBroken(const EndpointWork &work, TimePoint now, Effects &effects)
{
    effects.emplace_back(Observe{Metric::BrokenRunsTotal, {work.pool.text()}, 1.0});
    std::erase_if(m_broken, [now](const auto &entry) { return now - entry.second.at >= crashMemory; });
    const Endpoint *endpoint = m_endpoints.find(work.endpoint);
    if (endpoint == nullptr) {
        return std::nullopt;
    }
    const std::uint64_t incarnation = work.incarnation;
    const auto known = m_broken.find(work.endpoint);
    const bool isKnown = known != m_broken.end() && known->second.incarnation == incarnation;
    // A check would reach the new process, so work of a former one counts only if that is known to have crashed.
    if (!isKnown && endpoint->record.incarnation != incarnation) {
        return std::nullopt;
    }
    if (known != m_broken.end() && !isKnown) {
        m_broken.erase(known);
    }
    const auto [found, isNew] = m_broken.try_emplace(work.endpoint, BrokenEndpoint{now, work.pool, incarnation, {}});
    BrokenEndpoint &broken = found->second;
    // Work that was sent after the crash cannot have caused it.
    if (work.startedAt > broken.at) {
        return std::nullopt;
    }
    broken.suspects.insert(work.suspects);
    if (isNew) {
        effects.emplace_back(CheckEndpoint{work.endpoint, endpoint->record.address});
    }
    return broken.hasCrashed ? std::optional{EndpointCrash{work.endpoint, incarnation, broken.suspects}} : std::nullopt;
}

std::optional<EndpointCrash> CrashDetector::handleChecked(const EndpointChecked &event, Effects &effects)
{
    const auto found = m_broken.find(event.instance);
    if (found == m_broken.end()) {
        return std::nullopt;
    }
    BrokenEndpoint &broken = found->second;
    broken.hasCrashed = event.state == EndpointState::Stopped;
    effects.emplace_back(LogLine{broken.hasCrashed ? Severity::Warning : Severity::Info,
                                 Part::Membership,
                                 broken.hasCrashed ? "Endpoint crashed." : "Endpoint lost connections.",
                                 {{"endpoint", event.instance.text()},
                                  {"pool", broken.pool.text()},
                                  {"state", std::string{enumName(event.state)}},
                                  {"requests", joinedFingerprints(broken.suspects.requests)},
                                  {"parts", joinedFingerprints(broken.suspects.parts)}}});
    if (!broken.hasCrashed) {
        m_broken.erase(found);
        return std::nullopt;
    }
    effects.emplace_back(Observe{Metric::EndpointCrashesTotal, {broken.pool.text()}, 1.0});
    return EndpointCrash{event.instance, broken.incarnation, broken.suspects};
}

} // namespace bergamottide::serving
