#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace bergamottide {

/*! @brief Told of the bytes of heads and bodies; heads are counted without the lines that the connection needs. */
using TrafficHook = std::function<void(std::size_t received, std::size_t sent)>;

/*! @brief Header lines, in order; names are compared without case. */
using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

/*! @brief One HTTP request. */
struct HttpRequest
{
    std::string method;
    /*! @brief Path without the query. */
    std::string path;
    /*! @brief Query without the question mark, as it stands in the request line; see `encodeQuery`, `hasEmptyQuery`. */
    std::string query;
    HttpHeaders headers;
    std::string body;
    /*! @brief Host that the request is for; a client sends the address it connects to where this is empty. */
    std::string authority;
    /*! @brief The target ends with a question mark, which differs from one without a query (RFC 3986, section 6.2.3).
     */
    bool hasEmptyQuery{};
    /*! @brief Sent by a client in place of `body` if set, so that attempts share one copy. */
    std::shared_ptr<const std::string> sharedBody;
};

/*! @brief One whole HTTP answer. */
struct HttpResponse
{
    int status{200};
    HttpHeaders headers;
    std::string body;
};

/*! @brief Returns path and query as they stand in the request line. */
[[nodiscard]] std::string requestTarget(const HttpRequest &request);

/*! @brief Returns the bytes of header lines, with their colons, spaces and line ends. */
[[nodiscard]] std::size_t headerBytes(const HttpHeaders &headers);

/**
 * @brief Finds a header.
 * @param headers Header lines.
 * @param name Name, in lower case.
 * @return Its value, or an empty text.
 */
[[nodiscard]] std::string_view headerValue(const HttpHeaders &headers, std::string_view name);

/*! @brief Names and values of a query, in order; any bytes. */
using QueryParameters = std::vector<std::pair<std::string, std::string>>;

/*!
 * @brief Writes a query.
 *
 * All bytes but the unreserved ones (RFC 3986, section 2.3) are percent-encoded: servers differ in what else ends a
 * value or the query, and in whether a plus is a blank.
 */
[[nodiscard]] std::string encodeQuery(const QueryParameters &parameters);

/**
 * @brief Finds a parameter of a query.
 * @param query Query without the question mark.
 * @param name Name of the parameter, which the query has as it stands.
 * @return Value of the first parameter of that name, without its percent-encoding, or an empty text. A percent sign
 * that no two hexadecimal digits follow, and a plus, stay as they are.
 */
[[nodiscard]] std::string queryValue(std::string_view query, std::string_view name);

} // namespace bergamottide
