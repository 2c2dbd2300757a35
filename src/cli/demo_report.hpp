#pragma once

#include "protocol/platform.hpp"

#include <boost/json/object.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace hornbeamrail::cli {

/// Result of one request from the point of view of its caller.
enum class caller_view {
    answered,
    refused,   ///< refused with the outcome `not_run`
    unknown,   ///< refused with another outcome
    cut,       ///< the connection closed without an answer
    unreached, ///< no byte was sent; later requests go to another node
};

/// A request that a caller sent.
struct demo_request {
    std::string token;
    std::string team;
    std::size_t phase = 0;
    boot_time sent{};
    boot_time done{};
    caller_view view = caller_view::cut;
    std::string error; ///< name of the error in the refusal
    bool idempotent = true;
    bool wrong_answer = false; ///< the answer is not the one to this request
};

/// The start of a request, recorded by the executor.
struct demo_start {
    std::string token;
    std::string team;
    std::string zone;
    boot_time started{};
    boot_time ends{};
};

/// A named interval of the run.
struct demo_phase {
    std::string name;
    boot_time begin{};
    boot_time end{};
};

/// Everything that was recorded in one run of the demo.
struct demo_record {
    std::vector<demo_phase> phases;
    std::vector<demo_request> requests;
    std::vector<demo_start> starts;
    std::string zone;
    std::optional<boot_time> zone_out_accepted;
    std::optional<boot_time> zone_in_sent;
    std::string revoked_team;
    std::optional<boot_time> revoke_accepted;
    std::map<std::string, std::int64_t> upper_limits;   ///< units by team
    std::optional<std::chrono::milliseconds> node_stop; ///< absent if the stop timed out
};

/// Which guarantees held in a run, with counts of the violations.
struct demo_verdict {
    std::int64_t cut = 0;           ///< requests whose connection closed without an answer
    std::int64_t doubled = 0;       ///< non-idempotent requests that started more than once
    std::int64_t wrong = 0;         ///< answers to another request or without a start
    std::int64_t false_not_run = 0; ///< refused as not run although an executor started them
    std::int64_t over_limit = 0;    ///< teams that had more running than their upper limit
    std::optional<std::chrono::milliseconds> last_start_in_zone; ///< after zone-out was accepted
    std::optional<std::chrono::milliseconds> last_start_of_key;  ///< after the revocation was accepted
    bool zone_bound_met = true; ///< no start in the zone later than `zone_bound` after zone-out
    bool key_bound_met = true;  ///< no start under the key later than `key_bound` after its revocation
    bool stop_ended = true;

    /// @return whether every guarantee held
    [[nodiscard]] bool passed() const;
};

inline constexpr std::chrono::milliseconds zone_bound{3000}; ///< guarantee 5: zone out
inline constexpr std::chrono::milliseconds key_bound{5000};  ///< guarantee 3: key of the team

/// Checks the guarantees that can be decided from the record of a run.
demo_verdict check_guarantees(const demo_record& record);

/// @return the report as JSON: results by phase and by team, and the verdict
boost::json::object report_json(const demo_record& record, const demo_verdict& verdict);

/// @return the report as text with tables
std::string report_text(const demo_record& record, const demo_verdict& verdict);

} // namespace hornbeamrail::cli
