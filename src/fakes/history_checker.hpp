#pragma once

#include "fakes/history.hpp"

#include <array>
#include <chrono>
#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace hornbeamrail {

/// The guarantees of the design page, section 1.2, with their numbers.
enum class guarantee {
    availability_budget = 1,
    one_pool_per_vm,
    key_of_team,
    upper_limit,
    zone_out,
    own_answer,
    true_refusal,
    at_most_once,
    leaving_server,
    graceful_stop,
    configuration_in_force,
};

inline constexpr int guarantee_count = 11;

/// @return for example "7 true_refusal"
std::string to_string(guarantee value);

/// Longest time until a change takes effect, as the guarantees state it.
struct history_bounds {
    std::chrono::microseconds revoked_key{5'000'000};
    std::chrono::microseconds zone_out{3'000'000};
    std::chrono::microseconds leaving_server{3'000'000};
    std::chrono::microseconds configuration{5'000'000};
};

/// A violated guarantee and the events that show it.
struct violation {
    guarantee broken = guarantee::availability_budget;
    std::string message;
    std::vector<std::size_t> events; ///< indices of the fewest events that show it, in order
};

/// Checks every guarantee against the history alone, independently of the code that produced the history.
/// @param history events in order of time
/// @param bounds time limits of the guarantees
/// @param max_per_guarantee maximum number of violations reported for one guarantee
/// @return at most `max_per_guarantee` violations of each guarantee, earliest first
std::vector<violation> check_history(const std::vector<history_event>& history,
                                     const history_bounds& bounds = {}, std::size_t max_per_guarantee = 5);

/// @return the violation and its events, one per line
std::string describe(const violation& found, const std::vector<history_event>& history);

} // namespace hornbeamrail
