#include "support/drawnanswers.h"

#include <cstddef>
#include <vector>

namespace bergamottide::test {

namespace {

constexpr std::size_t maxParts = 9;
/*! @brief Repetitions of an answer without end; far beyond all limits of a reader. */
constexpr std::size_t endlessTimes = 1u << 20;

const std::string &drawOne(std::mt19937 &random, const std::vector<std::string> &choices)
{
    return choices[random() % choices.size()];
}

} // namespace

std::string drawAnswer(std::mt19937 &random, bool hasStatusLine)
{
    static const std::vector<std::string> parts{"HTTP/1.1 200 OK\r\n",
                                                "HTTP/1.1 100 Continue\r\n",
                                                "Content-Length: 2\r\n",
                                                "Content-Length: ",
                                                "content-length: 0x2\r\n",
                                                "Transfer-Encoding: ",
                                                "transfer-encoding:chunked\r\n",
                                                "Chunked",
                                                "identity",
                                                "minus",
                                                "\r\n",
                                                "\n",
                                                "\r",
                                                " ",
                                                "\t",
                                                "X: y\r\n",
                                                ":",
                                                "2\r\n{}\r\n0\r\n\r\n",
                                                "{}",
                                                std::string(1, '\0')};
    std::string bytes = hasStatusLine ? "HTTP/1.1 200 OK\r\n" : "";
    for (std::size_t left = 1 + random() % maxParts; left > 0; --left) {
        bytes += drawOne(random, parts);
    }
    return bytes;
}

RawScript drawScript(std::mt19937 &random)
{
    static const std::vector<std::string> endless{"x",          "X: y\r\n",       "HTTP/1.1 102 Processing\r\n\r\n",
                                                  "1\r\nx\r\n", "1;x=y\r\nx\r\n", "\r\n"};
    RawScript script{drawAnswer(random, random() % 4 != 0), {}, 0};
    if (random() % 4 == 0) {
        script.head += random() % 2 == 0 ? "Transfer-Encoding: chunked\r\n\r\n" : "";
        script.repeated = drawOne(random, endless);
        script.times = endlessTimes;
    }
    return script;
}

} // namespace bergamottide::test
