#pragma once

#include "bergamottide/net/loop.h"

#include <functional>
#include <string>

namespace bergamottide {

/**
 * @brief Looks now and then if the text of a file has changed, and at once when told to.
 *
 * The kernel's notifications are not used: they are not to be had everywhere, and a file may be replaced as a whole.
 */
class FileWatch
{
public:
    /**
     * @brief Starts to watch.
     * @param loop Loop it runs on; outlives the watch.
     * @param path File to watch.
     * @param text Text that is known already.
     * @param changed Called with each new text; not called while the file cannot be read.
     */
    FileWatch(Loop &loop, std::string path, std::string text, std::function<void(const std::string &text)> changed);
    FileWatch(const FileWatch &) = delete;
    FileWatch &operator=(const FileWatch &) = delete;
    ~FileWatch();

    /*! @brief Looks now. */
    void look();

private:
    void arm();

    Loop &m_loop;
    std::string m_path;
    std::string m_text;
    std::function<void(const std::string &text)> m_changed;
    TimerId m_timer{};
};

/**
 * @brief Reads a whole file.
 * @param path File.
 * @param text Receives the text.
 * @return Whether it could be read.
 */
[[nodiscard]] bool readFile(const std::string &path, std::string &text);

} // namespace bergamottide
