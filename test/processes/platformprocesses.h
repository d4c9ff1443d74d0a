#pragma once

#include "bergamottide/net/httpclient.h"
#include "bergamottide/net/loop.h"
#include "processes/freeaddresses.h"
#include "processes/process.h"

#include <nlohmann/json.hpp>

#include <filesystem>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace bergamottide::test {

/**
 * @brief Real `bergamottide-platform` processes on the loopback interface, which know each other.
 *
 * Waits are for conditions, with a limit so generous that a busy machine does not change a verdict.
 */
class PlatformProcesses
{
public:
    /**
     * @brief Draws the addresses of the processes and starts none.
     * @param loop Event loop of the test; must outlive this object.
     * @param store Address of the store.
     * @param count Number of processes.
     * @param settings Settings that all processes have in addition.
     */
    PlatformProcesses(Loop &loop, const std::string &store, std::size_t count,
                      nlohmann::json settings = nlohmann::json::object());
    PlatformProcesses(const PlatformProcesses &) = delete;
    PlatformProcesses &operator=(const PlatformProcesses &) = delete;
    ~PlatformProcesses();

    [[nodiscard]] std::size_t count() const noexcept;

    /*! @brief Cuts a process off from the others, from its next start on: it knows no peer, and is a seed of none. */
    void isolate(std::size_t index);

    /*! @brief Sets the store of a process, from its next start on. */
    void setStore(std::size_t index, const std::string &address);

    /*! @brief Sets the limits of the processes, from their next start on. */
    void setLimits(const ProcessLimits &limits);

    /*! @brief Starts all processes that do not run, and waits until all are ready. */
    void start();

    /*! @brief Kills a process, whose connections break. */
    void kill(std::size_t index);

    /*! @brief Sends a signal to a process. */
    void signal(std::size_t index, int signal);

    /*! @brief Returns whether a process runs. */
    [[nodiscard]] bool isRunning(std::size_t index) const;

    /*! @brief Returns the address at which a process serves callers. */
    [[nodiscard]] const std::string &callers(std::size_t index) const;

    /*! @brief Returns the address at which a process tells whether it is ready. */
    [[nodiscard]] const std::string &ready(std::size_t index) const;

    /*! @brief Returns the process id. */
    [[nodiscard]] pid_t pid(std::size_t index) const;

    /*! @brief Returns a process that has been started. */
    [[nodiscard]] const Process &process(std::size_t index) const;

    /*! @brief Runs the loop until a condition holds; fails the test after a minute. */
    void runUntil(const std::function<bool()> &condition);

private:
    struct Entry
    {
        std::string callers;
        std::string ready;
        std::string peers;
        std::string store;
        bool isIsolated{};
        std::unique_ptr<Process> process;
    };

    [[nodiscard]] std::string writeSettings(std::size_t index) const;
    [[nodiscard]] std::size_t countReady();

    Loop &m_loop;
    HttpClient m_client;
    nlohmann::json m_settings;
    ProcessLimits m_limits;
    std::filesystem::path m_folder;
    FreeAddresses m_addresses;
    std::vector<Entry> m_entries;
};

} // namespace bergamottide::test
