#include "support/drawnanswers.h"

#include <cstddef>
#include <cstdint>
#include <sstream>
#include <string_view>
#include <vector>

namespace bergamottide::test {

namespace {

constexpr std::size_t maxParts = 9;
/*! @brief Repetitions of an answer without end; far beyond all limits of a reader. */
constexpr std::size_t endlessTimes = 1u << 20;

template <typename T>
const T &drawOne(std::mt19937 &random, const std::vector<T> &choices)
{
    return choices[random() % choices.size()];
}

/*! @brief How a sound answer tells the end of its body. */
enum class Framing : std::uint8_t
{
    Length,
    Chunks,
    NoBody,
    ConnectionEnd
};

std::string chunked(std::mt19937 &random, std::string_view body)
{
    static const std::vector<std::string> extensions{"", "", ";a=b"};
    static const std::vector<std::string> trailers{"", "", "X-Sum: 1\r\n"};
    std::string out;
    while (!body.empty()) {
        const std::string_view piece = body.substr(0, 1 + random() % body.size());
        body.remove_prefix(piece.size());
        std::ostringstream size;
        size << std::hex << piece.size();
        out += size.str() + drawOne(random, extensions) + "\r\n" + std::string{piece} + "\r\n";
    }
    return out + "0\r\n" + drawOne(random, trailers) + "\r\n";
}

std::string drawBody(std::mt19937 &random)
{
    static const std::vector<std::string> bodies{"",
                                                 "{}",
                                                 "{\"items\":[1,2,3]}",
                                                 "id: 0\ndata: a\n\nid: 1\ndata: b\n\n",
                                                 "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
                                                 "0\r\n\r\n"};
    return drawOne(random, bodies);
}

SoundAnswer frame(std::mt19937 &random, Framing framing, const std::string &fields, const std::string &body)
{
    static const std::vector<std::string> interims{"", "", "HTTP/1.1 100 Continue\r\n\r\n",
                                                   "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"};
    static const std::vector<std::string> others{"", "Content-Type: application/json\r\n", "X-Empty:\r\n"};
    SoundAnswer answer;
    const std::string interim = drawOne(random, interims) + drawOne(random, interims);
    const std::string other = drawOne(random, others) + fields;
    answer.body = framing == Framing::NoBody ? "" : body;
    const std::string length = "Content-Length: " + std::to_string(answer.body.size()) + "\r\n";
    const std::string chunks = "Transfer-Encoding: chunked\r\n";
    const auto head = [&](std::string_view status, const std::string &framingField) {
        return interim + "HTTP/1.1 " + std::string{status} + "\r\n" + other + framingField + "\r\n";
    };
    answer.status = 200;
    std::string payload = answer.body;
    switch (framing) {
    case Framing::Length:
        answer.bytes = head("200 OK", length);
        break;
    case Framing::Chunks:
        answer.bytes = head("200 OK", chunks);
        payload = chunked(random, answer.body);
        break;
    case Framing::NoBody:
        answer.status = 204;
        answer.bytes = head("204 No Content", "");
        break;
    case Framing::ConnectionEnd:
        answer.endsWithConnection = true;
        answer.bytes = head("200 OK", random() % 2 == 0 ? "" : "Connection: close\r\n");
        break;
    }
    answer.headBytes = answer.bytes.size();
    answer.bytes += payload;
    return answer;
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

std::optional<std::string> SoundAnswer::bodyAfter(std::size_t sent, ConnectionEnd end) const
{
    if (!endsWithConnection) {
        return sent == bytes.size() ? std::optional{body} : std::nullopt;
    }
    // RFC 9112, section 8: only an orderly end behind the head completes such an answer.
    return sent >= headBytes && end == ConnectionEnd::Orderly ? std::optional{bytes.substr(headBytes, sent - headBytes)}
                                                              : std::nullopt;
}

SoundAnswer drawSoundAnswer(std::mt19937 &random, const std::string &fields)
{
    static const std::vector<Framing> framings{Framing::Length, Framing::Chunks, Framing::NoBody,
                                               Framing::ConnectionEnd};
    const Framing framing = drawOne(random, framings);
    return frame(random, framing, fields, drawBody(random));
}

SoundAnswer drawKeptAnswer(std::mt19937 &random, const std::string &fields)
{
    static const std::vector<Framing> framings{Framing::Length, Framing::Chunks, Framing::NoBody};
    const Framing framing = drawOne(random, framings);
    return frame(random, framing, fields, drawBody(random));
}

SoundAnswer drawAnswerOf(std::mt19937 &random, const std::string &body)
{
    static const std::vector<Framing> framings{Framing::Length, Framing::Chunks, Framing::ConnectionEnd};
    return frame(random, drawOne(random, framings), {}, body);
}

RawScript CutAnswers::next(const std::string &body)
{
    const std::lock_guard lock{m_mutex};
    const SoundAnswer answer = drawAnswerOf(m_random, body);
    if (m_random() % 4 == 0) {
        return {answer.bytes, {}, 0};
    }
    ++m_cutCount;
    const auto end = m_random() % 2 == 0 ? ConnectionEnd::Orderly : ConnectionEnd::Reset;
    return {answer.bytes.substr(0, m_random() % answer.bytes.size()), {}, 0, {}, end};
}

std::size_t CutAnswers::cutCount() const
{
    const std::lock_guard lock{m_mutex};
    return m_cutCount;
}

} // namespace bergamottide::test
