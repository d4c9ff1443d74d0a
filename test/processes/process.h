#pragma once

#include <chrono>
#include <filesystem>
#include <optional>
#include <string>
#include <vector>

#include <sys/types.h>

namespace bergamottide::test {

/*! @brief Folder of the programs that were built together with this test. */
[[nodiscard]] std::filesystem::path programFolder();

/*! @brief One child process, started with `posix_spawn` and ended by its own process id alone. */
class Process
{
public:
    /**
     * @brief Starts a program of the build folder.
     * @param program Name of the program.
     * @param arguments Arguments of its command line.
     * @param log File for its standard error stream.
     */
    Process(const std::string &program, const std::vector<std::string> &arguments, const std::filesystem::path &log);
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

private:
    pid_t m_pid{-1};
    int m_output{-1};
    std::optional<int> m_status;
};

} // namespace bergamottide::test
