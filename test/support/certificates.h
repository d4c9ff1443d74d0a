#pragma once

#include "bergamottide/net/httpserver.h"

#include <string>

namespace bergamottide::test {

/*! @brief Authority with one certificate signed by it, in a folder of its own that goes with the object. */
class Certificates
{
public:
    /*! @brief Makes an authority and a certificate for 127.0.0.1. */
    Certificates();
    Certificates(const Certificates &) = delete;
    Certificates &operator=(const Certificates &) = delete;
    ~Certificates();

    /*! @brief Returns the files, with the authority that signed the certificate. */
    [[nodiscard]] TlsFiles files() const;

    /*! @brief Makes a new certificate under the same authority in place of the present one. */
    void renew();

private:
    struct Authority;

    std::string m_folder;
    Authority *m_authority;
};

} // namespace bergamottide::test
