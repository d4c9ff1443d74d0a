#include "support/http2bytes.h"

#include <string_view>

namespace bergamottide::test {

namespace {

constexpr std::string_view preface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
constexpr char dataFrame = 0;
constexpr char headersFrame = 1;
constexpr char settingsFrame = 4;
constexpr char pingFrame = 6;
constexpr char endStream = 1;
constexpr char endHeaders = 4;
/*! @brief Indexed fields of HPACK's static table (RFC 7541, appendix A): `:method: POST`, `:scheme: http`. */
constexpr std::string_view postOverHttp = "\x83\x86";
/*! @brief Literal fields without indexing whose names are in that table. */
constexpr char authorityName = 1;
constexpr char pathName = 4;

char byteOf(std::size_t value, unsigned shift)
{
    return static_cast<char>((value >> shift) & 0xffU);
}

std::string frame(char type, char flags, std::uint32_t stream, const std::string &payload)
{
    std::string out{byteOf(payload.size(), 16), byteOf(payload.size(), 8), byteOf(payload.size(), 0), type, flags};
    for (const unsigned shift : {24U, 16U, 8U, 0U}) {
        out.push_back(byteOf(stream, shift));
    }
    return out + payload;
}

/*! @brief Returns a text without Huffman coding; it has fewer than 127 bytes. */
std::string literal(const std::string &text)
{
    return static_cast<char>(text.size()) + text;
}

std::uint32_t streamId(std::uint32_t number)
{
    return 2 * number + 1;
}

} // namespace

std::string http2UnfinishedRequests(const std::string &authority, const std::string &path, const HttpHeaders &fields,
                                    std::uint32_t streams)
{
    std::string block = std::string{postOverHttp} + authorityName + literal(authority) + pathName + literal(path);
    for (const auto &[name, value] : fields) {
        block += '\0' + literal(name) + literal(value);
    }
    std::string out = std::string{preface} + frame(settingsFrame, 0, 0, {});
    for (std::uint32_t number = 0; number < streams; ++number) {
        out += frame(headersFrame, endHeaders, streamId(number), block);
    }
    return out;
}

std::string http2DataFrames(std::uint32_t streams, std::size_t bytes, Http2End end)
{
    std::string out;
    for (std::uint32_t number = 0; number < streams; ++number) {
        out += frame(dataFrame, end == Http2End::Ended ? endStream : 0, streamId(number), std::string(bytes, 'x'));
    }
    return out;
}

std::string http2Pings(std::size_t count)
{
    constexpr std::size_t pingBytes = 8;
    std::string out;
    for (std::size_t ping = 0; ping < count; ++ping) {
        out += frame(pingFrame, 0, 0, std::string(pingBytes, 'x'));
    }
    return out;
}

} // namespace bergamottide::test
