#include "fakes/history_checker.hpp"

#include "fakes/fake_executor.hpp"
#include "fakes/history_index.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <sstream>
#include <utility>

namespace hornbeamrail {

namespace {

using namespace history_detail;

/// Interval in which an operator's change or a leaving VM forbids the start of new work.
struct forbidden_interval {
    size_t cause = no_index; ///< the change_accepted or vm_leaving event
    boot_time from;
    boot_time until = no_time;
};

/// Checks one history and collects the violations.
class checker {
public:
    checker(const std::vector<history_event>& events, const history_bounds& time_bounds,
            size_t max_violations)
        : history(events), index(events), bounds(time_bounds), max_per_guarantee(max_violations) {}

    std::vector<violation> run() {
        this->check_availability();
        this->check_pools();
        this->check_keys();
        this->check_limits();
        this->check_zones();
        this->check_answers();
        this->check_refusals();
        this->check_at_most_once();
        this->check_leaving_servers();
        this->check_stops();
        this->check_configuration();
        return std::move(this->found);
    }

private:
    void add(guarantee broken, std::string message, std::vector<size_t> events) {
        const auto reported = std::ranges::count(this->found, broken, &violation::broken);
        if (static_cast<size_t>(reported) >= this->max_per_guarantee) {
            return;
        }
        std::erase(events, no_index);
        std::ranges::sort(events);
        events.erase(std::unique(events.begin(), events.end()), events.end());
        this->found.push_back({broken, std::move(message), std::move(events)});
    }

    /// Team of a key by the operators' grants, with the events that granted and revoked it.
    struct key_grant {
        std::string team;
        size_t submitted = no_index;
        size_t revoked = no_index; ///< change_accepted of the revocation
    };
    [[nodiscard]] std::map<std::string, key_grant> key_grants() const {
        std::map<std::string, key_grant> grants;
        for (const auto& [id, change] : this->index.changes) {
            if (change.submitted == no_index || change.rejected) {
                continue;
            }
            const history_event& event = this->index.at(change.submitted);
            key_grant& grant = grants[event.key];
            if (event.text == "key_grant") {
                grant.team = event.team;
                grant.submitted = change.submitted;
            } else if (event.text == "key_revoke" && change.accepted != no_index) {
                grant.revoked = std::min(grant.revoked, change.accepted);
            }
        }
        return grants;
    }

    /// @return the team under which an attempt runs, or "" if it may not run
    [[nodiscard]] std::string team_of(const attempt_trace& attempt,
                                      const std::map<std::string, key_grant>& grants) const {
        if (attempt.invoke == no_index) {
            return {};
        }
        const history_event& invoke = this->index.at(attempt.invoke);
        if (invoke.key.empty()) {
            const auto service = this->index.services.find(invoke.service);
            const bool open = service != this->index.services.end() && this->index.at(service->second).open;
            return open ? this->index.at(service->second).team : std::string();
        }
        const auto grant = grants.find(invoke.key);
        return grant == grants.end() ? std::string() : grant->second.team;
    }

    // 1. Every service stays within its availability budget.
    void check_availability();
    [[nodiscard]] bool is_failure(const std::vector<const attempt_trace*>& attempts) const;
    [[nodiscard]] bool was_full(const history_event& refusal, const std::string& team) const;
    [[nodiscard]] bool had_no_capacity(const attempt_trace& attempt, const history_event& refusal) const;
    void record_unit_timelines();

    // 2. Each VM belongs to exactly one pool.
    void check_pools() {
        std::map<std::int64_t, size_t> first_view;
        std::map<std::string, size_t> pool_events;
        for (size_t i = 0; i < this->history.size(); ++i) {
            const history_event& event = this->history[i];
            if (event.kind == event_kind::pool_view) {
                this->check_pool_view(i);
                const auto [seen, added] = first_view.emplace(event.version, i);
                if (!added && this->index.at(seen->second).body != event.body) {
                    this->add(
                        guarantee::one_pool_per_vm,
                        fmt::format("two nodes assign a VM to different pools at offset {}", event.version),
                        {seen->second, i});
                }
            } else if (event.kind == event_kind::vm_in_pool) {
                pool_events[event.vm] = i;
            } else if (event.kind == event_kind::run_start) {
                const auto service = this->index.services.find(event.service);
                const auto vm = pool_events.find(event.vm);
                if (service != this->index.services.end() && vm != pool_events.end() &&
                    this->index.at(service->second).pool != this->index.at(vm->second).pool) {
                    this->add(guarantee::one_pool_per_vm,
                              fmt::format("VM {} runs service {} outside its pool", event.vm, event.service),
                              {vm->second, i});
                }
            }
        }
    }

    void check_pool_view(size_t index_of_view) {
        std::istringstream pairs(this->history[index_of_view].body);
        std::set<std::string> seen;
        for (std::string pair; pairs >> pair;) {
            const auto separator = pair.find('=');
            if (!seen.insert(pair.substr(0, separator)).second || separator + 1 >= pair.size()) {
                this->add(guarantee::one_pool_per_vm,
                          fmt::format("a node assigns VM {} to no pool or to two", pair.substr(0, separator)),
                          {index_of_view});
            }
        }
    }

    // 3. Work runs only under the team whose key was presented; a revoked key becomes invalid.
    void check_keys() {
        const auto grants = this->key_grants();
        for (const auto& [id, attempt] : this->index.attempts) {
            if (attempt.runs.empty()) {
                continue;
            }
            if (attempt.invoke == no_index) {
                this->add(guarantee::key_of_team, "work runs without a request", {attempt.runs.front()});
                continue;
            }
            const history_event& invoke = this->index.at(attempt.invoke);
            const std::string team = this->team_of(attempt, grants);
            if (team.empty()) {
                this->add(guarantee::key_of_team, "work runs without a valid key on a queue that is not open",
                          {attempt.invoke, attempt.runs.front()});
                continue;
            }
            this->check_team_may_use(attempt, team, invoke);
            const auto grant = grants.find(invoke.key);
            if (grant == grants.end()) {
                continue;
            }
            if (this->index.time(grant->second.submitted) > this->index.time(attempt.runs.front())) {
                this->add(guarantee::key_of_team, "work runs under a key before the key was granted",
                          {attempt.runs.front(), grant->second.submitted});
            }
            if (grant->second.revoked != no_index &&
                invoke.at > this->index.time(grant->second.revoked) + this->bounds.revoked_key) {
                this->add(guarantee::key_of_team,
                          fmt::format("key {} is still valid {:.1f} s after its revocation was accepted",
                                      invoke.key,
                                      seconds(invoke.at - this->index.time(grant->second.revoked))),
                          {grant->second.revoked, attempt.invoke, attempt.runs.front()});
            }
        }
    }

    void check_team_may_use(const attempt_trace& attempt, const std::string& team,
                            const history_event& invoke) {
        const auto defined = this->index.teams.find(team);
        if (defined == this->index.teams.end()) {
            return;
        }
        const auto& services = this->index.at(defined->second).names;
        if (!invoke.key.empty() && std::ranges::find(services, invoke.service) == services.end()) {
            this->add(
                guarantee::key_of_team,
                fmt::format("team {} runs work on service {}, which it may not use", team, invoke.service),
                {defined->second, attempt.invoke, attempt.runs.front()});
        }
    }

    // 4. No team has more units running than its upper limit.
    /// Interval in which an upper limit may be in force on some node.
    struct limit_phase {
        boot_time from;
        boot_time until = no_time;
        std::int64_t units = 0;
        size_t cause = no_index;
    };
    [[nodiscard]] std::map<std::string, std::vector<limit_phase>> limit_phases() const;
    void check_limits();

    // 5. No task starts in a zone that is out.
    void check_zones() {
        const auto forbidden =
            this->forbidden_intervals("zone_out", "zone_in", &history_event::zone, this->bounds.zone_out);
        this->check_forbidden_starts(forbidden, &history_event::zone, guarantee::zone_out,
                                     "work starts in zone {} {:.1f} s after its zone-out was accepted");
    }

    // 6. Each caller receives the complete answer to its own request.
    void check_answers() {
        for (const auto& [id, attempt] : this->index.attempts) {
            if (attempt.answers.size() > 1) {
                auto events = attempt.answers;
                events.push_back(attempt.invoke);
                this->add(guarantee::own_answer, "a request received more than one answer",
                          std::move(events));
            }
            for (const size_t answer : attempt.answers) {
                this->check_answer(attempt, answer);
            }
        }
    }

    void check_answer(const attempt_trace& attempt, size_t answer) {
        const history_event& event = this->index.at(answer);
        if (attempt.invoke == no_index) {
            this->add(guarantee::own_answer, "an answer to a request that was not sent", {answer});
            return;
        }
        if (event.status != 200) {
            return;
        }
        const std::string expected = fake_executor::answer_body(this->index.at(attempt.invoke).body);
        if (!event.complete || event.body != expected) {
            this->add(guarantee::own_answer,
                      "a caller received an incomplete answer or the answer to another request",
                      {attempt.invoke, answer});
            return;
        }
        const bool ran = std::ranges::any_of(attempt.runs, [&](size_t run) { return run < answer; });
        if (!ran) {
            this->add(guarantee::own_answer, "a caller received a result before its request ran",
                      {attempt.invoke, answer});
        }
    }

    // 7. A refusal stating that the work did not run is true.
    void check_refusals() {
        for (const auto& [id, attempt] : this->index.attempts) {
            for (const size_t answer : attempt.answers) {
                const history_event& event = this->index.at(answer);
                if (event.status != 200 && event.outcome == "not_run" && !attempt.runs.empty()) {
                    this->add(guarantee::true_refusal,
                              fmt::format("refused with outcome not_run ({}), but the work ran", event.text),
                              {attempt.invoke, attempt.runs.front(), answer});
                }
            }
        }
    }

    // 8. A request marked as non-idempotent runs at most once.
    void check_at_most_once() {
        std::map<std::string, std::vector<size_t>> runs;
        for (const auto& [id, attempt] : this->index.attempts) {
            if (attempt.invoke != no_index && !this->index.at(attempt.invoke).idempotent) {
                auto& all = runs[id.first];
                all.insert(all.end(), attempt.runs.begin(), attempt.runs.end());
            }
        }
        for (auto& [request, starts] : runs) {
            if (starts.size() > 1) {
                std::ranges::sort(starts);
                std::vector<size_t> events{starts[0], starts[1]};
                for (const size_t start : {starts[0], starts[1]}) {
                    events.push_back(
                        this->index.attempts.at({request, this->index.at(start).attempt}).invoke);
                }
                this->add(guarantee::at_most_once,
                          fmt::format("non-idempotent request {} ran {} times", request, starts.size()),
                          std::move(events));
            }
        }
    }

    // 9. A leaving backend server receives no new work.
    void check_leaving_servers() {
        auto forbidden =
            this->forbidden_intervals("vm_out", "vm_in", &history_event::vm, this->bounds.leaving_server);
        for (size_t i = 0; i < this->history.size(); ++i) {
            const history_event& event = this->history[i];
            if (event.kind == event_kind::vm_leaving) {
                forbidden[event.vm].push_back({i, event.at + this->bounds.leaving_server, no_time});
            } else if (event.kind == event_kind::vm_returned || event.kind == event_kind::vm_ended) {
                for (forbidden_interval& interval : forbidden[event.vm]) {
                    if (this->index.at(interval.cause).kind == event_kind::vm_leaving &&
                        interval.until == no_time) {
                        interval.until = event.at;
                    }
                }
            }
        }
        this->check_forbidden_starts(forbidden, &history_event::vm, guarantee::leaving_server,
                                     "leaving VM {} receives new work {:.1f} s after it began to leave");
    }

    // 10. Every planned stop is a graceful shutdown.
    void check_stops() {
        std::map<std::string, size_t> stopping;
        for (size_t i = 0; i < this->history.size(); ++i) {
            const history_event& event = this->history[i];
            const std::string& subject = event.vm.empty() ? event.node : event.vm;
            if (event.kind == event_kind::stop_begin) {
                stopping[subject] = i;
            } else if (event.kind == event_kind::connection_lost && event.text == "stopped") {
                const auto& attempt = this->index.attempts.at({event.request, event.attempt});
                this->add(
                    guarantee::graceful_stop, "a planned stop of a node interrupted a request in progress",
                    {stopping.contains(event.node) ? stopping[event.node] : no_index, attempt.invoke, i});
            } else if (event.kind == event_kind::run_end && event.text == "stopped") {
                const size_t start = this->index.runs.at(event.run).start;
                const std::string& vm = start == no_index ? event.vm : this->index.at(start).vm;
                this->add(guarantee::graceful_stop, "a planned stop of a VM interrupted work in progress",
                          {stopping.contains(vm) ? stopping[vm] : no_index, start, i});
            }
        }
    }

    // 11. An accepted configuration is in force on every node within seconds and is never reverted.
    void check_configuration();
    void check_view_interval(size_t view, boot_time until);

    [[nodiscard]] std::map<std::string, std::vector<forbidden_interval>>
    forbidden_intervals(std::string_view out, std::string_view back, std::string history_event::*subject,
                        std::chrono::microseconds bound) const;
    void check_forbidden_starts(const std::map<std::string, std::vector<forbidden_interval>>& forbidden,
                                std::string history_event::*subject, guarantee broken,
                                std::string_view format);

    static double seconds(std::chrono::microseconds value) {
        return static_cast<double>(value.count()) / 1e6;
    }

    const std::vector<history_event>& history;
    history_index index;
    history_bounds bounds;
    size_t max_per_guarantee;
    std::vector<violation> found;

    std::map<std::string, unit_timeline> units_of_service; ///< running
    std::map<std::string, unit_timeline> units_of_team;    ///< running
    std::map<std::string, unit_timeline> slots_of_service;
};

void checker::record_unit_timelines() {
    const auto grants = this->key_grants();
    std::map<std::string, std::int64_t> service_units;
    std::map<std::string, std::int64_t> team_units;
    capacity_tracker capacity(this->index);
    for (size_t i = 0; i < this->history.size(); ++i) {
        const history_event& event = this->history[i];
        capacity.update(event, this->slots_of_service);
        if (event.kind != event_kind::run_start && event.kind != event_kind::run_end) {
            continue;
        }
        const size_t start = this->index.runs.at(event.run).start;
        if (start == no_index) {
            continue;
        }
        const history_event& start_event = this->index.at(start);
        const std::int64_t delta =
            event.kind == event_kind::run_start ? start_event.units : -start_event.units;
        const std::string team =
            this->team_of(this->index.attempts.at({start_event.request, start_event.attempt}), grants);
        this->units_of_service[start_event.service].values.emplace_back(
            event.at, service_units[start_event.service] += delta);
        this->units_of_team[team].values.emplace_back(event.at, team_units[team] += delta);
    }
}

/// @return whether the pool or the team was near its limit: the peak use in the second before the refusal was
/// at least 80% of the available slots or of the initial upper limit. A refusal for lack of capacity is then
/// no failure of the service.
bool checker::was_full(const history_event& refusal, const std::string& team) const {
    const auto attempt = this->index.attempts.find({refusal.request, refusal.attempt});
    const std::string& service = this->index.at(attempt->second.invoke).service;
    const boot_time from = refusal.at - std::chrono::seconds(1);
    const auto highest = [&](const std::map<std::string, unit_timeline>& all, const std::string& name,
                             boot_time since) {
        const auto entry = all.find(name);
        return entry == all.end() ? 0 : entry->second.highest(since, refusal.at);
    };
    const std::int64_t usable = highest(this->slots_of_service, service, refusal.at);
    if (highest(this->units_of_service, service, from) * 5 >= usable * 4) {
        return true;
    }
    const auto defined = this->index.teams.find(team);
    return defined != this->index.teams.end() &&
           highest(this->units_of_team, team, from) * 5 >= this->index.at(defined->second).units * 4;
}

/// @return whether the service had no available slot at some time between the request and its refusal.
/// Operators may take every zone out at once; a refusal is then the expected result and no failure.
bool checker::had_no_capacity(const attempt_trace& attempt, const history_event& refusal) const {
    const history_event& invoke = this->index.at(attempt.invoke);
    const auto slots = this->slots_of_service.find(invoke.service);
    return slots != this->slots_of_service.end() && slots->second.lowest(invoke.at, refusal.at) == 0;
}

bool checker::is_failure(const std::vector<const attempt_trace*>& attempts) const {
    const auto grants = this->key_grants();
    bool failed = true;
    for (const attempt_trace* attempt : attempts) {
        if (attempt->lost != no_index && this->index.at(attempt->lost).text == "cancelled") {
            return false;
        }
        for (const size_t answer : attempt->answers) {
            const history_event& event = this->index.at(answer);
            if (event.status == 409) {
                continue; // Answer to a repeated submission; another submission decides the outcome.
            }
            const bool client_error =
                event.status >= 400 && event.status < 500 && event.status != 429 && event.status != 408;
            const bool shed = event.status == 429 || (event.status == 504 && event.outcome == "not_run");
            const bool full = shed && this->was_full(event, this->team_of(*attempt, grants));
            const bool excused =
                full || (event.outcome == "not_run" && this->had_no_capacity(*attempt, event));
            failed = failed && event.status != 200 && !client_error && !excused;
        }
    }
    return failed;
}

void checker::check_availability() {
    if (this->history.empty()) {
        return;
    }
    this->record_unit_timelines();
    std::map<std::string, std::vector<const attempt_trace*>> by_request;
    for (const auto& [id, attempt] : this->index.attempts) {
        if (attempt.invoke != no_index) {
            by_request[id.first].push_back(&attempt);
        }
    }
    const boot_time end = this->history.back().at;
    const auto length = std::max(end - this->history.front().at, std::chrono::microseconds(1));
    std::map<std::string, std::int64_t> requests;
    std::map<std::string, std::vector<size_t>> failures;
    for (const auto& [id, attempts] : by_request) {
        const history_event& first = this->index.at(attempts.front()->invoke);
        if (attempts.back()->answers.empty() &&
            this->index.at(attempts.back()->invoke).at + first.duration > end) {
            continue; // The history ends before the deadline.
        }
        ++requests[first.service];
        if (this->is_failure(attempts)) {
            failures[first.service].push_back(
                attempts.back()->answers.empty() ? attempts.back()->invoke : attempts.back()->answers.back());
        }
    }
    for (const auto& [service, defined] : this->index.services) {
        // The budget is defined over the window. The failures of a shorter history count against the budget
        // of the whole window, which is computed from the history's mean request rate.
        const history_event& definition = this->index.at(defined);
        const double histories_per_window = std::max(1.0, seconds(definition.duration) / seconds(length));
        const double allowed =
            definition.max_failed_fraction * histories_per_window * static_cast<double>(requests[service]);
        auto& failed = failures[service];
        if (static_cast<double>(failed.size()) > allowed) {
            std::ranges::sort(failed);
            std::vector<size_t> events(failed.begin(),
                                       failed.begin() + std::min<std::ptrdiff_t>(5, std::ssize(failed)));
            events.push_back(defined);
            this->add(guarantee::availability_budget,
                      fmt::format("service {} failed {} of {} requests; its budget for the window is {:.0f}",
                                  service, failed.size(), requests[service], allowed),
                      std::move(events));
        }
    }
}

std::map<std::string, std::vector<checker::limit_phase>> checker::limit_phases() const {
    std::map<std::string, std::vector<limit_phase>> phases;
    for (const auto& [team, defined] : this->index.teams) {
        phases[team].push_back({boot_time::min(), no_time, this->index.at(defined).units, defined});
    }
    for (const auto& [id, change] : this->index.changes) {
        if (change.submitted == no_index || change.rejected ||
            this->index.at(change.submitted).text != "config") {
            continue;
        }
        const history_event& submitted = this->index.at(change.submitted);
        if (submitted.team.empty()) {
            continue;
        }
        phases[submitted.team].push_back({submitted.at, no_time, submitted.units, change.submitted});
    }
    // A limit ends when a later limit is in force on every node.
    for (const auto& [id, change] : this->index.changes) {
        if (change.accepted == no_index || this->index.at(change.accepted).text != "config") {
            continue;
        }
        const history_event& accepted = this->index.at(change.accepted);
        for (limit_phase& phase : phases[accepted.team]) {
            const history_event& cause = this->index.at(phase.cause);
            const auto earlier = this->index.changes.find(cause.change_id);
            const bool superseded =
                cause.kind == event_kind::team_defined ||
                (earlier->second.accepted != no_index && earlier->second.version < change.version);
            if (superseded) {
                phase.until = std::min(phase.until, accepted.at + this->bounds.configuration);
            }
        }
    }
    return phases;
}

void checker::check_limits() {
    const auto phases = this->limit_phases();
    const auto grants = this->key_grants();
    const auto allowed_at = [&](const std::string& team, boot_time at) {
        std::pair<std::int64_t, size_t> allowed{0, no_index};
        for (const limit_phase& phase : phases.at(team)) {
            if (phase.from <= at && at < phase.until) {
                allowed = std::max(allowed, {phase.units, phase.cause});
            }
        }
        return allowed;
    };
    struct running_work {
        std::int64_t allowed = 0; ///< the limit when it started
        std::int64_t units = 0;
        size_t start = no_index;
    };
    std::map<std::string, std::map<std::int64_t, running_work>> running;
    std::map<std::string, std::map<std::int64_t, std::int64_t>> sums; ///< team -> limit at the start -> units
    for (size_t i = 0; i < this->history.size(); ++i) {
        const history_event& event = this->history[i];
        if (event.kind != event_kind::run_start && event.kind != event_kind::run_end) {
            continue;
        }
        const size_t start = this->index.runs.at(event.run).start;
        if (start == no_index) {
            continue;
        }
        const history_event& start_event = this->index.at(start);
        const std::string team =
            this->team_of(this->index.attempts.at({start_event.request, start_event.attempt}), grants);
        if (!phases.contains(team)) {
            continue;
        }
        if (event.kind == event_kind::run_end) {
            if (const auto ended = running[team].find(event.run); ended != running[team].end()) {
                sums[team][ended->second.allowed] -= ended->second.units;
                running[team].erase(ended);
            }
            continue;
        }
        const auto [allowed, cause] = allowed_at(team, event.at);
        running[team][event.run] = {allowed, event.units, i};
        sums[team][allowed] += event.units;
        // Work that started before a limit was lowered runs to its end and does not count against the new
        // limit.
        std::int64_t counted = 0;
        for (auto sum = sums[team].begin(); sum != sums[team].end() && sum->first <= allowed; ++sum) {
            counted += sum->second;
        }
        if (counted > allowed) {
            std::vector<size_t> events{cause};
            for (const auto& [run, work] : running[team]) {
                events.push_back(work.start);
            }
            this->add(
                guarantee::upper_limit,
                fmt::format("team {} has {} units running; its upper limit is {}", team, counted, allowed),
                std::move(events));
        }
    }
}

std::map<std::string, std::vector<forbidden_interval>>
checker::forbidden_intervals(std::string_view out, std::string_view back, std::string history_event::*subject,
                             std::chrono::microseconds bound) const {
    std::map<std::string, std::vector<forbidden_interval>> intervals;
    for (const auto& [id, change] : this->index.changes) {
        if (change.accepted == no_index || this->index.at(change.accepted).text != out) {
            continue;
        }
        const history_event& accepted = this->index.at(change.accepted);
        forbidden_interval interval{change.accepted, accepted.at + bound, no_time};
        for (const auto& [other_id, other] : this->index.changes) {
            // The opposite change (`back`) ends the interval at the time of its submission if it may follow
            // in the log.
            if (other.submitted == no_index || other.rejected ||
                this->index.at(other.submitted).text != back ||
                this->index.at(other.submitted).*subject != accepted.*subject) {
                continue;
            }
            if (other.version == 0 || other.version > change.version) {
                interval.until = std::min(interval.until, this->index.time(other.submitted));
            }
        }
        intervals[accepted.*subject].push_back(interval);
    }
    return intervals;
}

void checker::check_forbidden_starts(const std::map<std::string, std::vector<forbidden_interval>>& forbidden,
                                     std::string history_event::*subject, guarantee broken,
                                     std::string_view format) {
    for (size_t i = 0; i < this->history.size(); ++i) {
        const history_event& event = this->history[i];
        const auto intervals = forbidden.find(event.*subject);
        if (event.kind != event_kind::run_start || intervals == forbidden.end()) {
            continue;
        }
        for (const forbidden_interval& interval : intervals->second) {
            if (event.at > interval.from && event.at < interval.until) {
                const double delay = seconds(event.at - this->index.time(interval.cause));
                this->add(broken, fmt::format(fmt::runtime(format), event.*subject, delay),
                          {interval.cause, i});
            }
        }
    }
}

void checker::check_view_interval(size_t view, boot_time until) {
    const history_event& event = this->history[view];
    if (!event.fresh) {
        return;
    }
    for (const auto& [id, change] : this->index.changes) {
        if (change.accepted == no_index || this->index.at(change.accepted).text != "config") {
            continue;
        }
        const boot_time deadline = this->index.time(change.accepted) + this->bounds.configuration;
        if (event.version < change.version && std::max(deadline, event.at) < until) {
            this->add(
                guarantee::configuration_in_force,
                fmt::format("node {} still runs configuration {} more than {:.0f} s after {} was accepted",
                            event.node, event.version, seconds(this->bounds.configuration), change.version),
                {change.accepted, view});
        }
    }
}

void checker::check_configuration() {
    std::map<std::string, size_t> newest;
    std::map<std::int64_t, size_t> first_views;
    const boot_time end = this->history.empty() ? boot_time::min() : this->history.back().at;
    for (size_t i = 0; i < this->history.size(); ++i) {
        const history_event& event = this->history[i];
        if (event.kind != event_kind::node_view && event.kind != event_kind::node_end) {
            continue;
        }
        const auto previous = newest.find(event.node);
        if (previous != newest.end()) {
            this->check_view_interval(previous->second, event.at);
        }
        if (event.kind == event_kind::node_end) {
            newest.erase(event.node);
            continue;
        }
        if (previous != newest.end() && this->index.at(previous->second).version > event.version) {
            this->add(guarantee::configuration_in_force,
                      fmt::format("node {} reverted from configuration {} to {}", event.node,
                                  this->index.at(previous->second).version, event.version),
                      {previous->second, i});
        }
        const auto [first, added] = first_views.emplace(event.version, i);
        if (!added && this->index.at(first->second).body != event.body) {
            this->add(guarantee::configuration_in_force,
                      fmt::format("two nodes hold different contents of configuration {}", event.version),
                      {first->second, i});
        }
        newest[event.node] = i;
    }
    for (const auto& [node, view] : newest) {
        this->check_view_interval(view, end);
    }
}

} // namespace

std::string to_string(guarantee value) {
    static constexpr std::array<std::string_view, guarantee_count> names{"availability_budget",
                                                                         "one_pool_per_vm",
                                                                         "key_of_team",
                                                                         "upper_limit",
                                                                         "zone_out",
                                                                         "own_answer",
                                                                         "true_refusal",
                                                                         "at_most_once",
                                                                         "leaving_server",
                                                                         "graceful_stop",
                                                                         "configuration_in_force"};
    const auto number = static_cast<int>(value);
    return fmt::format("{} {}", number, names.at(static_cast<size_t>(number - 1)));
}

std::vector<violation> check_history(const std::vector<history_event>& history, const history_bounds& bounds,
                                     std::size_t max_per_guarantee) {
    return checker(history, bounds, max_per_guarantee).run();
}

std::string describe(const violation& found, const std::vector<history_event>& history) {
    std::string text = fmt::format("guarantee {}: {}\n", to_string(found.broken), found.message);
    for (const size_t event : found.events) {
        text += "  " + to_string(history[event]) + "\n";
    }
    return text;
}

} // namespace hornbeamrail
