#pragma once

#include "bergamottide/entry/request.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <utility>
#include <vector>

namespace bergamottide {

/*! @brief Requests in progress at an entry, indexed by identity and by call. */
class RequestTable
{
public:
    /**
     * @brief Adds a request.
     * @param request Request whose identity is not in the table.
     * @return The request; the reference is valid until it is removed and `deleteRemoved` is called.
     */
    Request &add(std::unique_ptr<Request> request)
    {
        Request &added = *request;
        m_byCall[static_cast<std::uint64_t>(added.call)] = added.id;
        m_requests.emplace(added.id, std::move(request));
        return added;
    }

    /*! @brief Returns the request with an identity, or null. */
    [[nodiscard]] Request *find(const RequestId &id)
    {
        const auto found = m_requests.find(id);
        return found == m_requests.end() ? nullptr : found->second.get();
    }

    /*! @brief Returns the request of a call, or null. */
    [[nodiscard]] Request *findByCall(CallId call)
    {
        const auto found = m_byCall.find(static_cast<std::uint64_t>(call));
        return found == m_byCall.end() ? nullptr : find(found->second);
    }

    /*! @brief Removes a request; references to it stay valid until `deleteRemoved`. */
    void remove(Request &request)
    {
        m_byCall.erase(static_cast<std::uint64_t>(request.call));
        const auto found = m_requests.find(request.id);
        m_removed.push_back(std::move(found->second));
        m_requests.erase(found);
    }

    /*! @brief Deletes the removed requests; call it once no reference to them is in use. */
    void deleteRemoved()
    {
        m_removed.clear();
    }

    /*! @brief Returns the identities of all requests, sorted so that iteration is deterministic. */
    [[nodiscard]] std::vector<RequestId> ids() const;

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
