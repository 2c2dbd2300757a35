#include "scheduler/scheduler_impl.hpp"

#include "protocol/durations.hpp"
#include "protocol/json_log.hpp"

#include <algorithm>

// Places near the data or the group of a task: what is expected of a rack, who waits for it, and who wants
// it. None of it is stored. A successor learns the claims from the jobs in the log and lets no task wait at
// first.

namespace hornbeamrail {

namespace {

using std::chrono::milliseconds;

/// A task whose start is being recorded or in flight counts as running from its placement on.
milliseconds running_time(const task_progress& task, boot_time now) {
    return std::max(milliseconds(0), to_millis(now - task.placed_at));
}

} // namespace

bool scheduler::impl::is_near_sensitive(const step_spec& step) const {
    const bool has_preference = !step.data_rack.empty() || step.rack_sensitive;
    return has_preference && this->options.limits.remote_slowdown > 1 && !step.long_running &&
           !step.best_effort;
}

bool scheduler::impl::may_wait_near(const pending_occurrence& item, const step_spec& step,
                                    boot_time now) const {
    // Jobs of later classes are overtaken by those that arrive meanwhile.
    return this->is_near_sensitive(step) && item.rank.job_class == scheduling_class::on_time &&
           now >= this->term_begin + this->timings.near_wait_warmup && !this->log_is_late(now) &&
           !item.job->held_back_since;
}

double scheduler::impl::slowdown_on(const step_spec& step, const worker_control& worker) const {
    const bool is_far = !step.data_rack.empty() && worker.entry.rack() != step.data_rack;
    return is_far ? std::max(1.0, this->options.limits.remote_slowdown) : 1.0;
}

near_target scheduler::impl::find_near_target(const pending_occurrence& item, std::int32_t number,
                                              std::string_view group_rack, boot_time now) const {
    const auto& job = *item.job;
    const auto& step = job.spec.steps[static_cast<std::size_t>(number)];
    if (!this->may_wait_near(item, step, now)) {
        return {};
    }
    return {.rack = step.data_rack.empty() ? group_rack : std::string_view(step.data_rack),
            .work = this->durations.expected(job.spec.queue, step.estimate),
            .slack = milliseconds(item.rank.slack_ms)};
}

std::optional<std::string_view> scheduler::impl::rack_of_placed(const step_progress& step) const {
    std::optional<std::string_view> rack;
    for (const auto& task : step.tasks) {
        const bool is_placed = task.phase == run_phase::placed || task.phase == run_phase::running;
        const auto worker = is_placed ? this->workers.find(task.worker) : this->workers.end();
        if (worker == this->workers.end()) {
            continue;
        }
        const auto used = worker->second.entry.rack();
        if (rack && *rack != used) {
            return std::string_view();
        }
        rack = used;
    }
    return rack;
}

group_choice scheduler::impl::choose_group_rack(const pending_occurrence& item, std::int32_t number,
                                                const placement_request& request,
                                                accepting_workers& candidates, boot_time now) {
    auto& job = *item.job;
    const auto& step = job.spec.steps[static_cast<std::size_t>(number)];
    auto& progress = job.occurrence(item.occurrence).steps[static_cast<std::size_t>(number)];
    const auto& views = candidates.views;
    const auto room = step.rack_sensitive ? choose_rack(views, request.need, step.count) : std::string_view();
    const bool has_data = !step.data_rack.empty();
    if (this->is_near_sensitive(step) && progress.active() > 0) {
        return {.rack = this->rack_of_placed(progress).value_or(std::string_view())};
    }
    const auto first = std::find_if(progress.tasks.begin(), progress.tasks.end(),
                                    [](const auto& task) { return task.phase == run_phase::waiting; });
    const bool is_one_group = step.gang || !has_data; // otherwise each task waits for itself
    const bool is_first_run =
        first != progress.tasks.end() && first->worker.empty() && first->checkpoint.empty();
    if ((!room.empty() && !has_data) || !is_one_group || !is_first_run ||
        !this->may_wait_near(item, step, now)) {
        return {.rack = room};
    }
    const auto rack = has_data ? std::string_view(step.data_rack) : find_roomiest_rack(views, request.need);
    const auto& near = this->find_near_rack(job, rack, candidates, now);
    const auto until = near.places.find_all(views, request, progress.waiting);
    if (until == milliseconds(0)) {
        return {.rack = rack};
    }
    const task_id id{.job = job.spec.id,
                     .occurrence = item.occurrence,
                     .step = number,
                     .index = static_cast<std::int32_t>(first - progress.tasks.begin())};
    const auto target = this->find_near_target(item, number, rack, now);
    const bool waits = this->decide_near(id, *first, target, near, until, now).waits;
    for (auto& task : progress.tasks) {
        if (task.phase == run_phase::waiting) {
            this->note_near_decision(task, waits, now);
        }
    }
    return {.rack = waits ? rack : room, .waits = waits};
}

std::vector<expected_end> scheduler::impl::find_expected_ends(const std::vector<std::size_t>& members,
                                                              const std::vector<worker_control*>& controls,
                                                              boot_time now) const {
    std::vector<expected_end> ends;
    for (const auto member : members) {
        const auto& worker = *controls[member];
        for (const auto& [id, placed] : worker.tasks) {
            const auto job = placed.long_running ? this->jobs.end() : this->jobs.find(id.job);
            const auto* task = job == this->jobs.end() ? nullptr : job->second->find_task(id);
            if (task == nullptr) {
                continue;
            }
            const auto& step = job->second->spec.steps[static_cast<std::size_t>(id.step)];
            const auto slowdown = this->slowdown_on(step, worker);
            const auto elapsed = to_millis(running_time(*task, now) / slowdown);
            const auto remaining = slowdown * this->durations.expected_remaining(job->second->spec.queue,
                                                                                 step.estimate, elapsed);
            if (remaining <= this->timings.longest_near_wait) {
                ends.push_back({.worker = member, .remaining = to_millis(remaining), .freed = placed.need});
            }
        }
    }
    return ends;
}

near_rack& scheduler::impl::find_near_rack(const job_progress& job, std::string_view rack,
                                           accepting_workers& candidates, boot_time now) {
    const auto known = candidates.near_racks.find(rack);
    if (known != candidates.near_racks.end()) {
        return known->second;
    }
    const auto& pool = this->pool_of(job);
    near_places::options settings{.horizon = this->timings.longest_near_wait};
    std::int64_t millicores = 0;
    for (std::size_t index = 0; index < candidates.views.size(); ++index) {
        const auto& view = candidates.views[index];
        if (view.rack != rack || view.standing != worker_standing::good) {
            continue;
        }
        settings.workers.push_back(index);
        millicores += view.capacity.cpu_millicores;
        for (const auto& [id, placed] : candidates.controls[index]->tasks) {
            millicores -= placed.long_running ? placed.need.cpu_millicores : 0;
        }
    }
    settings.ends = this->find_expected_ends(settings.workers, candidates.controls, now);
    for (const auto& [name, move] : this->vm_moves) {
        const auto vm = this->vms.find(name);
        const auto& [target, ordered] = move;
        const bool joins = vm != this->vms.end() && target == pool && !vm->second.labels.empty() &&
                           vm->second.labels.back() == rack;
        const auto arrives_in = to_millis(ordered + this->timings.move_lead_time - now);
        if (joins && arrives_in.count() > 0) {
            settings.arriving.push_back({.arrives_in = arrives_in, .capacity = vm->second.capacity});
        }
    }
    auto& wanted = this->wanted_racks[pool][std::string(rack)];
    wanted.wanted_until = now + this->timings.rack_wanted_for;
    near_rack added{.places = near_places(std::move(settings)), .load = wanted.claims.load(millicores, now)};
    return candidates.near_racks.emplace(std::string(rack), std::move(added)).first->second;
}

near_wait_decision scheduler::impl::decide_near(const task_id& id, const task_progress& task,
                                                const near_target& target, const near_rack& rack,
                                                std::optional<milliseconds> until, boot_time now) {
    const auto waited = task.near_wait_since ? to_millis(now - *task.near_wait_since) : milliseconds(0);
    auto decision = decide_near_wait({.remaining_work = target.work,
                                      .slowdown = this->options.limits.remote_slowdown,
                                      .waited = waited,
                                      .slack = target.slack,
                                      .until_near = until,
                                      .rack_load = rack.load,
                                      .longest_wait = this->timings.longest_near_wait});
    if (decision.waits) {
        const auto due = now + decision.decide_again_in;
        this->near_decision_due = std::min(this->near_decision_due.value_or(due), due);
    }
    if (decision.waits != task.waits_near_from.has_value()) {
        write_log(severity::info, "near_wait",
                  {{"job", id.job},
                   {"step", id.step},
                   {"index", id.index},
                   {"rack", target.rack},
                   {"waits", decision.waits},
                   {"reason", to_string(decision.reason)},
                   {"waited_ms", waited.count()},
                   {"expected_wait_ms", until ? until->count() : -1},
                   {"expected_gain_ms", decision.expected_gain.count()},
                   {"slack_ms", target.slack.count()},
                   {"rack_load", rack.load}});
    }
    return decision;
}

bool scheduler::impl::waits_near(const task_id& id, task_progress& task, const near_target& target,
                                 const placement_request& request, accepting_workers& candidates,
                                 boot_time now) {
    auto& rack = this->find_near_rack(*this->find_job(id.job), target.rack, candidates, now);
    const auto place = rack.places.find(candidates.views, request);
    const auto until = place ? std::optional(place->expected_in) : std::nullopt;
    const bool waits = this->decide_near(id, task, target, rack, until, now).waits;
    if (waits) {
        rack.places.reserve(*place, request.need, target.work);
    }
    this->note_near_decision(task, waits, now);
    return waits;
}

void scheduler::impl::note_near_decision(task_progress& task, bool waits, boot_time now) {
    if (waits == task.waits_near_from.has_value()) {
        return;
    }
    if (waits) {
        ++this->near_figures.waits_begun;
        task.near_wait_since = task.near_wait_since.value_or(now);
        task.waits_near_from = now;
        return;
    }
    ++this->near_figures.waits_given_up;
    this->near_figures.waited += to_millis(now - *task.waits_near_from);
    task.waits_near_from.reset();
}

void scheduler::impl::count_near_placement(job_progress& job, const task_id& id, task_progress& task,
                                           const worker_control& worker, boot_time now) {
    const auto& step = job.spec.steps[static_cast<std::size_t>(id.step)];
    if (!this->is_near_sensitive(step)) {
        return;
    }
    const auto& progress = job.occurrence(id.occurrence).steps[static_cast<std::size_t>(id.step)];
    const auto rack = step.data_rack.empty() ? this->rack_of_placed(progress)
                                             : std::optional<std::string_view>(step.data_rack);
    const bool is_near = !rack || *rack == worker.entry.rack();
    ++(is_near ? this->near_figures.near_placements : this->near_figures.far_placements);
    if (task.waits_near_from) {
        this->near_figures.waited += to_millis(now - *task.waits_near_from);
        this->near_figures.waits_given_up += is_near ? 0 : 1;
        task.waits_near_from.reset();
    }
}

void scheduler::impl::count_rack_claims(const job_progress& job, boot_time now) {
    for (const auto& step : job.spec.steps) {
        if (step.data_rack.empty() || !this->is_near_sensitive(step)) {
            continue;
        }
        const auto duration = this->durations.expected(job.spec.queue, step.estimate);
        const double work = static_cast<double>(step.count) * static_cast<double>(step.need.cpu_millicores) *
                            seconds_of(duration);
        this->wanted_racks[this->pool_of(job)][step.data_rack].claims.add(work, now);
    }
}

bool scheduler::impl::is_rack_wanted(const std::string& pool, std::string_view rack, boot_time now) const {
    const auto racks = this->wanted_racks.find(pool);
    if (racks == this->wanted_racks.end()) {
        return false;
    }
    const auto found = racks->second.find(rack);
    return found != racks->second.end() && now < found->second.wanted_until;
}

std::set<std::string> scheduler::impl::find_wanted_racks(const std::string& pool, boot_time now) const {
    std::set<std::string> names;
    const auto racks = this->wanted_racks.find(pool);
    if (racks != this->wanted_racks.end()) {
        for (const auto& [name, rack] : racks->second) {
            if (now < rack.wanted_until) {
                names.insert(name);
            }
        }
    }
    return names;
}

void scheduler::impl::forget_idle_racks(boot_time now) {
    for (auto& [pool, racks] : this->wanted_racks) {
        std::erase_if(racks, [now](const auto& item) {
            return now >= item.second.wanted_until && item.second.claims.is_idle(now);
        });
    }
}

} // namespace hornbeamrail
