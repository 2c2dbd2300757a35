#include "protocol/platform.hpp"

#include <ctime>

namespace hornbeamrail {

boot_time boot_clock::now() noexcept {
    timespec value{};
    clock_gettime(CLOCK_BOOTTIME, &value);
    return boot_time(std::chrono::duration_cast<duration>(std::chrono::seconds(value.tv_sec) +
                                                          std::chrono::nanoseconds(value.tv_nsec)));
}

} // namespace hornbeamrail
