#include "cli/demo_report.hpp"

#include "cli/json_table.hpp"
#include "protocol/durations.hpp"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <unordered_map>

namespace hornbeamrail::cli {

namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

/// @return the largest number of requests of @p team that ran at the same time
std::int64_t peak_running(const demo_record& record, const std::string& team) {
    std::vector<std::pair<boot_time, int>> changes;
    for (const auto& start : record.starts) {
        if (start.team == team) {
            changes.emplace_back(start.started, 1);
            changes.emplace_back(start.ends, -1);
        }
    }
    // At the same instant, an end (-1) sorts before a start (+1).
    std::sort(changes.begin(), changes.end());
    std::int64_t running = 0;
    std::int64_t peak = 0;
    for (const auto& [at, change] : changes) {
        running += change;
        peak = std::max(peak, running);
    }
    return peak;
}

/// @return time from @p begin to the last start that @p matches, or nothing if there is none
template <class Matches>
std::optional<milliseconds> last_start_after(const demo_record& record, boot_time begin, Matches matches) {
    std::optional<milliseconds> last;
    for (const auto& start : record.starts) {
        if (start.started >= begin && matches(start)) {
            last =
                std::max(last.value_or(milliseconds(0)), duration_cast<milliseconds>(start.started - begin));
        }
    }
    return last;
}

double quantile_ms(std::vector<double>& sorted, double fraction) {
    if (sorted.empty()) {
        return 0;
    }
    const auto rank = static_cast<std::size_t>(std::ceil(fraction * static_cast<double>(sorted.size())));
    return sorted[std::clamp<std::size_t>(rank, 1, sorted.size()) - 1];
}

boost::json::object phase_report(const demo_record& record, std::size_t phase) {
    std::map<caller_view, std::int64_t> counts;
    std::map<std::string, std::int64_t> errors;
    std::vector<double> latencies;
    for (const auto& request : record.requests) {
        if (request.phase != phase) {
            continue;
        }
        ++counts[request.view];
        if (request.view == caller_view::answered) {
            latencies.push_back(
                std::chrono::duration<double, std::milli>(request.done - request.sent).count());
        } else if (!request.error.empty()) {
            ++errors[request.error];
        }
    }
    std::sort(latencies.begin(), latencies.end());
    boost::json::object by_reason;
    for (const auto& [error, count] : errors) {
        by_reason[error] = count;
    }
    const auto& phase_times = record.phases[phase];
    return {{"phase", phase_times.name},
            {"seconds", seconds_of(phase_times.end - phase_times.begin)},
            {"answered", counts[caller_view::answered]},
            {"refused", counts[caller_view::refused]},
            {"unknown", counts[caller_view::unknown]},
            {"cut", counts[caller_view::cut]},
            {"unreached", counts[caller_view::unreached]},
            {"p50_ms", quantile_ms(latencies, 0.5)},
            {"p99_ms", quantile_ms(latencies, 0.99)},
            {"reasons", std::move(by_reason)}};
}

boost::json::array phase_reports(const demo_record& record) {
    boost::json::array phases;
    for (std::size_t phase = 0; phase < record.phases.size(); ++phase) {
        phases.push_back(phase_report(record, phase));
    }
    return phases;
}

boost::json::value or_null(const std::optional<milliseconds>& value) {
    return value ? boost::json::value(value->count()) : boost::json::value(nullptr);
}

std::string bound_line(std::string_view subject, const std::optional<milliseconds>& last,
                       milliseconds bound) {
    return last ? fmt::format("{}: {} ms after the change was accepted (bound {} ms)\n", subject,
                              last->count(), bound.count())
                : fmt::format("{}: no start after the change was accepted (bound {} ms)\n", subject,
                              bound.count());
}

} // namespace

bool demo_verdict::passed() const {
    return this->cut == 0 && this->doubled == 0 && this->wrong == 0 && this->false_not_run == 0 &&
           this->over_limit == 0 && this->zone_bound_met && this->key_bound_met && this->stop_ended;
}

demo_verdict check_guarantees(const demo_record& record) {
    std::unordered_map<std::string, std::int64_t> starts;
    for (const auto& start : record.starts) {
        ++starts[start.token];
    }
    demo_verdict verdict;
    for (const auto& request : record.requests) {
        const auto found = starts.find(request.token);
        const auto started = found == starts.end() ? 0 : found->second;
        verdict.cut += request.view == caller_view::cut ? 1 : 0;
        verdict.wrong +=
            request.wrong_answer || (request.view == caller_view::answered && started == 0) ? 1 : 0;
        verdict.doubled += !request.idempotent && started > 1 ? 1 : 0;
        verdict.false_not_run += request.view == caller_view::refused && started > 0 ? 1 : 0;
    }
    for (const auto& [team, limit] : record.upper_limits) {
        verdict.over_limit += peak_running(record, team) > limit ? 1 : 0;
    }
    if (record.zone_out_accepted) {
        verdict.last_start_in_zone =
            last_start_after(record, *record.zone_out_accepted, [&](const demo_start& start) {
                return start.zone == record.zone &&
                       (!record.zone_in_sent || start.started < *record.zone_in_sent);
            });
        verdict.zone_bound_met = verdict.last_start_in_zone.value_or(milliseconds(0)) <= zone_bound;
    }
    if (record.revoke_accepted) {
        verdict.last_start_of_key =
            last_start_after(record, *record.revoke_accepted,
                             [&](const demo_start& start) { return start.team == record.revoked_team; });
        verdict.key_bound_met = verdict.last_start_of_key.value_or(milliseconds(0)) <= key_bound;
    }
    verdict.stop_ended = record.node_stop.has_value();
    return verdict;
}

boost::json::object report_json(const demo_record& record, const demo_verdict& verdict) {
    boost::json::array teams;
    for (const auto& [team, limit] : record.upper_limits) {
        teams.push_back(
            {{"team", team}, {"upper_limit", limit}, {"peak_running", peak_running(record, team)}});
    }
    return {{"passed", verdict.passed()},
            {"phases", phase_reports(record)},
            {"teams", std::move(teams)},
            {"cut", verdict.cut},
            {"doubled", verdict.doubled},
            {"wrong", verdict.wrong},
            {"false_not_run", verdict.false_not_run},
            {"over_limit", verdict.over_limit},
            {"zone", record.zone},
            {"last_start_in_zone_ms", or_null(verdict.last_start_in_zone)},
            {"zone_bound_ms", zone_bound.count()},
            {"last_start_of_revoked_key_ms", or_null(verdict.last_start_of_key)},
            {"key_bound_ms", key_bound.count()},
            {"node_stop_ms", or_null(record.node_stop)}};
}

std::string report_text(const demo_record& record, const demo_verdict& verdict) {
    auto phases = phase_reports(record);
    for (auto& phase : phases) {
        std::string reasons;
        for (const auto& reason : phase.at("reasons").as_object()) {
            reasons += fmt::format("{}{} {}", reasons.empty() ? "" : ", ", std::string_view(reason.key()),
                                   boost::json::serialize(reason.value()));
        }
        phase.as_object()["reasons"] = reasons;
    }
    std::string text = format_table(phases, {"phase", "seconds", "answered", "refused", "unknown", "cut",
                                             "unreached", "p50_ms", "p99_ms", "reasons"});
    const auto report = report_json(record, verdict);
    text +=
        "\n" + format_table(report.at("teams").as_array(), {"team", "upper_limit", "peak_running"}) + "\n";
    text +=
        bound_line(fmt::format("last start in zone {}", record.zone), verdict.last_start_in_zone, zone_bound);
    text += bound_line("last start under the revoked key", verdict.last_start_of_key, key_bound);
    text += record.node_stop ? fmt::format("graceful stop of one node: {} ms\n", record.node_stop->count())
                             : std::string("graceful stop of one node: timed out\n");
    text +=
        fmt::format("cut {}, doubled {}, answered wrongly {}, refused as not run but started {}, "
                    "teams over their limit {}\n",
                    verdict.cut, verdict.doubled, verdict.wrong, verdict.false_not_run, verdict.over_limit);
    return text + (verdict.passed() ? "result: every check holds\n" : "result: FAILED\n");
}

} // namespace hornbeamrail::cli
