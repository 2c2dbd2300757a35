#pragma once

#include "node/dispatcher.hpp"

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace hornbeamrail {

/// Makes a refusal with the status and remedy that belong to an error name of the request interface.
/// @param outcome what the caller may conclude
/// @param message what happened
refusal make_refusal(std::string_view error, run_outcome outcome, std::string message,
                     std::optional<std::chrono::milliseconds> retry_after = std::nullopt);

/// @return whether an answer counts against the availability budget of the service: not if the caller or the
/// limits of
///         its own team caused it
bool counts_as_failure(const refusal& answer);

/// Counters of refusals and the reasons of the last ones.
class refusal_log {
public:
    struct entry {
        boot_time at{};
        std::string service;
        std::string team;
        std::string request_id;
        std::string error;
        run_outcome outcome = run_outcome::not_run;
        std::string message;
    };

    void add(entry item);
    [[nodiscard]] boost::json::value dump(boot_time now) const;

    static constexpr std::size_t kept = 32;

private:
    std::deque<entry> last;
    std::map<std::string, std::int64_t> counts;
};

} // namespace hornbeamrail
