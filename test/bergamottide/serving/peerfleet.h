#pragma once

#include "bergamottide/app/peerwire.h"
#include "bergamottide/serving/peers.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <iterator>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace bergamottide::test {

/*! @brief Views of many processes that exchange heartbeats without delay, under a virtual clock. */
class PeerFleet
{
public:
    /**
     * @brief Starts processes that know three seeds, one of which does not exist; every fourth is strong.
     * @param size Number of processes.
     * @param now Time of their start.
     */
    PeerFleet(std::size_t size, TimePoint now)
        : m_now{now}
    {
        for (std::size_t index = 0; index < size; ++index) {
            const std::string name = "entry-" + std::to_string(index);
            const serving::PeerInfo self{InstanceName{name}, name + ":1", index % 4 == 0 ? 0.5 : 0.1,
                                         ZoneName{"zone-" + std::to_string(index % 3)}};
            m_views.emplace(name + ":1", serving::Peers{self, {"entry-0:1", "entry-1:1", "gone:1"}});
            m_views.at(name + ":1").setOwnsQueues(true);
        }
    }

    /*! @brief Lets time pass, in ticks of 50 ms. */
    void run(Duration time)
    {
        constexpr Duration tick = std::chrono::milliseconds{50};
        for (const TimePoint end = m_now + time; m_now < end; m_now += tick) {
            for (auto &[address, view] : m_views) {
                for (const std::string &to : view.due(m_now)) {
                    exchange(address, to);
                }
            }
        }
    }

    /*! @brief Has a process tell that it drains, for some time, and then start anew; others run on. */
    void restart(const InstanceName &instance, Duration drain, Duration down)
    {
        m_draining.insert(instance);
        run(drain);
        m_draining.erase(instance);
        const serving::PeerInfo self = m_views.at(instance.text() + ":1").self();
        stop(instance);
        run(down);
        m_views.emplace(self.address, serving::Peers{self, {"entry-0:1", "entry-1:1", "gone:1"}});
        m_views.at(self.address).setOwnsQueues(true);
    }

    /*! @brief Ends a process. */
    void stop(const InstanceName &instance)
    {
        m_views.erase(instance.text() + ":1");
    }

    /*! @brief Has each process report two generations with each heartbeat, and weighs what is sent from now on. */
    void weigh()
    {
        m_bytes.emplace();
    }

    /*! @brief Returns the bytes that the busiest process has sent since they are weighed. */
    [[nodiscard]] std::size_t mostBytes() const
    {
        std::size_t most = 0;
        for (const auto &[address, bytes] : *m_bytes) {
            most = std::max(most, bytes);
        }
        return most;
    }

    /*! @brief Returns the bytes that have crossed zones since they are weighed. */
    [[nodiscard]] std::size_t bytesBetweenZones() const noexcept
    {
        return m_bytesBetweenZones;
    }

    /*! @brief Returns how many origins of reports have reached a process, at least, since they are weighed. */
    [[nodiscard]] std::size_t fewestOrigins() const
    {
        std::size_t fewest = std::numeric_limits<std::size_t>::max();
        for (const auto &[address, origins] : m_origins) {
            fewest = std::min(fewest, origins.size());
        }
        return fewest;
    }

    /*! @brief Tells if the processes that read the platform for a process, or its relay, are first of its own zone. */
    [[nodiscard]] bool asksItsOwnZoneFirst(const std::string &address) const
    {
        const serving::Peers &view = m_views.at(address);
        const std::vector<std::string> readers = view.readers(m_now);
        return readers.empty() || m_views.at(readers.front()).self().zone == view.self().zone;
    }

    /*! @brief Returns the addresses of all processes. */
    [[nodiscard]] std::vector<std::string> addresses() const
    {
        std::vector<std::string> out;
        for (const auto &[address, view] : m_views) {
            out.push_back(address);
        }
        return out;
    }

    /*! @brief Keeps a process from all others, both ways, until it is joined again. */
    void cutOff(const InstanceName &instance)
    {
        m_cutOff.insert(instance);
    }

    /*! @brief Returns the units of something that the processes hold together. */
    [[nodiscard]] std::uint32_t dealt(const std::string &key, std::uint32_t units) const
    {
        std::uint32_t sum = 0;
        for (const auto &[address, view] : m_views) {
            sum += view.share(key, units, m_now);
        }
        return sum;
    }

    /*! @brief Returns the units of something that one process holds, by its place in the order of addresses. */
    [[nodiscard]] std::uint32_t shareOf(std::size_t place, const std::string &key, std::uint32_t units) const
    {
        return std::next(m_views.begin(), static_cast<std::ptrdiff_t>(place))->second.share(key, units, m_now);
    }

    /*! @brief Returns the number of heartbeats sent, answers not counted. */
    [[nodiscard]] std::size_t sent() const noexcept
    {
        return m_sent;
    }

    /*! @brief Returns how often the processes have worked out their view of the fleet, added up. */
    [[nodiscard]] std::size_t viewsBuilt() const
    {
        std::size_t sum = 0;
        for (const auto &[address, view] : m_views) {
            sum += view.viewsBuilt();
        }
        return sum;
    }

    /*! @brief Returns the addresses of the processes that any process has the platform read by. */
    [[nodiscard]] std::set<std::string> readers() const
    {
        std::set<std::string> out;
        for (const auto &[address, view] : m_views) {
            const std::vector<std::string> readers = view.readers(m_now);
            out.insert(readers.begin(), readers.end());
        }
        return out;
    }

    /*! @brief Returns the addresses of the processes that read the platform themselves. */
    [[nodiscard]] std::set<std::string> withoutReaders() const
    {
        std::set<std::string> out;
        for (const auto &[address, view] : m_views) {
            if (view.readers(m_now).empty()) {
                out.insert(address);
            }
        }
        return out;
    }

    /*! @brief Returns the processes that any process takes for the owner of a pool's queue. */
    [[nodiscard]] std::set<InstanceName> ownersOf(const PoolName &pool) const
    {
        std::set<InstanceName> out;
        for (const auto &[address, view] : m_views) {
            const auto owner = view.owner(pool, m_now);
            out.insert(owner ? owner->instance : view.self().instance);
        }
        return out;
    }

    /*! @brief Returns the smallest number of peers that a process takes for alive. */
    [[nodiscard]] std::size_t fewestLive() const
    {
        std::size_t fewest = std::numeric_limits<std::size_t>::max();
        for (const auto &[address, view] : m_views) {
            fewest = std::min(fewest, view.live(m_now).size());
        }
        return fewest;
    }

private:
    void exchange(const std::string &from, const std::string &to)
    {
        ++m_sent;
        const auto receiver = m_views.find(to);
        if (receiver == m_views.end() || m_cutOff.contains(m_views.at(from).self().instance)
            || m_cutOff.contains(receiver->second.self().instance)) {
            return;
        }
        deliver(from, to);
        deliver(to, from);
    }

    void deliver(const std::string &from, const std::string &to)
    {
        const serving::Heartbeat told = heartbeat(from, to);
        m_views.at(to).heard(told, m_now);
        if (!m_bytes) {
            return;
        }
        for (const engines::EngineReport &report : told.engines) {
            m_origins[to].insert(report.origin);
        }
        constexpr std::size_t headBytes = 200;
        const std::size_t bytes = peerwire::write(told).size() + headBytes;
        (*m_bytes)[from] += bytes;
        const bool crosses = m_views.at(from).self().zone != m_views.at(to).self().zone;
        m_bytesBetweenZones += crosses ? bytes : 0;
    }

    [[nodiscard]] serving::Heartbeat heartbeat(const std::string &from, const std::string &to) const
    {
        serving::Heartbeat out;
        out.draining = m_draining.contains(m_views.at(from).self().instance);
        out.ownsQueues = !out.draining;
        if (m_bytes) {
            out.engines.push_back(report(m_views.at(from).self().instance));
        }
        m_views.at(from).complete(out, to, m_now);
        return out;
    }

    [[nodiscard]] engines::EngineReport report(const InstanceName &origin) const
    {
        const engines::PromptChain chain{
            {1234567890123456789ULL, 6000}, {2345678901234567890ULL, 300}, {3456789012345678901ULL, 2800}};
        const auto sequence = static_cast<std::uint64_t>(m_now.time_since_epoch().count());
        const InstanceName engine{"i-0123456789"};
        return {origin, 1, sequence, {{engine, 3000}}, {{engine, chain, {}}, {engine, chain, {}}}};
    }

    TimePoint m_now;
    /*! @brief Bytes that each process has sent; nothing unless they are weighed. */
    std::optional<std::map<std::string, std::size_t>> m_bytes;
    std::size_t m_bytesBetweenZones{};
    std::map<std::string, std::set<InstanceName>> m_origins;
    std::map<std::string, serving::Peers> m_views;
    std::set<InstanceName> m_draining;
    std::set<InstanceName> m_cutOff;
    std::size_t m_sent{};
};

} // namespace bergamottide::test
