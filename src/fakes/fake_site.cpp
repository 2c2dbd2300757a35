#include "fakes/fake_site.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace hornbeamrail {

using std::chrono::milliseconds;

namespace {

/// Run time of a run that fails.
constexpr milliseconds time_to_failure{150};
/// Span to which `set_long_running_failures` refers.
constexpr milliseconds failure_span{2000};
/// A worker lists this many ended tasks in one report; the rest follows when these are acknowledged.
constexpr std::size_t max_ends_listed = 500;
/// Units of `worker_entry::instance_started_ms` between two instances; a stepped clock stays between them.
constexpr std::int64_t instance_spacing = 1000;

} // namespace

std::string fake_keyed_log::find_rejection(const append_call& call) const {
    std::size_t bytes = 0;
    for (const auto& record : call.records) {
        bytes += bytes_in_log(record);
        if (bytes_in_log(record) > this->limits.max_record_bytes) {
            return fmt::format("a record of {} bytes", bytes_in_log(record));
        }
        if (this->is_rejected && this->is_rejected(call.topic, record)) {
            return "a record that the test selected";
        }
    }
    return bytes > this->limits.max_append_bytes ? fmt::format("an append of {} bytes", bytes) : "";
}

append_answer fake_keyed_log::append(const append_call& call) {
    if (auto reason = this->find_rejection(call); !reason.empty()) {
        return {.outcome = append_outcome::rejected, .reason = std::move(reason)};
    }
    auto& log = this->partitions[{call.topic, call.partition}];
    const auto end = log.first + static_cast<std::int64_t>(log.records.size());
    producer_state* producer = nullptr;
    if (call.producer) {
        producer = &log.producers[call.producer->name];
        if (call.producer->epoch < producer->epoch) {
            return {.outcome = append_outcome::fenced,
                    .reason = "a producer with a higher epoch has appended"};
        }
        if (call.producer->epoch == producer->epoch && call.producer->sequence == producer->sequence) {
            return producer->last;
        }
        if (call.producer->epoch == producer->epoch && call.producer->sequence != producer->sequence + 1) {
            return {.outcome = append_outcome::wrong_sequence,
                    .expected_sequence = producer->sequence + 1,
                    .reason = "the sequence number is not the next one"};
        }
    }
    if (call.expected_end && *call.expected_end != end) {
        return {.outcome = append_outcome::wrong_end,
                .end = end,
                .reason = "the partition does not end at the expected offset"};
    }
    for (auto record : call.records) {
        record.offset = log.first + static_cast<std::int64_t>(log.records.size());
        log.records.push_back(record);
        if (record.value.empty()) {
            log.newest.erase(record.key);
        } else {
            log.newest[record.key] = record;
        }
    }
    append_answer answer{.outcome = append_outcome::appended,
                         .end = log.first + static_cast<std::int64_t>(log.records.size())};
    if (producer != nullptr) {
        *producer = {.epoch = call.producer->epoch, .sequence = call.producer->sequence, .last = answer};
    }
    return answer;
}

read_answer fake_keyed_log::read(const read_call& call) const {
    const auto found = this->partitions.find({call.topic, call.partition});
    if (found == this->partitions.end()) {
        return {.outcome = read_outcome_kind::records, .next = call.from};
    }
    const auto& log = found->second;
    const auto end = log.first + static_cast<std::int64_t>(log.records.size());
    if (call.from < log.first) {
        return {.outcome = read_outcome_kind::expired, .end = end, .reason = "expired"};
    }
    read_answer answer{.outcome = read_outcome_kind::records, .next = end, .end = end};
    for (auto offset = call.from; offset < end; ++offset) {
        answer.records.push_back(log.records[static_cast<std::size_t>(offset - log.first)]);
    }
    return answer;
}

newest_answer fake_keyed_log::newest(const newest_call& call) const {
    newest_answer answer{.done = true};
    const auto found = this->partitions.find({call.topic, call.partition});
    if (found == this->partitions.end()) {
        return answer;
    }
    const auto& log = found->second;
    answer.end = log.first + static_cast<std::int64_t>(log.records.size());
    for (auto entry = log.newest.upper_bound(call.after_key); entry != log.newest.end(); ++entry) {
        answer.records.push_back(entry->second);
    }
    return answer;
}

void fake_keyed_log::drop_history(log_topic topic, std::int32_t partition) {
    auto& log = this->partitions[{topic, partition}];
    log.first += static_cast<std::int64_t>(log.records.size());
    log.records.clear();
}

void fake_site::add_vm(const std::string& vm, const std::string& pool, const std::string& zone,
                       const std::string& rack, resources capacity, boot_time now) {
    auto& added = this->site_vms[vm];
    added.entry = {.id = vm,
                   .pool = pool,
                   .condition = vm_condition::up,
                   .zone = zone,
                   .labels = {"a", rack},
                   .capacity = capacity};
    added.rack = rack;
    this->start_instance(added, now);
}

void fake_site::start_instance(site_vm& vm, boot_time now) {
    const auto id = fmt::format("{}{}", this->limits.worker_prefix, this->next_instance++);
    vm.entry.worker = id;
    vm.entry.condition = vm_condition::up;
    this->instances[id] = {.entry = {.id = id,
                                     .instance_started_ms = this->next_instance * instance_spacing,
                                     .pool = vm.entry.pool,
                                     .address = {.address = "127.0.0.1", .port = 1},
                                     .zone = vm.entry.zone,
                                     .capacity = vm.entry.capacity,
                                     .labels = vm.entry.labels},
                           .vm = vm.entry.id,
                           .instance_started = now,
                           .lease_end = now};
}

void fake_site::end_instance(const std::string& worker, boot_time now) {
    const auto found = this->instances.find(worker);
    if (found == this->instances.end()) {
        return;
    }
    for (const auto& [id, task] : found->second.tasks) {
        this->runs[task.run_index].ended_at = now;
    }
    this->instances.erase(found);
}

fake_site::instance* fake_site::find_instance(const worker_target& worker) {
    const auto found = this->instances.find(worker.id);
    const auto port = worker.address.port; // 0: the caller does not model addresses
    const bool is_reached =
        found != this->instances.end() && (port == 0 || found->second.entry.address.port == port);
    return is_reached ? &found->second : nullptr;
}

milliseconds fake_site::instance_clock(const instance& worker, boot_time now) const {
    return std::chrono::duration_cast<milliseconds>(now - worker.instance_started);
}

void fake_site::finish(instance& worker, const task_id& task, task_end outcome, boot_time now) {
    const auto found = worker.tasks.find(task);
    this->runs[found->second.run_index].ended_at = now;
    this->runs[found->second.run_index].outcome = outcome;
    worker.used -= found->second.need;
    worker.closed_runs[task] = std::max(worker.closed_runs[task], found->second.run);
    worker.ended.push_back(
        {.number = worker.next_end++, .task = task, .run = found->second.run, .outcome = outcome});
    worker.tasks.erase(found);
}

void fake_site::extend_lease(instance& worker, milliseconds until, boot_time now) const {
    const auto longest = this->instance_clock(worker, now) + this->limits.longest_lease;
    if (worker.lease_end <= now) {
        worker.last_lapse = worker.lease_end;
    }
    worker.lease_end = std::max(worker.lease_end, worker.instance_started + std::min(until, longest));
}

void fake_site::acknowledge_ends(const std::string& id, instance& worker, std::int64_t last, boot_time now) {
    const auto lapsed = worker.lease_end <= now ? worker.lease_end : worker.last_lapse;
    for (auto& observed : this->runs) {
        const auto is_acknowledged =
            observed.worker == id &&
            std::any_of(worker.ended.begin(), worker.ended.end(), [&](const auto& end) {
                return end.number <= last && end.task == observed.task && end.run == observed.run;
            });
        observed.acknowledged = observed.acknowledged || (is_acknowledged && lapsed < observed.ended_at);
    }
    std::erase_if(worker.ended, [last](const auto& end) { return end.number <= last; });
}

void fake_site::plan_end(active_task& task, const instance& worker, const task_id& id, boot_time now) {
    const bool fails = worker.behaviour == start_behaviour::fails_all ||
                       (worker.behaviour == start_behaviour::fails_share && this->random() % 2 == 0);
    if (fails) {
        task.ends_at = now + time_to_failure;
        task.end = task_end::failed;
        return;
    }
    if (!this->long_running.contains(id.job)) {
        task.ends_at = now + this->task_duration;
        task.end = this->failing.contains(id.job) ? task_end::failed : task_end::done;
        return;
    }
    task.ends_at = boot_time::max();
    if (this->failure_share > 0) {
        const auto spans = std::geometric_distribution<std::int64_t>(this->failure_share)(this->random);
        const auto within = milliseconds(
            static_cast<std::int64_t>(this->random() % static_cast<std::uint64_t>(failure_span.count())));
        task.ends_at = now + this->limits.startup_time + spans * failure_span + within;
        task.end = task_end::failed;
    }
}

void fake_site::fail_tasks(const std::string& job, boot_time now) {
    for (auto& [id, worker] : this->instances) {
        std::vector<task_id> failed;
        for (const auto& [task, active] : worker.tasks) {
            if (task.job == job) {
                failed.push_back(task);
            }
        }
        for (const auto& task : failed) {
            this->finish(worker, task, task_end::failed, now);
        }
    }
}

void fake_site::fail_task(const task_id& task, boot_time now) {
    for (auto& [id, worker] : this->instances) {
        if (worker.tasks.contains(task)) {
            this->finish(worker, task, task_end::failed, now);
        }
    }
}

order_answer fake_site::start(const worker_target& target, const start_order& order, resources need,
                              boot_time now) {
    this->advance(now);
    auto* worker = this->find_instance(target);
    if (worker == nullptr) {
        return {.outcome = order_outcome::unsent, .reason = "no such worker"};
    }
    const auto clock = this->instance_clock(*worker, now);
    if (order.fence < worker->fence) {
        return {.outcome = order_outcome::fenced, .worker_clock = clock};
    }
    if (this->refusing.contains(target.id)) {
        return {.outcome = order_outcome::unhealthy, .worker_clock = clock};
    }
    worker->fence = order.fence;
    const auto present = worker->tasks.find(order.task);
    if (present != worker->tasks.end() && present->second.run == order.run) {
        return {.outcome = order_outcome::done, .worker_clock = clock};
    }
    const auto closed_run = worker->closed_runs.find(order.task);
    if (closed_run != worker->closed_runs.end() && order.run <= closed_run->second) {
        return {.outcome = order_outcome::stale_run, .worker_clock = clock};
    }
    if (order.lease_until <= clock) {
        return {.outcome = order_outcome::late, .worker_clock = clock};
    }
    if (worker->behaviour == start_behaviour::unhealthy) {
        return {.outcome = order_outcome::unhealthy, .worker_clock = clock};
    }
    if (worker->behaviour == start_behaviour::no_room) {
        return {.outcome = order_outcome::no_room, .worker_clock = clock};
    }
    auto available = worker->entry.capacity;
    available -= worker->used;
    if (!fits(need, available)) {
        return {.outcome = order_outcome::no_room, .worker_clock = clock};
    }
    this->extend_lease(*worker, order.lease_until, now);
    worker->used += need;
    active_task started{.run = order.run, .need = need, .run_index = this->runs.size()};
    this->plan_end(started, *worker, order.task, now);
    worker->tasks[order.task] = started;
    this->runs.push_back({.worker = target.id,
                          .task = order.task,
                          .run = order.run,
                          .started_at = now,
                          .resumed = !order.checkpoint.empty()});
    return {.outcome = order_outcome::done, .worker_clock = clock};
}

order_answer fake_site::stop(const worker_target& target, const stop_order& order, boot_time now) {
    this->advance(now);
    auto* worker = this->find_instance(target);
    if (worker == nullptr) {
        return {.outcome = order_outcome::unsent};
    }
    const auto clock = this->instance_clock(*worker, now);
    if (order.fence < worker->fence) {
        return {.outcome = order_outcome::fenced, .worker_clock = clock};
    }
    worker->fence = order.fence;
    worker->closed_runs[order.task] = std::max(worker->closed_runs[order.task], order.run);
    const auto present = worker->tasks.find(order.task);
    if (present != worker->tasks.end() && present->second.run <= order.run) {
        this->finish(*worker, order.task, task_end::stopped, now);
    }
    return {.outcome = order_outcome::done, .worker_clock = clock};
}

hold_report fake_site::hold(const worker_target& target, const hold_order& order, boot_time now) {
    this->advance(now);
    auto* worker = this->find_instance(target);
    if (worker == nullptr) {
        return {.outcome = order_outcome::unsent, .reason = "no such worker"};
    }
    hold_report report{.outcome = order_outcome::done, .worker_clock = this->instance_clock(*worker, now)};
    if (order.fence < worker->fence) {
        report.outcome = order_outcome::fenced;
        return report;
    }
    worker->fence = order.fence;
    if (order.lease_until) {
        this->extend_lease(*worker, *order.lease_until, now);
    }
    this->acknowledge_ends(target.id, *worker, order.acknowledged_end, now);
    report.instance_started_ms = worker->entry.instance_started_ms;
    const auto listed = std::min(worker->ended.size(), max_ends_listed);
    report.ended.assign(worker->ended.begin(), worker->ended.begin() + static_cast<std::ptrdiff_t>(listed));
    for (const auto& [id, task] : worker->tasks) {
        const bool is_starting = this->long_running.contains(id.job) &&
                                 now < this->runs[task.run_index].started_at + this->limits.startup_time;
        const auto bytes = this->checkpoint_bytes.find(id.job);
        report.running.push_back(
            {.task = id,
             .run = task.run,
             .checkpoint = std::string(bytes == this->checkpoint_bytes.end() ? 0 : bytes->second, 'c'),
             .percent = is_starting ? 50 : 100});
    }
    return report;
}

vm_order_outcome fake_site::maintain(const vm_order& order, boot_time now) {
    const auto vm = this->site_vms.find(order.vm);
    if (vm == this->site_vms.end()) {
        return vm_order_outcome::rejected;
    }
    if (vm->second.entry.condition != vm_condition::up) {
        return vm_order_outcome::busy;
    }
    this->end_instance(vm->second.entry.worker, now);
    vm->second.entry.worker.clear();
    vm->second.entry.condition = vm_condition::maintenance;
    vm->second.returns_at = now + this->limits.maintenance_time;
    return vm_order_outcome::done;
}

vm_order_outcome fake_site::move(const vm_order& order, boot_time now) {
    const auto vm = this->site_vms.find(order.vm);
    if (vm == this->site_vms.end()) {
        return vm_order_outcome::rejected;
    }
    if (vm->second.entry.pool == order.pool) {
        return vm_order_outcome::done;
    }
    if (vm->second.entry.condition != vm_condition::up) {
        return vm_order_outcome::busy;
    }
    this->end_instance(vm->second.entry.worker, now);
    vm->second.entry.worker.clear();
    vm->second.entry.pool = order.pool;
    vm->second.entry.condition = vm_condition::moving;
    vm->second.returns_at = now + this->limits.move_time;
    return vm_order_outcome::done;
}

void fake_site::crash(const std::string& vm, boot_time now) {
    const auto found = this->site_vms.find(vm);
    if (found != this->site_vms.end() && found->second.entry.condition == vm_condition::up) {
        this->end_instance(found->second.entry.worker, now);
        this->start_instance(found->second, now);
    }
}

std::optional<std::string> fake_site::restart(const std::string& vm, const worker_restart& changes,
                                              boot_time now) {
    const auto found = this->site_vms.find(vm);
    if (found == this->site_vms.end() || found->second.entry.condition != vm_condition::up) {
        return std::nullopt;
    }
    const auto id = found->second.entry.worker;
    auto entry = this->instances.at(id).entry;
    this->end_instance(id, now);
    // No two processes have the same start.
    entry.instance_started_ms =
        changes.clock_stepped_back ? --this->earliest_start : ++this->next_instance * instance_spacing;
    entry.address.port += changes.new_address ? 1 : 0;
    entry.capacity = changes.capacity.value_or(entry.capacity);
    entry.draining = false;
    found->second.entry.capacity = entry.capacity;
    this->instances[id] = {.entry = std::move(entry), .vm = vm, .instance_started = now, .lease_end = now};
    return id;
}

void fake_site::take_down(const std::string& vm, boot_time returns_at, boot_time now) {
    const auto found = this->site_vms.find(vm);
    const bool is_present =
        found != this->site_vms.end() && found->second.entry.condition != vm_condition::down;
    if (!is_present || found->second.entry.condition == vm_condition::moving) {
        return;
    }
    this->end_instance(found->second.entry.worker, now);
    found->second.entry.worker.clear();
    found->second.entry.condition = vm_condition::down;
    found->second.returns_at = returns_at;
}

void fake_site::remove_vm(const std::string& vm, boot_time now) {
    const auto found = this->site_vms.find(vm);
    if (found != this->site_vms.end()) {
        this->end_instance(found->second.entry.worker, now);
        this->site_vms.erase(found);
    }
}

void fake_site::set_draining(const std::string& vm, bool draining) {
    const auto found = this->site_vms.find(vm);
    const auto worker = found == this->site_vms.end() ? this->instances.end()
                                                      : this->instances.find(found->second.entry.worker);
    if (worker != this->instances.end()) {
        worker->second.entry.draining = draining;
    }
}

void fake_site::set_behaviour(const std::string& worker, start_behaviour behaviour) {
    const auto found = this->instances.find(worker);
    if (found != this->instances.end()) {
        found->second.behaviour = behaviour;
    }
}

void fake_site::fail_runs(const std::string& worker, const std::function<bool(const observed_run&)>& selects,
                          boot_time now) {
    auto* found = this->find_instance({.id = worker});
    if (found == nullptr) {
        return;
    }
    std::vector<task_id> failed;
    for (const auto& [id, task] : found->tasks) {
        if (selects(this->runs[task.run_index])) {
            failed.push_back(id);
        }
    }
    for (const auto& id : failed) {
        this->finish(*found, id, task_end::failed, now);
    }
}

void fake_site::advance(boot_time now) {
    for (auto& [id, worker] : this->instances) {
        std::vector<std::pair<task_id, task_end>> finished;
        for (const auto& [task, active] : worker.tasks) {
            if (active.ends_at <= now) {
                finished.emplace_back(task, active.end);
            } else if (worker.lease_end <= now) {
                finished.emplace_back(task, task_end::lapsed);
            }
        }
        for (const auto& [task, outcome] : finished) {
            const auto ends_at = worker.tasks.at(task).ends_at;
            this->finish(worker, task, outcome,
                         outcome == task_end::lapsed ? worker.lease_end : std::min(ends_at, now));
        }
    }
    for (auto& [id, vm] : this->site_vms) {
        if (vm.entry.condition != vm_condition::up && vm.returns_at <= now) {
            this->start_instance(vm, now);
        }
    }
}

std::vector<worker_entry> fake_site::workers() const {
    std::vector<worker_entry> entries;
    for (const auto& [id, worker] : this->instances) {
        entries.push_back(worker.entry);
    }
    return entries;
}

std::vector<observed_worker> fake_site::observe_workers() const {
    std::vector<observed_worker> observed;
    for (const auto& [id, worker] : this->instances) {
        observed.push_back({.entry = worker.entry,
                            .vm = worker.vm,
                            .behaviour = worker.behaviour,
                            .available = worker.entry.capacity});
        observed.back().available -= worker.used;
        for (const auto& [task, active] : worker.tasks) {
            observed.back().tasks.push_back(task);
        }
    }
    return observed;
}

std::vector<vm_entry> fake_site::vms() const {
    std::vector<vm_entry> entries;
    for (const auto& [id, vm] : this->site_vms) {
        entries.push_back(vm.entry);
    }
    return entries;
}

std::int64_t fake_site::instance_start_of(const std::string& worker) const {
    const auto found = this->instances.find(worker);
    return found == this->instances.end() ? 0 : found->second.entry.instance_started_ms;
}

bool fake_site::has_end(const std::string& worker) const {
    const auto found = this->instances.find(worker);
    return found != this->instances.end() && !found->second.ended.empty();
}

} // namespace hornbeamrail
