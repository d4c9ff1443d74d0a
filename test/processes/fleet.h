#pragma once

#include "bergamottide/net/httpclient.h"
#include "bergamottide/net/loop.h"
#include "processes/process.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <filesystem>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace bergamottide::test {

/*! @brief One answer under way. */
struct Reply
{
    std::optional<HttpResponse> answer;
    std::optional<HttpFailure> failure;
    /*! @brief Bytes of the body so far. */
    std::string received;

    [[nodiscard]] bool ended() const
    {
        return answer || failure;
    }
};

/*! @brief What the endpoints have truly done for one request and stage. */
struct Execution
{
    std::uint64_t started{};
    std::uint64_t completed{};
};

/*! @brief One daemon with what it told about itself when it started. */
struct Daemon
{
    std::unique_ptr<Process> process;
    nlohmann::json ports;

    [[nodiscard]] std::string port(const std::string &name) const
    {
        return ports.value(name, std::string{});
    }
};

/**
 * @brief A small fleet of real processes on the loopback interface, ports chosen by the kernel.
 *
 * Waits are for conditions, with a limit so generous that a busy machine does not change a
 * verdict.
 */
class Fleet
{
public:
    Fleet();
    Fleet(const Fleet &) = delete;
    Fleet &operator=(const Fleet &) = delete;
    ~Fleet();

    /**
     * @brief Starts a stand-in.
     * @param kind Kind of stand-in.
     * @param flags Further flags, `--name=value`.
     * @return Its address.
     */
    std::string startStandIn(const std::string &kind, const std::vector<std::string> &flags = {});

    /**
     * @brief Starts an endpoint of a pool with a side beside it.
     * @param name Name of the side.
     * @param pool Pool of the document.
     * @param kind Kind of stand-in.
     * @param flags Flags of the stand-in.
     */
    void startEndpoint(const std::string &name, const std::string &pool, const std::string &kind,
                       const std::vector<std::string> &flags = {});

    /**
     * @brief Starts a side, or starts it anew.
     * @param name Name of the side.
     * @param pool Pool of the document.
     * @param endpoint Address of its endpoint.
     */
    void startSide(const std::string &name, const std::string &pool, const std::string &endpoint);

    /**
     * @brief Starts an entry, or starts it anew.
     * @param name Name of the entry.
     * @param limits Limits of its process.
     */
    void startEntry(const std::string &name, const ProcessLimits &limits = {});

    /*!
     * @brief Starts one endpoint for each stage, two engines, two services and the entries `entry-0` and `entry-1`.
     *
     * An endpoint whose side runs already is left as the test has started it.
     */
    void startOrdinary();

    /**
     * @brief Kills the endpoint beside a side; what it has done is no longer counted.
     * @param side Name of the side.
     */
    void stopEndpoint(const std::string &side);

    /**
     * @brief Announces an address for a daemon other than its own, such as that of a relay.
     * @param name Name of the daemon.
     * @param address Address in the instance list.
     */
    void announceAddress(const std::string &name, const std::string &address);

    /**
     * @brief Removes a daemon from the next instance list.
     * @param name Name of the daemon.
     */
    void forget(const std::string &name);

    /*! @brief Publishes the document of the demonstration. */
    void publishDocument();

    /*! @brief Publishes the daemons that run as the instance list. */
    void publishInstances();

    /*! @brief Waits until every entry has the document and a stream to every side. */
    void waitReady();

    /**
     * @brief Starts an HTTP call.
     * @param address Address of the server.
     * @param request Request.
     * @return The answer under way.
     */
    std::shared_ptr<Reply> send(const std::string &address, HttpRequest request);

    /**
     * @brief Makes an HTTP call and waits for its end.
     * @param address Address of the server.
     * @param request Request.
     */
    Reply call(const std::string &address, HttpRequest request);

    /**
     * @brief Submits a request to an entry.
     * @param entry Name of the entry.
     * @param pipeline Name of the pipeline.
     * @param headers Headers that are added to, or replace, those of an ordinary request.
     * @param body Body.
     */
    std::shared_ptr<Reply> submit(const std::string &entry, const std::string &pipeline,
                                  const HttpHeaders &headers = {}, const std::string &body = R"({"question":1})");

    /**
     * @brief Waits for a condition.
     * @param condition Condition to wait for.
     * @param what Name of the condition, for the failure.
     */
    void await(const std::function<bool()> &condition, const std::string &what);

    /**
     * @brief Lets time pass.
     * @param time Time to pass.
     */
    void pass(Duration time);

    /**
     * @brief Counts what the endpoints have done.
     * @return Executions by request and stage.
     */
    std::map<std::pair<std::string, std::string>, Execution> executions();

    /**
     * @brief Reads the status of a daemon on its admin port.
     * @param name Name of the daemon.
     * @return The status; empty if it does not answer.
     */
    nlohmann::json status(const std::string &name);

    /*! @brief Returns a daemon. */
    Daemon &daemon(const std::string &name);

    /**
     * @brief Returns the process of a stand-in.
     * @param address Address of the stand-in.
     */
    Process &standIn(const std::string &address);

    /*! @brief Returns the address of the configuration service. */
    [[nodiscard]] const std::string &configService() const;

private:
    [[nodiscard]] std::string settings(const std::string &name) const;
    void startDaemon(const std::string &name, const std::string &program, const std::string &settings,
                     const ProcessLimits &limits = {});

    SystemClock m_clock;
    std::filesystem::path m_folder;
    Loop m_loop;
    HttpClient m_client;
    std::map<std::string, std::unique_ptr<Process>> m_standIns;
    std::vector<std::string> m_endpoints;
    std::map<std::string, Daemon> m_daemons;
    std::map<std::string, std::string> m_announced;
    std::string m_config;
    std::string m_instances;
};

/**
 * @brief Draws an identity for a request.
 * @return 32 hexadecimal digits.
 */
[[nodiscard]] std::string drawRequestId();

/**
 * @brief Reads the body of an answer.
 * @param reply Answer that has come whole.
 * @return JSON; null for anything else.
 */
[[nodiscard]] nlohmann::json bodyOf(const Reply &reply);

/**
 * @brief Returns the text that an engine stand-in generates.
 * @param request Identity of the request.
 * @param tokens Tokens generated.
 */
[[nodiscard]] std::string generatedText(const std::string &request, std::uint32_t tokens);

} // namespace bergamottide::test
