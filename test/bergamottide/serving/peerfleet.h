#pragma once

#include "bergamottide/app/peerwire.h"
#include "bergamottide/gossip/peers.h"

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

/*! @brief Simulates the membership of many processes that exchange heartbeats without delay, on a virtual clock. */
class PeerFleet
{
public:
    /**
     * @brief Starts processes with three seeds, one of which does not exist; every fourth one has a higher capacity.
     * @param size Number of processes.
     * @param now Start time.
     */
    PeerFleet(std::size_t size, TimePoint now)
        : m_now{now}
    {
        for (std::size_t index = 0; index < size; ++index) {
            const std::string name = "entry-" + std::to_string(index);
            const serving::PeerInfo self{InstanceName{name}, name + ":1", index % 4 == 0 ? 0.5 : 0.1,
                                         ZoneName{"zone-" + std::to_string(index % 3)}};
            m_processes.emplace(name + ":1", startProcess(self));
            m_processes.at(name + ":1").setCanOwnQueues(true);
        }
    }

    /*! @brief Advances the clock in ticks. */
    void run(Duration time, Duration tick = std::chrono::milliseconds{50})
    {
        for (const TimePoint end = m_now + time; m_now < end; m_now += tick) {
            for (auto &[address, process] : m_processes) {
                for (const std::string &to : process.takeDueAddresses(m_now)) {
                    exchange(address, to);
                }
            }
        }
    }

    /*! @brief Drains a process, stops it, and starts it again, while the others keep running. */
    void restart(const InstanceName &instance, Duration drain, Duration down)
    {
        m_draining.insert(instance);
        run(drain);
        m_draining.erase(instance);
        const serving::PeerInfo self = m_processes.at(instance.text() + ":1").self();
        stop(instance);
        run(down);
        m_processes.emplace(self.address, startProcess(self));
        m_processes.at(self.address).setCanOwnQueues(true);
    }

    /*! @brief Stops processes without draining them, and starts them again after some time. */
    void restartAll(const std::vector<InstanceName> &instances, Duration down, Duration tick)
    {
        std::vector<serving::PeerInfo> stopped;
        for (const InstanceName &instance : instances) {
            stopped.push_back(m_processes.at(instance.text() + ":1").self());
            stop(instance);
        }
        run(down, tick);
        for (const serving::PeerInfo &self : stopped) {
            m_processes.emplace(self.address, startProcess(self));
            m_processes.at(self.address).setCanOwnQueues(true);
        }
    }

    /*! @brief Returns whether initial discovery is over at all processes. */
    [[nodiscard]] bool isDiscoveryFinished() const
    {
        return std::ranges::all_of(m_processes,
                                   [this](const auto &entry) { return entry.second.isDiscoveryFinished(m_now); });
    }

    /*! @brief Stops a process without draining it. */
    void stop(const InstanceName &instance)
    {
        m_processes.erase(instance.text() + ":1");
    }

    /*! @brief Starts to count the bytes sent, and adds a report of two prompts to each heartbeat. */
    void recordTraffic()
    {
        m_bytesSent.emplace();
    }

    /*! @brief Returns the bytes sent by the busiest process since recording started. */
    [[nodiscard]] std::size_t maxBytesSent() const
    {
        std::size_t maximum = 0;
        for (const auto &[address, bytes] : *m_bytesSent) {
            maximum = std::max(maximum, bytes);
        }
        return maximum;
    }

    /*! @brief Returns the bytes sent across zones since recording started. */
    [[nodiscard]] std::size_t crossZoneBytes() const noexcept
    {
        return m_crossZoneBytes;
    }

    /*! @brief Returns the minimum number of report origins received by a process since recording started. */
    [[nodiscard]] std::size_t minOriginCount() const
    {
        std::size_t minimum = std::numeric_limits<std::size_t>::max();
        for (const auto &[address, origins] : m_origins) {
            minimum = std::min(minimum, origins.size());
        }
        return minimum;
    }

    /*! @brief Returns whether the preferred reader of the store for a process, if any, is in its own zone. */
    [[nodiscard]] bool prefersReadersOfOwnZone(const std::string &address) const
    {
        const serving::Peers &process = m_processes.at(address);
        const std::vector<std::string> readers = process.storeReaders(m_now);
        return readers.empty() || m_processes.at(readers.front()).self().zone == process.self().zone;
    }

    /*! @brief Returns the addresses of all processes. */
    [[nodiscard]] std::vector<std::string> addresses() const
    {
        std::vector<std::string> out;
        for (const auto &[address, process] : m_processes) {
            out.push_back(address);
        }
        return out;
    }

    /*! @brief Disconnects a process from all others in both directions. */
    void disconnect(const InstanceName &instance)
    {
        m_disconnected.insert(instance);
    }

    /*! @brief Returns the sum of the shares of all processes in a resource. */
    [[nodiscard]] std::uint32_t sumOfShares(const std::string &key, std::uint32_t units) const
    {
        std::uint32_t sum = 0;
        for (const auto &[address, process] : m_processes) {
            sum += process.share(key, units, m_now);
        }
        return sum;
    }

    /*! @brief Returns the share of one process in a resource, by its position in the order of addresses. */
    [[nodiscard]] std::uint32_t shareOf(std::size_t position, const std::string &key, std::uint32_t units) const
    {
        return std::next(m_processes.begin(), static_cast<std::ptrdiff_t>(position))->second.share(key, units, m_now);
    }

    /*! @brief Returns the number of heartbeats sent, without responses. */
    [[nodiscard]] std::size_t heartbeatsSent() const noexcept
    {
        return m_heartbeatsSent;
    }

    /*! @brief Returns how often all processes together have rebuilt their membership view. */
    [[nodiscard]] std::size_t viewsBuilt() const
    {
        std::size_t sum = 0;
        for (const auto &[address, process] : m_processes) {
            sum += process.viewsBuilt();
        }
        return sum;
    }

    /*! @brief Returns the addresses of all processes that read the platform's store for another one. */
    [[nodiscard]] std::set<std::string> readers() const
    {
        std::set<std::string> out;
        for (const auto &[address, process] : m_processes) {
            const std::vector<std::string> readers = process.storeReaders(m_now);
            out.insert(readers.begin(), readers.end());
        }
        return out;
    }

    /*! @brief Returns the addresses of the processes that read the platform's store themselves. */
    [[nodiscard]] std::set<std::string> addressesWithoutReaders() const
    {
        std::set<std::string> out;
        for (const auto &[address, process] : m_processes) {
            if (process.storeReaders(m_now).empty()) {
                out.insert(address);
            }
        }
        return out;
    }

    /*! @brief Returns the processes that any process considers the owner of a pool's queue. */
    [[nodiscard]] std::set<InstanceName> ownersOf(const PoolName &pool) const
    {
        std::set<InstanceName> out;
        for (const auto &[address, process] : m_processes) {
            const auto owner = process.queueOwner(pool, m_now);
            out.insert(owner ? owner->instance : process.self().instance);
        }
        return out;
    }

    /*! @brief Returns the minimum number of live peers known to a process. */
    [[nodiscard]] std::size_t minLiveCount() const
    {
        std::size_t minimum = std::numeric_limits<std::size_t>::max();
        for (const auto &[address, process] : m_processes) {
            minimum = std::min(minimum, process.live(m_now).size());
        }
        return minimum;
    }

    /*! @brief Returns the number of roster entries in all heartbeats received. */
    [[nodiscard]] std::size_t rosterEntriesReceived() const noexcept
    {
        return m_rosterEntriesReceived;
    }

private:
    [[nodiscard]] serving::Peers startProcess(const serving::PeerInfo &self)
    {
        return serving::Peers{self, ++m_lastIncarnation * incarnationStep, {"entry-0:1", "entry-1:1", "gone:1"}};
    }

    void exchange(const std::string &from, const std::string &to)
    {
        ++m_heartbeatsSent;
        const auto receiver = m_processes.find(to);
        if (receiver == m_processes.end() || m_disconnected.contains(m_processes.at(from).self().instance)
            || m_disconnected.contains(receiver->second.self().instance)) {
            return;
        }
        deliver(from, to);
        deliver(to, from);
    }

    void deliver(const std::string &from, const std::string &to)
    {
        const serving::Heartbeat message = heartbeat(from, to);
        m_processes.at(to).handleHeartbeat(message, m_now);
        m_rosterEntriesReceived += message.roster ? message.roster->size() : 0;
        if (!m_bytesSent) {
            return;
        }
        for (const engines::EngineReport &report : message.engines) {
            m_origins[to].insert(report.origin);
        }
        constexpr std::size_t headerBytes = 200;
        const std::size_t bytes = peerwire::encode(message).size() + headerBytes;
        (*m_bytesSent)[from] += bytes;
        const bool crosses = m_processes.at(from).self().zone != m_processes.at(to).self().zone;
        m_crossZoneBytes += crosses ? bytes : 0;
    }

    [[nodiscard]] serving::Heartbeat heartbeat(const std::string &from, const std::string &to) const
    {
        serving::Heartbeat out;
        out.draining = m_draining.contains(m_processes.at(from).self().instance);
        out.canOwnQueues = !out.draining;
        if (m_bytesSent) {
            out.engines.push_back(report(m_processes.at(from).self().instance));
        }
        m_processes.at(from).fillHeartbeat(out, to, m_now);
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

    /*! @brief Distance between the incarnations of processes; larger than the number of changes that one counts. */
    static constexpr std::uint64_t incarnationStep = 1U << 20U;

    TimePoint m_now;
    std::uint64_t m_lastIncarnation{};
    std::size_t m_rosterEntriesReceived{};
    /*! @brief Bytes sent by each process; nothing unless traffic is recorded. */
    std::optional<std::map<std::string, std::size_t>> m_bytesSent;
    std::size_t m_crossZoneBytes{};
    std::map<std::string, std::set<InstanceName>> m_origins;
    std::map<std::string, serving::Peers> m_processes;
    std::set<InstanceName> m_draining;
    std::set<InstanceName> m_disconnected;
    std::size_t m_heartbeatsSent{};
};

} // namespace bergamottide::test
