#include "bergamottide/pools/heldreleases.h"

#include <algorithm>
#include <utility>

namespace bergamottide::serving {

HeldReleases::HeldReleases(const EndpointRegistry &endpoints)
    : m_endpoints{endpoints}
{
}

void HeldReleases::hold(Effects &effects, TimePoint now)
{
    std::erase_if(effects, [this, now](const Effect &effect) {
        const auto *release = std::get_if<ReleaseResults>(&effect);
        const Endpoint *endpoint = release == nullptr ? nullptr : m_endpoints.find(release->instance);
        if (endpoint == nullptr || endpoint->requestedPauseEndsAt <= now) {
            return false;
        }
        ReleaseResults &held =
            m_releases.try_emplace(release->instance, ReleaseResults{release->instance, release->address, {}})
                .first->second;
        held.handles.insert(held.handles.end(), release->handles.begin(), release->handles.end());
        return true;
    });
}

void HeldReleases::sendDue(Effects &effects, TimePoint now)
{
    for (auto next = m_releases.begin(); next != m_releases.end();) {
        const Endpoint *endpoint = m_endpoints.find(next->first);
        if (endpoint != nullptr && endpoint->requestedPauseEndsAt > now) {
            ++next;
            continue;
        }
        // Results end with the endpoint that stores them.
        if (endpoint != nullptr) {
            effects.emplace_back(std::move(next->second));
        }
        next = m_releases.erase(next);
    }
}

std::optional<TimePoint> HeldReleases::nextWakeup() const
{
    std::optional<TimePoint> first;
    for (const auto &[instance, release] : m_releases) {
        const Endpoint *endpoint = m_endpoints.find(instance);
        const TimePoint due = endpoint == nullptr ? TimePoint{} : endpoint->requestedPauseEndsAt;
        first = first ? std::min(*first, due) : due;
    }
    return first;
}

} // namespace bergamottide::serving
