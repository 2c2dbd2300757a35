#include "fakes/fake_site.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace hornbeamrail {

using std::chrono::milliseconds;

append_answer fake_keyed_log::append(const append_call& call) {
    auto& log = this->partitions[{call.topic, call.partition}];
    const auto end = log.first + static_cast<std::int64_t>(log.records.size());
    producer_state* producer = nullptr;
    if (call.producer) {
        producer = &log.producers[call.producer->name];
        if (call.producer->epoch < producer->epoch) {
            return {.outcome = append_outcome::fenced, .reason = "a higher epoch was seen"};
        }
        if (call.producer->epoch == producer->epoch && call.producer->sequence == producer->sequence) {
            return producer->last;
        }
        if (call.producer->epoch == producer->epoch && call.producer->sequence != producer->sequence + 1) {
            return {.outcome = append_outcome::wrong_sequence,
                    .expected_sequence = producer->sequence + 1,
                    .reason = "the number does not follow"};
        }
    }
    if (call.expected_end && *call.expected_end != end) {
        return {.outcome = append_outcome::wrong_end, .end = end, .reason = "the partition ends elsewhere"};
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
    for (auto at = log.newest.upper_bound(call.after_key); at != log.newest.end(); ++at) {
        answer.records.push_back(at->second);
    }
    return answer;
}

void fake_keyed_log::forget_history(log_topic topic, std::int32_t partition) {
    auto& log = this->partitions[{topic, partition}];
    log.first += static_cast<std::int64_t>(log.records.size());
    log.records.clear();
}

void fake_site::add_vm(const std::string& vm, const std::string& pool, const std::string& zone,
                       const std::string& rack, resources capacity, boot_time now) {
    auto& added = this->machines[vm];
    added.entry = {.id = vm,
                   .pool = pool,
                   .condition = vm_condition::up,
                   .zone = zone,
                   .labels = {"a", rack},
                   .capacity = capacity};
    added.rack = rack;
    this->begin_life(added, now);
}

void fake_site::begin_life(machine& vm, boot_time now) {
    const auto id = fmt::format("w-{}", this->next_instance++);
    vm.entry.worker = id;
    vm.entry.condition = vm_condition::up;
    this->lives[id] = {.entry = {.id = id,
                                 .instance_started_ms = this->next_instance,
                                 .pool = vm.entry.pool,
                                 .address = {.address = "127.0.0.1", .port = 1},
                                 .zone = vm.entry.zone,
                                 .capacity = vm.entry.capacity,
                                 .labels = vm.entry.labels},
                       .vm = vm.entry.id,
                       .born = now,
                       .lease = now};
}

void fake_site::end_life(const std::string& worker, boot_time now) {
    const auto found = this->lives.find(worker);
    if (found == this->lives.end()) {
        return;
    }
    for (const auto& [id, task] : found->second.tasks) {
        this->runs[task.history].ended = now;
    }
    this->lives.erase(found);
}

fake_site::instance* fake_site::find_life(const worker_target& worker) {
    const auto found = this->lives.find(worker.id);
    return found == this->lives.end() ? nullptr : &found->second;
}

milliseconds fake_site::clock_of(const instance& worker, boot_time now) const {
    return std::chrono::duration_cast<milliseconds>(now - worker.born);
}

void fake_site::finish(instance& worker, const task_id& task, task_end how, boot_time now) {
    const auto found = worker.tasks.find(task);
    this->runs[found->second.history].ended = now;
    this->runs[found->second.history].how = how;
    worker.used -= found->second.need;
    worker.closed[task] = std::max(worker.closed[task], found->second.run);
    worker.ended.push_back(
        {.number = worker.next_end++, .task = task, .run = found->second.run, .outcome = how});
    worker.tasks.erase(found);
}

order_answer fake_site::start(const worker_target& target, const start_order& order, resources need,
                              boot_time now) {
    this->advance(now);
    auto* worker = this->find_life(target);
    if (worker == nullptr) {
        return {.outcome = order_outcome::unsent, .reason = "no such worker"};
    }
    const auto clock = this->clock_of(*worker, now);
    if (order.fence < worker->fence) {
        return {.outcome = order_outcome::fenced, .worker_clock = clock};
    }
    worker->fence = order.fence;
    const auto present = worker->tasks.find(order.task);
    if (present != worker->tasks.end() && present->second.run == order.run) {
        return {.outcome = order_outcome::done, .worker_clock = clock};
    }
    const auto closed = worker->closed.find(order.task);
    if (closed != worker->closed.end() && order.run <= closed->second) {
        return {.outcome = order_outcome::stale_run, .worker_clock = clock};
    }
    if (order.lease_until <= clock) {
        return {.outcome = order_outcome::late, .worker_clock = clock};
    }
    auto room = worker->entry.capacity;
    room -= worker->used;
    if (!fits(need, room)) {
        return {.outcome = order_outcome::no_room, .worker_clock = clock};
    }
    worker->lease = std::max(worker->lease,
                             worker->born + std::min(order.lease_until, clock + this->limits.longest_lease));
    worker->used += need;
    const bool lasts = this->long_running.contains(order.task.job);
    worker->tasks[order.task] = {.run = order.run,
                                 .due = lasts ? boot_time::max() : now + this->task_duration,
                                 .need = need,
                                 .history = this->runs.size()};
    this->runs.push_back({.worker = target.id, .task = order.task, .run = order.run, .begun = now});
    return {.outcome = order_outcome::done, .worker_clock = clock};
}

order_answer fake_site::stop(const worker_target& target, const stop_order& order, boot_time now) {
    this->advance(now);
    auto* worker = this->find_life(target);
    if (worker == nullptr) {
        return {.outcome = order_outcome::unsent};
    }
    const auto clock = this->clock_of(*worker, now);
    if (order.fence < worker->fence) {
        return {.outcome = order_outcome::fenced, .worker_clock = clock};
    }
    worker->fence = order.fence;
    worker->closed[order.task] = std::max(worker->closed[order.task], order.run);
    const auto present = worker->tasks.find(order.task);
    if (present != worker->tasks.end() && present->second.run <= order.run) {
        this->finish(*worker, order.task, task_end::stopped, now);
    }
    return {.outcome = order_outcome::done, .worker_clock = clock};
}

hold_report fake_site::hold(const worker_target& target, const hold_order& order, boot_time now) {
    this->advance(now);
    auto* worker = this->find_life(target);
    if (worker == nullptr) {
        return {.outcome = order_outcome::unsent, .reason = "no such worker"};
    }
    hold_report report{.outcome = order_outcome::done, .worker_clock = this->clock_of(*worker, now)};
    if (order.fence < worker->fence) {
        report.outcome = order_outcome::fenced;
        return report;
    }
    worker->fence = order.fence;
    if (order.lease_until) {
        const auto longest = *report.worker_clock + this->limits.longest_lease;
        worker->lease = std::max(worker->lease, worker->born + std::min(*order.lease_until, longest));
    }
    for (auto& observed : this->runs) {
        const auto listed = std::any_of(worker->ended.begin(), worker->ended.end(), [&](const auto& end) {
            return end.number <= order.acknowledged_end && end.task == observed.task &&
                   end.run == observed.run;
        });
        observed.acknowledged = observed.acknowledged || (observed.worker == target.id && listed);
    }
    std::erase_if(worker->ended, [&order](const auto& end) { return end.number <= order.acknowledged_end; });
    report.instance_started_ms = worker->entry.instance_started_ms;
    report.ended = worker->ended;
    for (const auto& [id, task] : worker->tasks) {
        const bool starts_up = this->long_running.contains(id.job) &&
                               now < this->runs[task.history].begun + this->limits.startup_time;
        report.running.push_back({.task = id, .run = task.run, .percent = starts_up ? 50 : 100});
    }
    return report;
}

vm_order_outcome fake_site::maintain(const vm_order& order, boot_time now) {
    const auto vm = this->machines.find(order.vm);
    if (vm == this->machines.end()) {
        return vm_order_outcome::rejected;
    }
    if (vm->second.entry.condition != vm_condition::up) {
        return vm_order_outcome::busy;
    }
    this->end_life(vm->second.entry.worker, now);
    vm->second.entry.worker.clear();
    vm->second.entry.condition = vm_condition::maintenance;
    vm->second.back = now + this->limits.maintenance_time;
    return vm_order_outcome::done;
}

vm_order_outcome fake_site::move(const vm_order& order, boot_time now) {
    const auto vm = this->machines.find(order.vm);
    if (vm == this->machines.end()) {
        return vm_order_outcome::rejected;
    }
    if (vm->second.entry.pool == order.pool) {
        return vm_order_outcome::done;
    }
    if (vm->second.entry.condition != vm_condition::up) {
        return vm_order_outcome::busy;
    }
    this->end_life(vm->second.entry.worker, now);
    vm->second.entry.worker.clear();
    vm->second.entry.pool = order.pool;
    vm->second.entry.condition = vm_condition::moving;
    vm->second.back = now + this->limits.move_time;
    return vm_order_outcome::done;
}

void fake_site::crash(const std::string& vm, boot_time now) {
    const auto found = this->machines.find(vm);
    if (found != this->machines.end() && found->second.entry.condition == vm_condition::up) {
        this->end_life(found->second.entry.worker, now);
        this->begin_life(found->second, now);
    }
}

void fake_site::advance(boot_time now) {
    for (auto& [id, worker] : this->lives) {
        std::vector<std::pair<task_id, task_end>> over;
        for (const auto& [task, active] : worker.tasks) {
            if (active.due <= now) {
                over.emplace_back(task, task_end::done);
            } else if (worker.lease <= now) {
                over.emplace_back(task, task_end::lapsed);
            }
        }
        for (const auto& [task, how] : over) {
            const auto due = worker.tasks.at(task).due;
            this->finish(worker, task, how, how == task_end::done ? std::min(due, now) : worker.lease);
        }
    }
    for (auto& [id, vm] : this->machines) {
        if (vm.entry.condition != vm_condition::up && vm.back <= now) {
            this->begin_life(vm, now);
        }
    }
}

std::vector<worker_entry> fake_site::workers() const {
    std::vector<worker_entry> entries;
    for (const auto& [id, worker] : this->lives) {
        entries.push_back(worker.entry);
    }
    return entries;
}

std::vector<vm_entry> fake_site::vms() const {
    std::vector<vm_entry> entries;
    for (const auto& [id, vm] : this->machines) {
        entries.push_back(vm.entry);
    }
    return entries;
}

bool fake_site::has_end(const std::string& worker) const {
    const auto found = this->lives.find(worker);
    return found != this->lives.end() && !found->second.ended.empty();
}

} // namespace hornbeamrail
