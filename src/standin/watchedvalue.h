#pragma once

#include "bergamottide/core/enumnames.h"
#include "bergamottide/net/loop.h"
#include "standin/standin.h"

#include <cstdint>
#include <functional>
#include <list>
#include <string>

namespace bergamottide::standin {

/*! @brief How the platform misbehaves. */
enum class ValueFault : std::uint8_t
{
    None,
    /*! @brief Every read is answered 503. */
    Down,
    /*! @brief Every read waits five seconds. */
    Slow,
    /*! @brief Half of the value with the digest of the whole. */
    Truncate,
    /*! @brief The first value ever published. */
    Stale,
    /*! @brief The newest and the first value by turns. */
    Flap
};

/**
 * @brief Configuration service or instance list: one value that is read and watched.
 *
 * `GET PATH?after=VERSION&wait_ms=N` reads; only tests write: `PUT /control/value` publishes,
 * `PUT /control/fault?mode=MODE` misbehaves, `GET /control/reads` counts.
 */
class WatchedValue final : public StandIn
{
public:
    /*! @brief Finds the version within a value, and may complete the value; zero refuses it. */
    using Publish = std::function<std::uint64_t(std::string &value, std::uint64_t last)>;

    /**
     * @brief Creates a value without content.
     * @param loop Loop it runs on; outlives the stand-in.
     * @param path Path that is read.
     * @param contentType Type of the value.
     * @param publish Finds the version within a new value.
     */
    WatchedValue(Loop &loop, std::string path, std::string contentType, Publish publish);

    void handle(HttpRequest request, std::shared_ptr<HttpResponder> responder) override;

private:
    struct Waiter
    {
        std::shared_ptr<HttpResponder> responder;
        std::uint64_t after{};
        TimerId timer{};
        bool gone{};
    };

    void read(const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder);
    void wait(std::uint64_t after, Duration longest, const std::shared_ptr<HttpResponder> &responder);
    void publish(std::string value, HttpResponder &responder);
    void setFault(std::string_view mode, HttpResponder &responder);
    void send(HttpResponder &responder);

    Loop &m_loop;
    std::string m_path;
    std::string m_contentType;
    Publish m_publish;
    ValueFault m_fault{ValueFault::None};
    std::uint64_t m_version{};
    std::string m_value;
    std::string m_firstValue;
    std::uint64_t m_reads{};
    std::list<std::shared_ptr<Waiter>> m_waiters;
};

/**
 * @brief Finds the version of a configuration document.
 * @param value YAML text.
 * @param last Version published before.
 * @return The number of its line `version:`, or zero.
 */
[[nodiscard]] std::uint64_t publishDocument(std::string &value, std::uint64_t last);

/**
 * @brief Numbers an instance list.
 * @param value JSON list of instances; completed to the list with its revision.
 * @param last Revision published before.
 * @return The next revision, or zero if the value is no JSON list.
 */
[[nodiscard]] std::uint64_t publishInstances(std::string &value, std::uint64_t last);

} // namespace bergamottide::standin

namespace bergamottide {

template <>
struct EnumNames<standin::ValueFault>
{
    static constexpr std::array<std::string_view, 6> names{"none", "down", "slow", "truncate", "stale", "flap"};
};

} // namespace bergamottide
