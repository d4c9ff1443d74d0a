#include "bergamottide/app/filewatch.h"

#include <fstream>
#include <iterator>
#include <utility>

namespace bergamottide {

namespace {

constexpr Duration pollPeriod = std::chrono::seconds{2};

} // namespace

bool readFile(const std::string &path, std::string &text)
{
    std::ifstream file{path, std::ios::binary};
    if (!file) {
        return false;
    }
    text.assign(std::istreambuf_iterator<char>{file}, {});
    return true;
}

FileWatch::FileWatch(Loop &loop, std::string path, std::string text,
                     std::function<void(const std::string &text)> changed)
    : m_loop{loop}
    , m_path{std::move(path)}
    , m_text{std::move(text)}
    , m_changed{std::move(changed)}
{
    schedulePoll();
}

FileWatch::~FileWatch()
{
    m_loop.cancel(m_timer);
}

void FileWatch::checkNow()
{
    std::string text;
    if (!readFile(m_path, text) || text == m_text) {
        return;
    }
    m_text = text;
    m_changed(text);
}

void FileWatch::schedulePoll()
{
    m_timer = m_loop.at(m_loop.now() + pollPeriod, [this] {
        checkNow();
        schedulePoll();
    });
}

} // namespace bergamottide
