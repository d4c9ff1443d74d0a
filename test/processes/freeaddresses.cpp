#include "processes/freeaddresses.h"

#include "bergamottide/net/socketaddress.h"

#include <absl/strings/str_cat.h>

#include <unistd.h>

namespace bergamottide::test {

FreeAddresses::FreeAddresses()
    : m_random{static_cast<std::uint32_t>(getpid())}
{
}

std::string FreeAddresses::next()
{
    std::uniform_int_distribution<int> ports{11'000, 29'000};
    for (;;) {
        const std::string address = absl::StrCat("127.0.0.1:", ports(m_random));
        if (!m_returned.insert(address).second) {
            continue;
        }
        const auto descriptor = listenOn(*parseSocketAddress(address));
        if (descriptor.ok()) {
            close(*descriptor);
            return address;
        }
    }
}

} // namespace bergamottide::test
