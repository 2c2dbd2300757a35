#include "hornbeamrail/error.hpp"

namespace hornbeamrail {

std::string_view to_string(errc code) noexcept {
    switch (code) {
    case errc::invalid_argument:
        return "invalid_argument";
    case errc::parse_failed:
        return "parse_failed";
    case errc::not_found:
        return "not_found";
    case errc::conflict:
        return "conflict";
    case errc::rejected:
        return "rejected";
    case errc::unreachable:
        return "unreachable";
    case errc::timed_out:
        return "timed_out";
    case errc::too_large:
        return "too_large";
    case errc::io_failed:
        return "io_failed";
    case errc::unavailable:
        return "unavailable";
    }
    return "unknown";
}

} // namespace hornbeamrail
