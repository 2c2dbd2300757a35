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

/// What a caller saw of one request.
enum class caller_view {
    answered,
    refused,   ///< refused with the outcome `not_run`
    unknown,   ///< refused with another outcome
    cut,       ///< the connection broke off without an answer
    unreached, ///< no byte was sent; the caller tried another node
};

struct demo_request {
    std::string token;
    std::string team;
    std::size_t phase = 0;
    boot_time sent{};
    boot_time done{};
    caller_view view = caller_view::cut;
    std::string error; ///< name of the refusal
    bool idempotent = true;
    bool wrong_answer = false; ///< answered with something else than the answer to this request
};

/// A start of a request as the executor saw it.
struct demo_start {
    std::string token;
    std::string team;
    std::string zone;
    boot_time started{};
    boot_time ends{};
};

struct demo_phase {
    std::string name;
    boot_time begin{};
    boot_time end{};
};

/// Everything recorded in one run.
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
    std::optional<std::chrono::milliseconds> node_stop; ///< absent when the stop did not end
};

struct demo_verdict {
    std::int64_t cut = 0;
    std::int64_t doubled = 0;       ///< non-idempotent requests that started more than once
    std::int64_t wrong = 0;         ///< answers to another request
    std::int64_t false_not_run = 0; ///< refused as not run although an executor started them
    std::int64_t over_limit = 0;    ///< teams that had more running than their upper limit
    std::optional<std::chrono::milliseconds> last_start_in_zone; ///< after zone-out was accepted
    std::optional<std::chrono::milliseconds> last_start_of_key;  ///< after the revocation was accepted
    bool zone_kept = true; ///< no start in the zone later than `zone_bound`
    bool key_kept = true;  ///< no start under the key later than `key_bound`
    bool stop_ended = true;

    [[nodiscard]] bool passed() const;
};

inline constexpr std::chrono::milliseconds zone_bound{3000}; ///< guarantee 5
inline constexpr std::chrono::milliseconds key_bound{5000};  ///< guarantee 3

/// Decides the guarantees that the demo can see from its record alone.
demo_verdict judge(const demo_record& record);

/// @return the record by phase and the verdict
boost::json::object report_of(const demo_record& record, const demo_verdict& verdict);

/// @return the report for a reader
std::string report_text(const demo_record& record, const demo_verdict& verdict);

} // namespace hornbeamrail::cli
