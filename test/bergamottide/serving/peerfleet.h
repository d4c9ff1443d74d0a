#pragma once

#include "bergamottide/serving/peers.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <iterator>
#include <limits>
#include <map>
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
            const serving::PeerInfo self{InstanceName{name}, name + ":1", index % 4 == 0 ? 0.5 : 0.1};
            m_views.emplace(name + ":1", serving::Peers{self, {"entry-0:1", "entry-1:1", "gone:1"}});
            m_views.at(name + ":1").setKeepsQueues(true);
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
        m_views.at(self.address).setKeepsQueues(true);
    }

    /*! @brief Ends a process. */
    void stop(const InstanceName &instance)
    {
        m_views.erase(instance.text() + ":1");
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
    [[nodiscard]] std::size_t surveys() const
    {
        std::size_t sum = 0;
        for (const auto &[address, view] : m_views) {
            sum += view.surveys();
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

    /*! @brief Returns the processes that any process takes for the keeper of a pool's queue. */
    [[nodiscard]] std::set<InstanceName> keepersOf(const PoolName &pool) const
    {
        std::set<InstanceName> out;
        for (const auto &[address, view] : m_views) {
            const auto keeper = view.keeper(pool, m_now);
            out.insert(keeper ? keeper->instance : view.self().instance);
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
        receiver->second.heard(heartbeat(from, to), m_now);
        m_views.at(from).heard(heartbeat(to, from), m_now);
    }

    [[nodiscard]] serving::Heartbeat heartbeat(const std::string &from, const std::string &to) const
    {
        serving::Heartbeat out;
        out.draining = m_draining.contains(m_views.at(from).self().instance);
        out.keepsQueues = !out.draining;
        m_views.at(from).complete(out, to, m_now);
        return out;
    }

    TimePoint m_now;
    std::map<std::string, serving::Peers> m_views;
    std::set<InstanceName> m_draining;
    std::set<InstanceName> m_cutOff;
    std::size_t m_sent{};
};

} // namespace bergamottide::test
