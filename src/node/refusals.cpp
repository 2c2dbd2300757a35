#include "node/refusals.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

#include <algorithm>
#include <array>

namespace hornbeamrail {

namespace {

struct error_kind {
    std::string_view error;
    int status;
    std::string_view remedy;
    bool service_failed; ///< caused by the service, not by the caller or the limit of its team
};

constexpr std::array error_kinds{
    error_kind{"bad_request", 400, "correct the request headers", false},
    error_kind{"no_key", 401, "send the team's key in the Authorization header", false},
    error_kind{"unknown_key", 401, "send a key that the operators have granted", false},
    error_kind{"revoked_key", 401, "request a new key from the operators", false},
    error_kind{"wrong_team", 403, "ask the operators to add the service to the team", false},
    error_kind{"unknown_service", 404, "use the name of a service in the fleet configuration", false},
    error_kind{"duplicate", 409, "do not submit this id again; use a new id for new work", false},
    error_kind{"stale_epoch", 409, "check whether the work ran before submitting it under a new epoch",
               false},
    error_kind{"limit_reached", 429, "repeat after the stated time or request a higher upper limit", false},
    error_kind{"queue_full", 429, "repeat after the stated time", true},
    error_kind{"deadline_infeasible", 429, "repeat after the stated time or with a longer deadline", true},
    error_kind{"backend_failed", 502, "repeat the request if it is idempotent or did not run", true},
    error_kind{"not_fresh", 503, "repeat through another entry node", true},
    error_kind{"stopping", 503, "repeat through another entry node", false},
    error_kind{"zone_out", 503, "repeat once a zone of the service is back", true},
    error_kind{"dependency_short", 503, "repeat later; a service that this one needs is short of capacity",
               true},
    error_kind{"claim_unavailable", 503, "repeat the request with the same id", true},
    error_kind{"deadline_exceeded", 504, "repeat with a longer deadline", true},
};

const error_kind& kind_of_error(std::string_view error) {
    const auto* found = std::find_if(error_kinds.begin(), error_kinds.end(),
                                     [&](const auto& kind) { return kind.error == error; });
    return found == error_kinds.end() ? error_kinds.front() : *found;
}

} // namespace

std::string_view to_string(run_outcome outcome) noexcept {
    switch (outcome) {
    case run_outcome::not_run:
        return "not_run";
    case run_outcome::unknown:
        return "unknown";
    case run_outcome::ran:
        return "ran";
    }
    return "unknown";
}

refusal make_refusal(std::string_view error, run_outcome outcome, std::string message,
                     std::optional<std::chrono::milliseconds> retry_after) {
    const auto& kind = kind_of_error(error);
    if (kind.status == 429 && !retry_after) {
        retry_after = std::chrono::seconds(1);
    }
    return {.error = std::string(error),
            .status = kind.status,
            .outcome = outcome,
            .message = std::move(message),
            .remedy = std::string(kind.remedy),
            .retry_after = kind.status == 429 ? retry_after : std::nullopt};
}

bool counts_as_failure(const refusal& answer) {
    return kind_of_error(answer.error).service_failed;
}

void refusal_log::add(entry item) {
    ++this->counts[item.error];
    this->recent.push_back(std::move(item));
    if (this->recent.size() > max_entries) {
        this->recent.pop_front();
    }
}

boost::json::value refusal_log::dump(boot_time now) const {
    boost::json::object counters;
    for (const auto& [error, count] : this->counts) {
        counters[error] = count;
    }
    boost::json::array entries;
    for (const auto& item : this->recent) {
        entries.push_back(boost::json::object{
            {"age_ms", std::chrono::duration_cast<std::chrono::milliseconds>(now - item.at).count()},
            {"service", item.service},
            {"team", item.team},
            {"request_id", item.request_id},
            {"error", item.error},
            {"outcome", to_string(item.outcome)},
            {"message", item.message}});
    }
    return boost::json::object{{"counts", std::move(counters)}, {"last", std::move(entries)}};
}

} // namespace hornbeamrail
