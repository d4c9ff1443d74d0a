#include "bergamottide/telemetry/outputappender.h"

#include <log4cplus/layout.h>

#include <climits>
#include <sstream>

#include <poll.h>
#include <unistd.h>

namespace bergamottide {

OutputAppender::OutputAppender(int descriptor)
    : m_descriptor{descriptor}
{
}

OutputAppender::~OutputAppender()
{
    destructorImpl();
}

void OutputAppender::close()
{
    closed = true;
}

std::uint64_t OutputAppender::lost() const noexcept
{
    return m_lost;
}

void OutputAppender::append(const log4cplus::spi::InternalLoggingEvent &event)
{
    std::ostringstream text;
    layout->formatAndAppend(text, event);
    std::string line = text.str();
    if (line.size() > PIPE_BUF) {
        line.resize(PIPE_BUF - 1);
        line += '\n';
    }
    pollfd state{m_descriptor, POLLOUT, 0};
    const bool takes = poll(&state, 1, 0) == 1 && (state.revents & POLLOUT) != 0;
    if (!takes || write(m_descriptor, line.data(), line.size()) != static_cast<ssize_t>(line.size())) {
        ++m_lost;
    }
}

} // namespace bergamottide
