#pragma once

#include "bergamottide/entry/entryevents.h"
#include "bergamottide/sidecar/sidecarevents.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace bergamottide::test {

/*! @brief What is true of one request, whatever the system says about it. */
struct Truth
{
    RequestId request;
    std::vector<StageName> stages;
    std::string body;
    /*! @brief The last stage must run at most once. */
    bool onceOnly{};
};

/**
 * @brief Compares what callers are told with what the endpoints have done.
 *
 * Counts the runs that endpoints started for each request and writes down every
 * promise that was broken, as one sentence each.
 */
class Checker
{
public:
    /*! @brief Time after its first sign at which a leaving endpoint gets no new run any more. */
    static constexpr Duration leavingGrace{std::chrono::seconds{2}};

    /*! @brief Takes a request before its first call. */
    void expect(Truth truth);

    /*! @brief Takes a call for a request, whether it submits, fetches or cancels. */
    void called(CallId call, const RequestId &request, const InstanceName &entry, Duration now);

    /*! @brief A caller has hung up, or its entry has died: its call may stay without an answer. */
    void callLost(CallId call);

    /*! @brief Every call at an entry is lost. */
    void entryLost(const InstanceName &entry);

    /*! @brief A run was handed to the endpoint beside a side. */
    void started(const InstanceName &side, const StartEndpointRun &start, Duration now);

    /*! @brief The first sign that a side's instance is leaving. */
    void leaving(const InstanceName &side, Duration now);

    /*! @brief An entry told its caller something. */
    void told(const EntryEffect &effect, Duration now);

    /*! @brief Writes down a promise broken elsewhere. */
    void violate(std::string what);

    /*! @brief Ends the run: every call that was not lost must have had its answer. */
    void finish();

    /*! @brief Returns the broken promises. */
    [[nodiscard]] const std::vector<std::string> &violations() const noexcept;

    /*! @brief Returns how often endpoints started a stage of a request; all stages without one. */
    [[nodiscard]] std::uint32_t executions(const RequestId &request, std::optional<std::uint32_t> stage = {}) const;

    /*! @brief Returns the one right answer to a request. */
    [[nodiscard]] static std::string rightAnswer(const Truth &truth);

    /*! @brief Returns how often each outcome was told, by the order of its names. */
    [[nodiscard]] const std::map<Outcome, std::uint32_t> &outcomes() const noexcept;

private:
    struct Call
    {
        RequestId request;
        InstanceName entry;
        std::string received;
        std::uint32_t answers{};
        bool lost{};
    };

    struct Record
    {
        Truth truth;
        std::vector<std::uint32_t> starts;
        Duration lastCall{};
        /*! @brief Time at which a caller was told that nothing had run, if it was. */
        std::optional<Duration> notRunAt;
        /*! @brief Time at which a caller was told that no effect took place, if it was. */
        std::optional<Duration> noEffectAt;
    };

    void checkAnswer(Call &call, const SendAnswer &answer, Duration now);
    void checkRefusal(Record &record, const SendAnswer &answer, Duration now);

    std::map<RequestId, Record> m_records;
    std::map<CallId, Call> m_calls;
    std::map<InstanceName, Duration> m_leaving;
    std::map<Outcome, std::uint32_t> m_outcomes;
    std::vector<std::string> m_violations;
};

} // namespace bergamottide::test
