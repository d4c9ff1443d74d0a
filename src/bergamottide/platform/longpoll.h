#pragma once

#include "bergamottide/net/httpclient.h"
#include "bergamottide/net/loop.h"
#include "bergamottide/platform/backoff.h"

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace bergamottide {

/*! @brief Settings of a watch. */
struct LongPollOptions
{
    /*! @brief IP number and port of the service, `ip:port`. */
    std::string address;
    std::string path;
    /*!
     * @brief Time the service may hold a read that has nothing new.
     *
     * Each read counts against the service's budget, a waiting one too: at 25 s, 4,350
     * watchers would cost 174 reads per second.
     */
    Duration wait{std::chrono::seconds{25}};
    /*! @brief Time beyond `wait` after which a silent service is given up. */
    Duration grace{std::chrono::seconds{5}};
    /*!
     * @brief Least time between two reads.
     *
     * In a burst of changes one read fetches several; 16,000 changes a day come at 20 per
     * second for a minute, and one reader shall not cost the service more than four of its reads
     * per second then.
     */
    Duration spacing{std::chrono::milliseconds{250}};
    Duration firstBackoff{std::chrono::milliseconds{200}};
    Duration longestBackoff{std::chrono::seconds{10}};
    /*! @brief Largest value in bytes; the service holds values up to a megabyte. */
    std::size_t maxBytes{(1u << 20) + (64u << 10)};
    std::uint64_t seed{};
};

/*! @brief Counts of a watch since its start. */
struct LongPollCounts
{
    std::uint64_t reads{};
    std::uint64_t values{};
    std::uint64_t errors{};
    std::uint64_t bytes{};
};

/**
 * @brief Watches one value of a service that holds a read until the value is newer than a version.
 *
 * A service that is down, slow, stale or sends broken values costs a read at most every
 * backoff; what was accepted before stays with the owner of the hooks.
 */
class LongPoll
{
public:
    /*! @brief Hooks, called on the loop's thread. */
    struct Hooks
    {
        /*! @brief Takes a value; returns its version, or why it is not accepted. */
        std::function<absl::StatusOr<std::uint64_t>(HttpAnswer answer)> value;
        /*! @brief Optional: a read has failed or its value was not accepted. */
        std::function<void(const absl::Status &error)> failed;
        /*! @brief Optional: the service has confirmed that there is nothing newer. */
        std::function<void()> unchanged;
    };

    /**
     * @brief Creates a watch that does not read yet.
     * @param loop Loop it runs on; outlives the watch.
     * @param options Settings.
     * @param hooks Called for each read.
     */
    LongPoll(Loop &loop, LongPollOptions options, Hooks hooks);
    LongPoll(const LongPoll &) = delete;
    LongPoll &operator=(const LongPoll &) = delete;
    ~LongPoll();

    /*! @brief Starts to read; does nothing if it reads already. */
    void start();

    /*! @brief Stops reading. */
    void stop();

    /**
     * @brief Tells the version that has come another way, so that only newer ones are read.
     * @param version Version in force; an older one than known is ignored.
     */
    void advance(std::uint64_t version);

    /*! @brief Returns the counts since the start. */
    [[nodiscard]] const LongPollCounts &counts() const noexcept;

private:
    void read();
    void readAfter(Duration wait);
    void answered(HttpAnswer answer);
    void failed(const absl::Status &error);
    [[nodiscard]] absl::Status take(HttpAnswer answer);

    Loop &m_loop;
    LongPollOptions m_options;
    Hooks m_hooks;
    HttpClient m_client;
    Backoff m_backoff;
    HttpCallId m_call{};
    TimerId m_timer{};
    std::uint64_t m_version{};
    bool m_running{};
    LongPollCounts m_counts;
};

} // namespace bergamottide
