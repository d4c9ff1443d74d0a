#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <ostream>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>

namespace bergamottide {

/**
 * @brief Name of one kind of thing; names of different kinds do not mix.
 * @tparam Tag Type that sets this kind of name apart.
 */
template <typename Tag>
class Name
{
public:
    Name() = default;

    /**
     * @brief Wraps a text.
     * @param value Text of the name.
     */
    explicit Name(std::string value)
        : m_value{std::move(value)}
    {
    }

    /*! @brief Returns the text of the name. */
    [[nodiscard]] const std::string &text() const noexcept
    {
        return m_value;
    }

    /*! @brief Tells if the name has no text. */
    [[nodiscard]] bool empty() const noexcept
    {
        return m_value.empty();
    }

    [[nodiscard]] bool operator==(const Name &other) const = default;

    // Written out: the linter takes the comparisons with zero in a defaulted one for null pointers.
    [[nodiscard]] std::strong_ordering operator<=>(const Name &other) const
    {
        return m_value <=> other.m_value;
    }

    friend std::ostream &operator<<(std::ostream &stream, const Name &name)
    {
        return stream << name.m_value;
    }

private:
    std::string m_value;
};

/*! @brief Name of a process of the system or of an endpoint instance. */
using InstanceName = Name<struct InstanceTag>;
/*! @brief Name of an availability zone. */
using ZoneName = Name<struct ZoneTag>;
/*! @brief Name of a region. */
using RegionName = Name<struct RegionTag>;
/*! @brief Name of a workspace. */
using WorkspaceName = Name<struct WorkspaceTag>;
/*! @brief Name of a pipeline. */
using PipelineName = Name<struct PipelineTag>;
/*! @brief Name of a stage, unique within its pipeline. */
using StageName = Name<struct StageTag>;
/*! @brief Name of a pool of endpoints. */
using PoolName = Name<struct PoolTag>;
/*! @brief Name of a model. */
using ModelName = Name<struct ModelTag>;
/*! @brief Name of an adapter of a model. */
using AdapterName = Name<struct AdapterTag>;
/*! @brief Name of a request kind. */
using KindName = Name<struct KindTag>;
/*! @brief Version of the software of an endpoint; empty if unknown. */
using SoftwareVersion = Name<struct SoftwareVersionTag>;

/*! @brief Identity of one request, 128 bits, unique over all entries. */
struct RequestId
{
    std::uint64_t high{};
    std::uint64_t low{};

    [[nodiscard]] bool operator==(const RequestId &) const = default;

    // Written out for the linter's sake, as above.
    [[nodiscard]] std::strong_ordering operator<=>(const RequestId &other) const
    {
        return std::tie(high, low) <=> std::tie(other.high, other.low);
    }

    /*! @brief Returns the identity as 32 lower case hexadecimal digits. */
    [[nodiscard]] std::string text() const;

    /**
     * @brief Reads an identity written by `text`.
     * @param text Text of 32 hexadecimal digits.
     * @return The identity, or nothing if the text is anything else.
     */
    [[nodiscard]] static std::optional<RequestId> parse(std::string_view text);
};

/*! @brief One attempt at one stage of one request. */
struct RunId
{
    RequestId request;
    /*! @brief Position of the stage within its pipeline, from zero. */
    std::uint32_t stage{};
    /*! @brief Number of the attempt, from one; a higher attempt fences the lower ones. */
    std::uint32_t attempt{};

    [[nodiscard]] bool operator==(const RunId &) const = default;

    [[nodiscard]] std::strong_ordering operator<=>(const RunId &other) const
    {
        return std::tie(request, stage, attempt) <=> std::tie(other.request, other.stage, other.attempt);
    }
};

/*! @brief Random number drawn at each start of a process; tells a restarted process from its predecessor. */
enum class Incarnation : std::uint64_t
{
};

/**
 * @brief Capability handed out by the ledger of one incarnation for one request.
 *
 * A serial starts at most one run, ever; zero is no serial.
 */
enum class Serial : std::uint64_t
{
};

/*! @brief Connection of a caller as the entry's network layer numbers it. */
enum class CallId : std::uint64_t
{
};

/*! @brief Value of no serial. */
inline constexpr Serial noSerial{0};

namespace internal {

/**
 * @brief Spreads the bits of a number over all of its bits, the same way in each run.
 *
 * Identities may have patterns: callers choose some of them.
 */
[[nodiscard]] constexpr std::uint64_t mix(std::uint64_t value) noexcept
{
    constexpr std::uint64_t first = 0xff51afd7ed558ccdULL;
    constexpr std::uint64_t second = 0xc4ceb9fe1a85ec53ULL;
    constexpr unsigned shift = 33;
    value = (value ^ (value >> shift)) * first;
    value = (value ^ (value >> shift)) * second;
    return value ^ (value >> shift);
}

} // namespace internal

} // namespace bergamottide

template <typename Tag>
struct std::hash<bergamottide::Name<Tag>>
{
    std::size_t operator()(const bergamottide::Name<Tag> &name) const noexcept
    {
        return std::hash<std::string>{}(name.text());
    }
};

template <>
struct std::hash<bergamottide::RequestId>
{
    std::size_t operator()(const bergamottide::RequestId &id) const noexcept
    {
        return static_cast<std::size_t>(bergamottide::internal::mix(bergamottide::internal::mix(id.high) + id.low));
    }
};

template <>
struct std::hash<bergamottide::RunId>
{
    std::size_t operator()(const bergamottide::RunId &id) const noexcept
    {
        const auto position = (std::uint64_t{id.stage} << 32U) | id.attempt;
        return static_cast<std::size_t>(
            bergamottide::internal::mix(std::hash<bergamottide::RequestId>{}(id.request) + position));
    }
};
