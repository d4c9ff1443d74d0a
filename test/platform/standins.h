#pragma once

#include "bergamottide/net/httpserver.h"
#include "bergamottide/net/loop.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace bergamottide::test {

/*! @brief Stand-in of the platform's store: lists and watches of what the test publishes. */
class StoreStandIn
{
public:
    explicit StoreStandIn(Loop &loop);

    [[nodiscard]] std::string address() const;

    /*! @brief Writes an item; watches that wait are answered. */
    void publish(const std::string &key, const std::string &value);

    /*! @brief Removes an item; watches that wait are answered. */
    void remove(const std::string &key);

    /*! @brief Turns every caller away from now on, or serves again. */
    void setDown(bool down);

    /*! @brief Answers lists that may be old with what is published now, whatever is published later. */
    void keepOldList();

    /*! @brief Splits lists that may be old behind a key: the first page tells what is published, the second is old. */
    void serveOldPagesAfter(const std::string &key);

    /*! @brief Forgets how things came to be as they are. */
    void forgetHistory();

    /*! @brief Returns the number of calls so far. */
    [[nodiscard]] std::size_t calls() const noexcept;

private:
    struct Item
    {
        std::string value;
        std::uint64_t revision{};
        bool isRemoved{};
    };

    struct Watch
    {
        std::shared_ptr<HttpResponder> responder;
        std::uint64_t after{};
    };

    void handle(const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder);
    void answerWatches(int status);
    void expire(const std::shared_ptr<HttpResponder> &responder);
    [[nodiscard]] std::string page(const std::string &field, std::uint64_t after) const;
    [[nodiscard]] std::string oldPage(std::string_view after) const;

    Loop &m_loop;
    HttpServer m_server;
    std::map<std::string, Item> m_items;
    std::vector<Watch> m_watches;
    /*! @brief Items and revision that lists which may be old tell; none while they are no older than others. */
    std::map<std::string, Item> m_oldItems;
    std::uint64_t m_oldRevision{};
    /*! @brief Last key of the first page of such a list; empty if it has one page. */
    std::string m_splitAfter;
    /*! @brief Revision behind which the history is there. */
    std::uint64_t m_historyBegin{};
    std::uint64_t m_revision{7};
    std::size_t m_calls{};
    bool m_down{};
};

/*! @brief What the endpoint stand-in does with the next requests. */
enum class EndpointMood
{
    Sound,
    /*! @brief Says that it did not run the request. */
    Full,
    /*! @brief Answers with the name of another request. */
    Foreign,
    /*! @brief Answers without its signature. */
    Unsigned
};

/*! @brief Stand-in of any endpoint of the platform: plain service, stage endpoint and model engine in one. */
class EndpointStandIn
{
public:
    EndpointStandIn(Loop &loop, std::string instance);

    [[nodiscard]] std::string address() const;

    void setMood(EndpointMood mood);

    /*! @brief Returns the requests that it has run, in order; calls for pieces and releases are not among them. */
    [[nodiscard]] const std::vector<HttpRequest> &runs() const noexcept;

    /*! @brief Returns the handles that were given up. */
    [[nodiscard]] const std::vector<std::string> &freed() const noexcept;

private:
    void handle(const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder);
    void makePieces(const HttpRequest &request, HttpResponder &responder);
    void run(const HttpRequest &request, HttpResponder &responder);

    std::string m_instance;
    EndpointMood m_mood{};
    std::vector<HttpRequest> m_runs;
    std::vector<std::string> m_freed;
    std::size_t m_pieces{};
    HttpServer m_server;
};

} // namespace bergamottide::test
