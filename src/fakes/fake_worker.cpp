#include "fakes/fake_worker.hpp"

#include <algorithm>

namespace hornbeamrail {

namespace {

constexpr std::chrono::minutes ended_task_retention{1};

bool is_running(worker_task_state state) {
    return state == worker_task_state::running || state == worker_task_state::throttled;
}

bool holds_resources(worker_task_state state) {
    return state == worker_task_state::reserved || is_running(state);
}

} // namespace

std::string_view to_string(worker_task_state state) noexcept {
    switch (state) {
    case worker_task_state::reserved:
        return "reserved";
    case worker_task_state::running:
        return "running";
    case worker_task_state::throttled:
        return "throttled";
    case worker_task_state::finished:
        return "finished";
    case worker_task_state::failed:
        return "failed";
    case worker_task_state::stopped:
        return "stopped";
    case worker_task_state::checkpointed:
        break;
    }
    return "checkpointed";
}

fake_worker::fake_worker(fake_worker_options initial) : options(initial) {}

task_lease_answer fake_worker::reserve(boot_time now, const task_lease_request& request) {
    this->advance(now);
    auto found = this->tasks.find(request.task_id);
    if (found != this->tasks.end() && request.fencing_token < found->second.reservation.fencing_token) {
        return {worker_verdict::stale_token, {}};
    }
    const bool held = found != this->tasks.end() && holds_resources(found->second.state);
    if (!held && request.adopt) {
        return {worker_verdict::unknown_task, {}};
    }
    if (!held && !this->fits(request)) {
        return {worker_verdict::no_room, {}};
    }
    task_entry& entry = this->tasks[request.task_id];
    if (!held) {
        entry = {};
        set_state(now, entry, worker_task_state::reserved);
    }
    entry.reservation = request;
    entry.lease_id = request.task_id + "/" + std::to_string(++this->issued_leases);
    entry.lease_end = now + request.ttl;
    return {worker_verdict::done, entry.lease_id};
}

worker_verdict fake_worker::start(boot_time now, const std::string& task_id, const std::string& lease_id,
                                  std::chrono::microseconds run_time) {
    worker_verdict verdict{};
    task_entry* entry = this->find_leased(now, task_id, lease_id, verdict);
    if (!entry || entry->state != worker_task_state::reserved) {
        return verdict;
    }
    set_state(now, *entry, worker_task_state::running);
    const double factor = this->options.fails_everything ? 0.001 : this->options.run_time_factor;
    entry->ends = now + std::chrono::microseconds(
                            static_cast<std::int64_t>(static_cast<double>(run_time.count()) * factor));
    return verdict;
}

worker_verdict fake_worker::command(boot_time now, const std::string& task_id, const std::string& lease_id,
                                    task_command requested) {
    worker_verdict verdict{};
    task_entry* entry = this->find_leased(now, task_id, lease_id, verdict);
    if (!entry) {
        return verdict;
    }
    switch (requested) {
    case task_command::renew:
        entry->lease_end = now + entry->reservation.ttl;
        break;
    case task_command::start:
        return worker_verdict::not_supported; // Tasks start through `start`, which needs the run time.
    case task_command::checkpoint:
        if (!this->options.can_checkpoint) {
            return worker_verdict::not_supported;
        }
        set_state(now, *entry, worker_task_state::checkpointed);
        break;
    case task_command::throttle:
        if (entry->state == worker_task_state::running) {
            entry->ends += entry->ends - now; // A throttled task has half the processor time.
            set_state(now, *entry, worker_task_state::throttled);
        }
        break;
    case task_command::stop:
        set_state(now, *entry, worker_task_state::stopped);
        break;
    }
    return verdict;
}

std::vector<task_usage> fake_worker::usage(boot_time now) {
    this->advance(now);
    std::vector<task_usage> report;
    for (const auto& [id, entry] : this->tasks) {
        const bool visible = entry.changed + this->options.usage_lag <= now;
        const worker_task_state state = visible ? entry.state : entry.previous_state;
        const double use_factor = is_running(state) ? this->options.size_factor : 0;
        report.push_back({id, state, static_cast<double>(entry.reservation.cores) * use_factor,
                          static_cast<double>(entry.reservation.memory_mb) * use_factor});
    }
    return report;
}

void fake_worker::restart() {
    this->tasks.clear();
}

std::int64_t fake_worker::running(boot_time now) {
    this->advance(now);
    return std::ranges::count_if(this->tasks,
                                 [](const auto& entry) { return is_running(entry.second.state); });
}

void fake_worker::advance(boot_time now) {
    for (auto& [id, entry] : this->tasks) {
        if (is_running(entry.state) && entry.ends <= std::min(now, entry.lease_end)) {
            set_state(entry.ends, entry,
                      this->options.fails_everything ? worker_task_state::failed
                                                     : worker_task_state::finished);
        }
        if (holds_resources(entry.state) && entry.lease_end <= now) {
            const bool has_checkpoint = is_running(entry.state) && this->options.can_checkpoint;
            set_state(entry.lease_end, entry,
                      has_checkpoint ? worker_task_state::checkpointed : worker_task_state::stopped);
        }
    }
    std::erase_if(this->tasks, [&](const auto& item) {
        return !holds_resources(item.second.state) && item.second.changed + ended_task_retention <= now;
    });
}

void fake_worker::set_state(boot_time now, task_entry& entry, worker_task_state state) {
    entry.previous_state = entry.state;
    entry.state = state;
    entry.changed = now;
}

bool fake_worker::fits(const task_lease_request& request) const {
    std::int64_t cores = request.cores;
    std::int64_t memory = request.memory_mb;
    std::int64_t accelerators = request.accelerators;
    for (const auto& [id, entry] : this->tasks) {
        if (holds_resources(entry.state)) {
            cores += entry.reservation.cores;
            memory += entry.reservation.memory_mb;
            accelerators += entry.reservation.accelerators;
        }
    }
    return cores <= this->options.cores && memory <= this->options.memory_mb &&
           accelerators <= this->options.accelerators;
}

fake_worker::task_entry* fake_worker::find_leased(boot_time now, const std::string& task_id,
                                                  const std::string& lease_id, worker_verdict& verdict) {
    this->advance(now);
    const auto found = this->tasks.find(task_id);
    if (found == this->tasks.end()) {
        verdict = worker_verdict::unknown_task;
        return nullptr;
    }
    if (found->second.lease_id != lease_id || !holds_resources(found->second.state)) {
        verdict = worker_verdict::lease_lapsed;
        return nullptr;
    }
    verdict = worker_verdict::done;
    return &found->second;
}

} // namespace hornbeamrail
