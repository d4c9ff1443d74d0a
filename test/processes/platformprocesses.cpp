#include "processes/platformprocesses.h"

#include <absl/strings/str_cat.h>
#include <cppunit/extensions/HelperMacros.h>

#include <cstdlib>
#include <fstream>
#include <set>
#include <utility>

namespace bergamottide::test {

namespace {

constexpr Duration patience = std::chrono::seconds{60};

} // namespace

PlatformProcesses::PlatformProcesses(Loop &loop, const std::string &store, std::size_t count, nlohmann::json settings)
    : m_loop{loop}
    , m_client{loop, HttpClientOptions{}}
    , m_settings(std::move(settings))
{
    std::string folder = (std::filesystem::temp_directory_path() / "bergamottide-test-XXXXXX").string();
    m_folder = mkdtemp(folder.data());
    for (std::size_t index = 0; index < count; ++index) {
        m_entries.push_back({m_addresses.next(), m_addresses.next(), m_addresses.next(), store, false, nullptr});
    }
}

PlatformProcesses::~PlatformProcesses()
{
    m_entries.clear();
    std::error_code ignored;
    std::filesystem::remove_all(m_folder, ignored);
}

std::size_t PlatformProcesses::count() const noexcept
{
    return m_entries.size();
}

void PlatformProcesses::isolate(std::size_t index)
{
    m_entries[index].isIsolated = true;
}

void PlatformProcesses::setStore(std::size_t index, const std::string &address)
{
    m_entries[index].store = address;
}

void PlatformProcesses::setLimits(const ProcessLimits &limits)
{
    m_limits = limits;
}

void PlatformProcesses::start()
{
    for (std::size_t index = 0; index < m_entries.size(); ++index) {
        if (isRunning(index)) {
            continue;
        }
        m_entries[index].process = std::make_unique<Process>(
            "bergamottide-platform", std::vector<std::string>{"--settings=" + writeSettings(index)},
            m_folder / absl::StrCat("entry-", index, ".log"), m_limits);
    }
    std::size_t ready = 0;
    const TimePoint giveUpAt = m_loop.now() + patience;
    while (ready < m_entries.size() && m_loop.now() < giveUpAt) {
        ready = countReady();
    }
    CPPUNIT_ASSERT_EQUAL(m_entries.size(), ready);
}

std::size_t PlatformProcesses::countReady()
{
    std::size_t ready = 0;
    std::size_t answered = 0;
    for (const Entry &entry : m_entries) {
        HttpCallHooks hooks;
        hooks.done = [&](const HttpResponse &answer) {
            ++answered;
            ready += answer.status == 200 ? 1 : 0;
        };
        hooks.failed = [&](HttpFailure) {
            ++answered;
        };
        HttpRequest request;
        request.method = "GET";
        request.path = "/";
        m_client.call(entry.ready, request, std::move(hooks), Connection::Fresh);
    }
    runUntil([&] { return answered == m_entries.size(); });
    return ready;
}

void PlatformProcesses::kill(std::size_t index)
{
    m_entries[index].process->kill();
}

void PlatformProcesses::signal(std::size_t index, int signal)
{
    m_entries[index].process->signal(signal);
}

bool PlatformProcesses::isRunning(std::size_t index) const
{
    return m_entries[index].process && !m_entries[index].process->ended();
}

const std::string &PlatformProcesses::callers(std::size_t index) const
{
    return m_entries[index].callers;
}

const std::string &PlatformProcesses::ready(std::size_t index) const
{
    return m_entries[index].ready;
}

pid_t PlatformProcesses::pid(std::size_t index) const
{
    return m_entries[index].process->pid();
}

const Process &PlatformProcesses::process(std::size_t index) const
{
    return *m_entries[index].process;
}

void PlatformProcesses::runUntil(const std::function<bool()> &condition)
{
    const TimePoint giveUpAt = m_loop.now() + patience;
    while (!condition() && m_loop.now() < giveUpAt) {
        m_loop.runOnce(std::chrono::milliseconds{10});
    }
    CPPUNIT_ASSERT(condition());
}

std::string PlatformProcesses::writeSettings(std::size_t index) const
{
    const Entry &entry = m_entries[index];
    std::set<std::string> seeds;
    for (const std::size_t seed : {std::size_t{0}, m_entries.size() - 1}) {
        if (!entry.isIsolated && !m_entries[seed].isIsolated) {
            seeds.insert(m_entries[seed].peers);
        }
    }
    const std::filesystem::path path = m_folder / absl::StrCat("entry-", index, ".yaml");
    nlohmann::json settings{{"instance", absl::StrCat("entry-", index)},
                            {"zone", "a"},
                            {"region", "north"},
                            {"callersAddress", entry.callers},
                            {"readyAddress", entry.ready},
                            {"peersAddress", entry.peers},
                            {"seeds", seeds},
                            {"storeAddress", entry.store},
                            {"logLevel", "error"}};
    settings.update(m_settings);
    std::ofstream{path} << settings.dump();
    return path.string();
}

} // namespace bergamottide::test
