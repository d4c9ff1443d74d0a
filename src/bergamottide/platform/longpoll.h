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

/*! @brief Options of a long poll. */
struct LongPollOptions
{
    /*! @brief IP address and port of the service, `ip:port`. */
    std::string address;
    std::string path;
    /*!
     * @brief Time for which the service may hold a read while there is no newer value.
     *
     * Bounds the rate of reads of an unchanged value, each of which counts against the service's
     * request budget.
     */
    Duration wait{std::chrono::seconds{25}};
    /*! @brief Time beyond `wait` after which a read without a response fails. */
    Duration timeoutMargin{std::chrono::seconds{5}};
    /*!
     * @brief Delay between a response and the next read.
     *
     * Bounds the rate of reads during a burst of changes: one read fetches the result of several changes.
     */
    Duration readDelay{std::chrono::milliseconds{250}};
    Duration initialBackoff{std::chrono::milliseconds{200}};
    Duration maxBackoff{std::chrono::seconds{10}};
    /*! @brief Largest value in bytes; the service stores values of up to one mebibyte. */
    std::size_t maxBytes{(1u << 20) + (64u << 10)};
    std::uint64_t seed{};
};

/*! @brief Counters of a long poll since its start. */
struct LongPollCounts
{
    std::uint64_t reads{};
    std::uint64_t values{};
    std::uint64_t errors{};
    std::uint64_t bytes{};
};

/**
 * @brief Long-polls one versioned value: the service holds each read until it has a newer version.
 *
 * Reads that fail, time out, or return a malformed or older value are retried with exponential backoff.
 */
class LongPoll
{
public:
    /*! @brief Callbacks, called on the event loop's thread. */
    struct Hooks
    {
        /*! @brief Validates and applies a value; returns its version, or the reason why it is rejected. */
        std::function<absl::StatusOr<std::uint64_t>(HttpResponse answer)> value;
        /*! @brief Optional: a read failed, or its value was rejected. */
        std::function<void(const absl::Status &error)> failed;
        /*! @brief Optional: the service confirmed that there is no newer value. */
        std::function<void()> unchanged;
    };

    /**
     * @brief Creates a long poll; `start` begins reading.
     * @param loop Event loop; must outlive the long poll.
     * @param options Options.
     * @param hooks Callbacks.
     */
    LongPoll(Loop &loop, LongPollOptions options, Hooks hooks);
    LongPoll(const LongPoll &) = delete;
    LongPoll &operator=(const LongPoll &) = delete;
    ~LongPoll();

    /*! @brief Starts reading; does nothing if already started. */
    void start();

    /*! @brief Stops reading. */
    void stop();

    /**
     * @brief Sets the version received from another source, so that only newer ones are read.
     * @param version Current version; ignored if older than the known one.
     */
    void advance(std::uint64_t version);

    /*! @brief Returns the counters since the start. */
    [[nodiscard]] const LongPollCounts &counts() const noexcept;

private:
    void read();
    void scheduleRead(Duration delay);
    void handleResponse(HttpResponse answer);
    void handleFailure(const absl::Status &error);
    [[nodiscard]] absl::Status acceptValue(HttpResponse answer);

    Loop &m_loop;
    LongPollOptions m_options;
    Hooks m_hooks;
    HttpClient m_client;
    Backoff m_backoff;
    HttpCallId m_call{};
    TimerId m_timer{};
    std::uint64_t m_version{};
    bool m_isRunning{};
    LongPollCounts m_counts;
};

} // namespace bergamottide
