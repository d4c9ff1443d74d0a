#pragma once

#include "bergamottide/entry/request.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <utility>
#include <vector>

namespace bergamottide {

/*! @brief The requests in progress at one entry, found by identity or by the caller's connection. */
class RequestTable
{
public:
    /**
     * @brief Adds a request.
     * @param request Request whose identity is not in the table.
     * @return The request; its address stays the same until `sweep` after `remove`.
     */
    Request &add(std::unique_ptr<Request> request)
    {
        Request &added = *request;
        m_byCall[static_cast<std::uint64_t>(added.call)] = added.id;
        m_requests.emplace(added.id, std::move(request));
        return added;
    }

    /*! @brief Finds a request, or null. */
    [[nodiscard]] Request *find(const RequestId &id)
    {
        const auto found = m_requests.find(id);
        return found == m_requests.end() ? nullptr : found->second.get();
    }

    /*! @brief Finds the request of a caller's connection, or null. */
    [[nodiscard]] Request *findCall(CallId call)
    {
        const auto found = m_byCall.find(static_cast<std::uint64_t>(call));
        return found == m_byCall.end() ? nullptr : find(found->second);
    }

    /*! @brief Removes a request; it can be read until the next `sweep`. */
    void remove(Request &request)
    {
        m_byCall.erase(static_cast<std::uint64_t>(request.call));
        const auto found = m_requests.find(request.id);
        m_removed.push_back(std::move(found->second));
        m_requests.erase(found);
    }

    /*! @brief Frees the removed requests, once no reference to one is left. */
    void sweep()
    {
        m_removed.clear();
    }

    /*! @brief Returns the identities of all requests, in order, so that every run visits them alike. */
    [[nodiscard]] std::vector<RequestId> ids() const;

    /*! @brief Returns the number of requests. */
    [[nodiscard]] std::size_t size() const noexcept
    {
        return m_requests.size();
    }

private:
    absl::flat_hash_map<RequestId, std::unique_ptr<Request>, std::hash<RequestId>> m_requests;
    absl::flat_hash_map<std::uint64_t, RequestId> m_byCall;
    std::vector<std::unique_ptr<Request>> m_removed;
};

} // namespace bergamottide
