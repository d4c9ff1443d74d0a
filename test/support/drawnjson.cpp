#include "support/drawnjson.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_replace.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <utility>
#include <vector>

namespace bergamottide::test {

namespace {

using nlohmann::json;

/*! @brief Depth that overflows the stack of a recursive function. */
constexpr std::size_t extremeDepth = 200'000;
constexpr std::size_t moderateDepth = 200;
constexpr std::size_t manyDigits = 5'000;
constexpr std::size_t manyCharacters = 20'000;
constexpr std::size_t maxMutations = 3;

std::size_t below(std::mt19937 &random, std::size_t count)
{
    return std::uniform_int_distribution<std::size_t>{0, count - 1}(random);
}

bool oneIn(std::mt19937 &random, std::size_t count)
{
    return below(random, count) == 0;
}

std::string drawNumber(std::mt19937 &random)
{
    static const std::vector<std::string> numbers{"0",
                                                  "-0",
                                                  "-1",
                                                  "1",
                                                  "1.5",
                                                  "-0.5",
                                                  "65536",
                                                  "2147483648",
                                                  "4294967295",
                                                  "4294967296",
                                                  "9007199254740993",
                                                  "86400001",
                                                  "9223372036854775",
                                                  "9223372036854775807",
                                                  "9223372036854775808",
                                                  "-9223372036854775808",
                                                  "-9223372036854775809",
                                                  "18446744073709551615",
                                                  "18446744073709551616",
                                                  "1e30",
                                                  "-1e30",
                                                  "1e300",
                                                  "-1e300",
                                                  "1e308",
                                                  "-1e308",
                                                  "1e-400",
                                                  "1e400",
                                                  "-1e400",
                                                  std::string(manyDigits, '9'),
                                                  "NaN",
                                                  "-Infinity",
                                                  "01"};
    return numbers[below(random, numbers.size())];
}

std::string drawText(std::mt19937 &random)
{
    static const std::vector<std::string> texts{R"("")",
                                                R"("x")",
                                                R"("ready")",
                                                R"("[")",
                                                R"(",")",
                                                R"("\u0000")",
                                                R"("a\r\nb: c")",
                                                R"("\ud83d\ude00")",
                                                R"("\ud800")",
                                                "\"\xff\xfe\"",
                                                "\"\xc0\x80\"",
                                                R"("10.0.0.1:0")",
                                                R"("10.0.0.1:65536")",
                                                R"("10.0.0.1:-1")",
                                                R"("10.0.0.1:99999999999999999999")",
                                                R"("10.0.0.1:80\r\n")",
                                                R"("10.0.0.1\u0000:80")",
                                                R"("10.0.0.1: 80")",
                                                R"("10.0.0.1:+80")",
                                                R"("[::1]:80")",
                                                R"("[]:80")",
                                                R"("[:80")",
                                                R"(":80")",
                                                R"("18446744073709551616")",
                                                "\"" + std::string(manyCharacters, 'a') + "\""};
    return texts[below(random, texts.size())];
}

std::string drawNesting(std::mt19937 &random)
{
    const std::size_t depth = oneIn(random, 100) ? extremeDepth : 1 + below(random, moderateDepth);
    if (oneIn(random, 2)) {
        return std::string(depth, '[') + std::string(depth, ']');
    }
    std::string text;
    for (std::size_t level = 0; level < depth; ++level) {
        text += R"({"a":)";
    }
    return text + "1" + std::string(depth, '}');
}

std::string drawValue(std::mt19937 &random, std::size_t depth);

std::string drawList(std::mt19937 &random, std::size_t depth, bool isObject)
{
    static const std::vector<std::string> names{"key",   "value", "short", "service", "held",
                                                "items", "name",  "slots", "waits",   ""};
    std::string text;
    const std::size_t count = below(random, 4);
    for (std::size_t index = 0; index < count; ++index) {
        absl::StrAppend(&text, index == 0 ? "" : ",",
                        isObject ? absl::StrCat("\"", names[below(random, names.size())], "\":") : std::string{},
                        drawValue(random, depth + 1));
    }
    return isObject ? absl::StrCat("{", text, "}") : absl::StrCat("[", text, "]");
}

std::string drawValue(std::mt19937 &random, std::size_t depth)
{
    constexpr std::size_t maxDepth = 4;
    constexpr std::size_t scalars = 4;
    switch (below(random, depth < maxDepth ? scalars + 4 : scalars)) {
    case 0:
    case 1:
        return drawNumber(random);
    case 2:
        return drawText(random);
    case 3:
        return std::array{"null", "true", "false", "[]", "{}"}[below(random, 5)];
    case 4:
        return drawNesting(random);
    case 5:
        return drawList(random, depth, true);
    default:
        return drawList(random, depth, false);
    }
}

/*! @brief Returns a value of the document, drawn on a walk from its root. */
json &drawNode(std::mt19937 &random, json &root)
{
    json *node = &root;
    while (node->is_structured() && !node->empty() && (node == &root || !oneIn(random, 4))) {
        const auto offset = static_cast<std::ptrdiff_t>(below(random, node->size()));
        node = &*std::next(node->begin(), offset);
    }
    return *node;
}

void damageText(std::mt19937 &random, std::string &text)
{
    const std::size_t position = below(random, text.size() + 1);
    switch (below(random, 4)) {
    case 0:
        text.resize(position);
        break;
    case 1:
        text.insert(position, 1, static_cast<char>(below(random, 256)));
        break;
    case 2:
        text.erase(position, 1 + below(random, 8));
        break;
    default:
        text.insert(position, text.substr(below(random, text.size() + 1), 16));
    }
}

} // namespace

std::string drawJson(std::mt19937 &random)
{
    return drawValue(random, 0);
}

std::string drawMutation(std::mt19937 &random, const json &sound)
{
    json document = sound;
    // Values that `json` cannot hold are inserted into the text.
    std::vector<std::pair<std::string, std::string>> inserted;
    for (std::size_t left = 1 + below(random, maxMutations); left > 0; --left) {
        json &node = drawNode(random, document);
        const std::string mark = absl::StrCat("mark-", left);
        if (node.is_structured() && !node.empty() && oneIn(random, 4)) {
            node.erase(node.begin());
            continue;
        }
        node = mark;
        inserted.emplace_back(absl::StrCat("\"", mark, "\""), drawValue(random, 1));
    }
    std::string text = absl::StrReplaceAll(document.dump(), inserted);
    if (oneIn(random, 4)) {
        damageText(random, text);
    }
    return text;
}

} // namespace bergamottide::test
