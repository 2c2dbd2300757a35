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
/// @param outcome whether the request may have run
/// @param message human-readable cause
/// @param retry_after used only for status 429; without a value it is 1 s
refusal make_refusal(std::string_view error, run_outcome outcome, std::string message,
                     std::optional<std::chrono::milliseconds> retry_after = std::nullopt);

/// @return whether an answer counts against the availability budget of the service; it does not when the
///         caller or the limits of its team caused it
bool counts_as_failure(const refusal& answer);

/// Counts refusals by error and keeps the most recent ones. Not thread-safe.
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

    static constexpr std::size_t max_entries = 32;

private:
    std::deque<entry> recent;
    std::map<std::string, std::int64_t> counts;
};

} // namespace hornbeamrail
