#include "bergamottide/net/machinelimits.h"

#include <algorithm>
#include <fstream>
#include <limits>
#include <string>

#include <sys/resource.h>

namespace bergamottide {

namespace {

/*! @brief Memory assumed where the system does not tell, in bytes. */
constexpr std::size_t assumedMemory = 256U << 20U;
constexpr std::size_t maxDefaultMemoryLimit = 1U << 30U;
constexpr std::size_t maxDefaultConnections = 2048;
constexpr std::size_t memoryShares = 4;
/*! @brief Kernel memory of a connection whose bytes are not read, in bytes: the buffer that is asked for, doubled. */
constexpr std::size_t kernelBytesPerConnection = 128U << 10U;

std::size_t machineMemory()
{
    constexpr std::size_t bytesPerKilobyte = 1024;
    std::ifstream file{"/proc/meminfo"};
    std::string field;
    std::size_t kilobytes = 0;
    while (file >> field) {
        if (field == "MemTotal:" && file >> kilobytes) {
            return kilobytes * bytesPerKilobyte;
        }
        file.ignore(std::numeric_limits<std::streamsize>::max(), '\n');
    }
    return assumedMemory;
}

std::size_t softLimit(decltype(RLIMIT_AS) resource)
{
    rlimit limit{};
    if (getrlimit(resource, &limit) != 0 || limit.rlim_cur == RLIM_INFINITY) {
        return std::numeric_limits<std::size_t>::max();
    }
    return limit.rlim_cur;
}

} // namespace

std::size_t availableMemory()
{
    return std::min(machineMemory(), softLimit(RLIMIT_AS));
}

std::size_t availableDescriptors()
{
    return softLimit(RLIMIT_NOFILE);
}

std::size_t defaultMemoryLimit()
{
    return std::min(availableMemory() / memoryShares, maxDefaultMemoryLimit);
}

std::size_t defaultMaxConnections()
{
    const std::size_t byMemory = availableMemory() / memoryShares / kernelBytesPerConnection;
    return std::max<std::size_t>(std::min({availableDescriptors() / 2, byMemory, maxDefaultConnections}), 1);
}

} // namespace bergamottide
