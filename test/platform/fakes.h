#pragma once

#include "bergamottide/net/httpserver.h"
#include "bergamottide/net/loop.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace bergamottide::test {

/*! @brief Fake of the platform's key-value store: serves lists and watches of the items that a test publishes. */
class FakeStore
{
public:
    explicit FakeStore(Loop &loop);

    [[nodiscard]] std::string address() const;

    /*! @brief Writes an item and answers waiting watches. */
    void publish(const std::string &key, const std::string &value);

    /*! @brief Removes an item and answers waiting watches. */
    void remove(const std::string &key);

    /*! @brief Sets whether every request is answered 503. */
    void setUnavailable(bool isUnavailable);

    /*! @brief Sets whether requests, also those that wait, are left without an answer. */
    void setSilent(bool isSilent);

    /*! @brief Answers lists with `allowStale` with the current items from now on, whatever is published later. */
    void freezeStaleList();

    /*! @brief Splits lists with `allowStale` after a key: the first page is current, the second is stale. */
    void splitStaleListAfter(const std::string &key);

    /*! @brief Discards the history: watches from before the current revision are answered 410. */
    void discardHistory();

    /*! @brief Returns each version of a value to watches from now on, not only the newest. */
    void keepHistory();

    /*! @brief Discards the history and closes the connections of waiting watches. */
    void cutWatches();

    /*! @brief Splits lists into pages of this many items; without a call they have one page. */
    void setPageSize(std::size_t items);

    /*! @brief Answers lists with the bodies that a function returns for the decoded `after` of a request. */
    void setListReply(std::function<std::string(const std::string &after)> reply);

    /*! @brief Answers watches at once with a body from now on, also those that wait. */
    void setWatchReply(std::string body);

    /*! @brief Returns the number of requests received. */
    [[nodiscard]] std::size_t requestCount() const noexcept;

    /*! @brief Returns the number of lists, or of pages of one, that were requested. */
    [[nodiscard]] std::size_t listCount() const noexcept;

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
    void answerWaitingWatches(int status);
    void expireWatch(const std::shared_ptr<HttpResponder> &responder);
    [[nodiscard]] std::string page(const std::string &field, std::uint64_t after) const;
    [[nodiscard]] std::string stalePage(std::string_view after) const;
    [[nodiscard]] std::string listReply(const HttpRequest &request) const;
    [[nodiscard]] std::string listPage(const std::string &after, const std::string &prefix) const;

    Loop &m_loop;
    HttpServer m_server;
    std::map<std::string, Item> m_items;
    std::vector<Watch> m_watches;
    /*! @brief Items and revision of lists with `allowStale`; empty if these are current. */
    std::map<std::string, Item> m_staleItems;
    std::uint64_t m_staleRevision{};
    /*! @brief Last key of the first page of such a list; empty for a single page. */
    std::string m_splitAfter;
    /*! @brief Oldest revision from which watches can start. */
    std::uint64_t m_discardedRevision{};
    /*! @brief Former values of keys that watches return too; only if the store keeps its history. */
    std::vector<std::pair<std::string, Item>> m_history;
    bool m_keepsHistory{};
    std::uint64_t m_revision{7};
    std::size_t m_requestCount{};
    std::size_t m_listCount{};
    /*! @brief Most items of a page of a list; zero for no limit. */
    std::size_t m_pageSize{};
    std::function<std::string(const std::string &after)> m_listReply;
    std::string m_watchReply;
    bool m_isUnavailable{};
    bool m_isSilent{};
    /*! @brief Requests that stay without an answer, so that their connections stay open. */
    std::vector<std::shared_ptr<HttpResponder>> m_unanswered;
    /*! @brief Expires with the store, for timers that come later. */
    std::shared_ptr<int> m_life{std::make_shared<int>()};
};

/*! @brief Returns a byte sequence that a FakeStore writes into a key as an escaped lone surrogate, which is no text. */
[[nodiscard]] std::string loneSurrogate();

/*! @brief Returns a request for the list of all items of a store. */
[[nodiscard]] HttpRequest listRequest();

/*! @brief How a fake endpoint answers its next requests. */
enum class EndpointBehaviour
{
    Normal,
    /*! @brief Answers 503 with `not-executed`. */
    NotExecuted,
    /*! @brief Answers with the identity of another request attempt. */
    WrongAttempt,
    /*! @brief Answers without `response-seal`. */
    Unsigned,
    /*! @brief Stops listening and closes the connection without an answer. */
    Crash
};

/*! @brief Fake endpoint of the platform: plain service, stage endpoint and model engine in one. */
class FakePlatformEndpoint
{
public:
    FakePlatformEndpoint(Loop &loop, std::string instance);

    [[nodiscard]] std::string address() const;

    void setBehaviour(EndpointBehaviour behaviour);

    /*! @brief Adds headers to the responses to a path from now on; an empty path stands for all requests but those to
     * paths of the platform. */
    void setHeaders(const std::string &path, HttpHeaders headers);

    /*! @brief Returns the executed requests in order, without stage calls and releases. */
    [[nodiscard]] const std::vector<HttpRequest> &runs() const noexcept;

    /*! @brief Returns the handles of released stage results. */
    [[nodiscard]] const std::vector<std::string> &releasedHandles() const noexcept;

private:
    void handle(const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder);
    void runStage(const HttpRequest &request, HttpResponder &responder);
    void run(const HttpRequest &request, HttpResponder &responder);

    [[nodiscard]] HttpHeaders withAddedHeaders(const HttpRequest &request, HttpHeaders headers) const;

    std::string m_instance;
    EndpointBehaviour m_behaviour{};
    std::map<std::string, HttpHeaders> m_addedHeaders;
    std::vector<HttpRequest> m_runs;
    std::vector<std::string> m_releasedHandles;
    std::size_t m_pieceCount{};
    HttpServer m_server;
};

/*!
 * @brief Publishes a configuration with one route, attempted once, and the endpoint of its service at an address.
 * @param store Store.
 * @param endpoint Address of the endpoint.
 * @param kind Kind of the route in the platform's words.
 * @param maxBodyBytes Largest body of a request.
 * @param timeout Time after which the route gives up.
 */
void publishShop(FakeStore &store, const std::string &endpoint, const std::string &kind = "safe",
                 std::size_t maxBodyBytes = 100'000, Duration timeout = std::chrono::seconds{2});

/*! @brief Publishes a further endpoint of the service of publishShop(). */
void publishShopEndpoint(FakeStore &store, const std::string &instance, const std::string &endpoint);

/*!
 * @brief Publishes a configuration with one route whose requests, with pieces, pass a stage.
 * @param store Store.
 * @param stages Addresses of the endpoints of the stage.
 */
void publishStagedShop(FakeStore &store, const std::vector<std::string> &stages);

/*! @brief Returns a request on the route of publishStagedShop(). */
[[nodiscard]] HttpRequest stagedShopRequest(std::uint64_t attempt);

/**
 * @brief Returns a request on the route of publishShop().
 * @param attempt Number that makes the identity of the attempt.
 * @param body Body.
 */
[[nodiscard]] HttpRequest shopRequest(std::uint64_t attempt, std::string body);

/*! @brief Returns the lines of the head that sign an endpoint's answer to an attempt of shopRequest(). */
[[nodiscard]] std::string rawShopFields(std::uint64_t attempt);

/*! @brief Returns the bytes of an endpoint's signed answer to the first attempt, in one chunk. */
[[nodiscard]] std::string rawShopAnswer(const std::string &transferCoding);

} // namespace bergamottide::test
