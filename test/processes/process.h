#pragma once

#include <chrono>
#include <cstddef>
#include <filesystem>
#include <optional>
#include <string>
#include <vector>

#include <sys/types.h>

namespace bergamottide::test {

/*! @brief Folder of the programs that were built together with this test. */
[[nodiscard]] std::filesystem::path programFolder();

/*! @brief Limits of a process, as the kernel enforces them; zero for the limit of the test itself. */
struct ProcessLimits
{
    std::size_t addressSpaceKiB{};
    std::size_t descriptors{};
};

/*! @brief One child process, started with `posix_spawn` and ended by its own process id alone. */
class Process
{
public:
    /**
     * @brief Starts a program of the build folder.
     * @param program Name of the program.
     * @param arguments Arguments of its command line.
     * @param log File for its standard error stream.
     * @param limits Limits of the process.
     */
    Process(const std::string &program, const std::vector<std::string> &arguments, const std::filesystem::path &log,
            const ProcessLimits &limits = {});
    Process(const Process &) = delete;
    Process &operator=(const Process &) = delete;
    ~Process();

    /**
     * @brief Reads the first line of its standard output.
     * @param longest Longest wait.
     * @return The line, or an empty text if none came.
     */
    [[nodiscard]] std::string readLine(std::chrono::milliseconds longest);

    /**
     * @brief Sends a signal.
     * @param signal Signal to send; ignored once the process has ended.
     */
    void signal(int signal);

    /*! @brief Returns the status of `waitpid` once the process has ended. */
    [[nodiscard]] std::optional<int> ended();

    /*! @brief Ends the process at once and waits for it. */
    void kill();

    /*! @brief Returns the process id. */
    [[nodiscard]] pid_t pid() const noexcept;

    /**
     * @brief Reads a figure of its memory.
     * @param field Field of `/proc/PID/status`, such as `VmHWM`.
     * @return The figure in KiB; zero if the process has ended.
     */
    [[nodiscard]] std::size_t memoryKiB(const std::string &field) const;

    /*! @brief Returns the number of its open descriptors. */
    [[nodiscard]] std::size_t openDescriptors() const;

private:
    pid_t m_pid{-1};
    int m_output{-1};
    std::optional<int> m_status;
};

} // namespace bergamottide::test
