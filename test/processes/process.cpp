#include "processes/process.h"

#include <array>
#include <fstream>
#include <iterator>

#include <csignal>
#include <fcntl.h>
#include <poll.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

namespace bergamottide::test {

namespace {

/*! @brief Gives the child an empty signal mask, whatever the test has blocked. */
void resetSignals(posix_spawnattr_t &attributes)
{
    sigset_t none;
    sigemptyset(&none);
    posix_spawnattr_setsigmask(&attributes, &none);
    posix_spawnattr_setflags(&attributes, POSIX_SPAWN_SETSIGMASK);
}

/*! @brief Returns the command line of a program with limits, which a shell sets and then becomes the program. */
std::vector<std::string> limitedCommand(const std::string &program, const ProcessLimits &limits)
{
    if (limits.addressSpaceKiB == 0 && limits.descriptors == 0) {
        return {program};
    }
    // Reserved arenas of threads are address space, but no memory.
    std::string script = "export MALLOC_ARENA_MAX=1 && ";
    if (limits.addressSpaceKiB != 0) {
        script += "ulimit -v " + std::to_string(limits.addressSpaceKiB) + " && ";
    }
    if (limits.descriptors != 0) {
        script += "ulimit -n " + std::to_string(limits.descriptors) + " && ";
    }
    return {"/bin/sh", "-c", script + "exec \"$0\" \"$@\"", program};
}

} // namespace

std::filesystem::path programFolder()
{
    return std::filesystem::read_symlink("/proc/self/exe").parent_path();
}

Process::Process(const std::string &program, const std::vector<std::string> &arguments,
                 const std::filesystem::path &log, const ProcessLimits &limits)
{
    std::array<int, 2> ends{-1, -1};
    if (pipe2(ends.data(), O_CLOEXEC) != 0) {
        return;
    }
    m_output = ends[0];
    std::vector<std::string> texts = limitedCommand((programFolder() / program).string(), limits);
    const std::string path = texts.front();
    texts.insert(texts.end(), arguments.begin(), arguments.end());
    std::vector<char *> pointers;
    pointers.reserve(texts.size() + 1);
    for (std::string &text : texts) {
        pointers.push_back(text.data());
    }
    pointers.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_adddup2(&actions, ends[1], STDOUT_FILENO);
    posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    posix_spawnattr_t attributes;
    posix_spawnattr_init(&attributes);
    resetSignals(attributes);
    if (posix_spawn(&m_pid, path.c_str(), &actions, &attributes, pointers.data(), environ) != 0) {
        m_pid = -1;
    }
    posix_spawnattr_destroy(&attributes);
    posix_spawn_file_actions_destroy(&actions);
    close(ends[1]);
}

Process::~Process()
{
    kill();
    close(m_output);
}

std::string Process::readLine(std::chrono::milliseconds longest)
{
    std::string line;
    const auto deadline = std::chrono::steady_clock::now() + longest;
    while (std::chrono::steady_clock::now() < deadline) {
        pollfd waiting{m_output, POLLIN, 0};
        constexpr int stepMs = 50;
        if (poll(&waiting, 1, stepMs) <= 0) {
            continue;
        }
        char character = 0;
        if (read(m_output, &character, 1) != 1) {
            return {};
        }
        if (character == '\n') {
            return line;
        }
        line.push_back(character);
    }
    return {};
}

void Process::signal(int signal)
{
    if (m_pid > 0 && !ended()) {
        ::kill(m_pid, signal);
    }
}

std::optional<int> Process::ended()
{
    int status = 0;
    if (!m_status && m_pid > 0 && waitpid(m_pid, &status, WNOHANG) == m_pid) {
        m_status = status;
    }
    return m_status;
}

void Process::kill()
{
    if (m_pid <= 0 || ended()) {
        return;
    }
    ::kill(m_pid, SIGKILL);
    int status = 0;
    waitpid(m_pid, &status, 0);
    m_status = status;
}

pid_t Process::pid() const noexcept
{
    return m_pid;
}

std::size_t Process::memoryKiB(const std::string &field) const
{
    std::ifstream status{"/proc/" + std::to_string(m_pid) + "/status"};
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with(field + ":")) {
            return std::stoul(line.substr(field.size() + 1));
        }
    }
    return 0;
}

std::size_t Process::openDescriptors() const
{
    std::error_code error;
    const std::filesystem::directory_iterator entries{"/proc/" + std::to_string(m_pid) + "/fd", error};
    return static_cast<std::size_t>(std::distance(begin(entries), end(entries)));
}

} // namespace bergamottide::test
