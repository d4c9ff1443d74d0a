#pragma once

#include "bergamottide/net/loop.h"

#include <functional>
#include <string>

namespace bergamottide {

/**
 * @brief Polls a file for changed content.
 *
 * Polling also detects a file that is replaced by a rename, and works where inotify is not available.
 */
class FileWatch
{
public:
    /**
     * @brief Starts polling.
     * @param loop Event loop; outlives the watch.
     * @param path File to watch.
     * @param text Content already known; only a different one is reported.
     * @param changed Called with each new content; not called while the file cannot be read.
     */
    FileWatch(Loop &loop, std::string path, std::string text, std::function<void(const std::string &text)> changed);
    FileWatch(const FileWatch &) = delete;
    FileWatch &operator=(const FileWatch &) = delete;
    ~FileWatch();

    /*! @brief Checks the file immediately. */
    void checkNow();

private:
    void schedulePoll();

    Loop &m_loop;
    std::string m_path;
    std::string m_text;
    std::function<void(const std::string &text)> m_changed;
    TimerId m_timer{};
};

/**
 * @brief Reads a whole file.
 * @param path File.
 * @param text Receives the content.
 * @return False if the file cannot be opened.
 */
[[nodiscard]] bool readFile(const std::string &path, std::string &text);

} // namespace bergamottide
