#include "state/job_index.hpp"

#include "protocol/json_log.hpp"

#include <boost/json/parse.hpp>

namespace hornbeamrail {

void job_index::adjust_pending_count(const indexed_job& job, std::int64_t change) {
    if (!job.queue.empty() && job.state == job_state::pending && !job.cancel_requested) {
        this->pending_by_queue[job.queue] += change;
    }
}

void job_index::set_state(indexed_job& job, job_state state) {
    this->adjust_pending_count(job, -1);
    job.state = state;
    this->adjust_pending_count(job, 1);
}

void job_index::apply_job(const keyed_record& record) {
    const std::string_view key = record.key;
    if (key.ends_with(cancel_suffix)) {
        const auto id = key.substr(0, key.size() - cancel_suffix.size());
        record.value.empty() ? this->drop_cancellation(id) : this->note_cancelled(id);
        return;
    }
    if (record.value.empty()) {
        return; // the job stays in the index until its state record is removed
    }
    boost::system::error_code failure;
    const auto document = boost::json::parse(record.value, failure);
    error problem;
    const auto parsed = value_or_error(
        [&]() -> result<job_spec> {
            if (failure) {
                return make_error(errc::parse_failed, failure.message(),
                                  "check for other programs that write to the topic");
            }
            return parse_job(key, document);
        },
        problem);
    if (!parsed) {
        write_log(severity::warning, "job_record_unreadable", {{"key", key}, {"reason", problem.message}});
        return;
    }
    this->note_stored(*parsed);
}

void job_index::note_stored(const job_spec& job) {
    auto& entry = this->jobs[job.id];
    if (!entry.queue.empty()) {
        return;
    }
    entry.queue = job.queue;
    entry.timed = job.is_timed();
    this->adjust_pending_count(entry, 1);
}

void job_index::note_cancelled(std::string_view id) {
    const auto found = this->jobs.find(id);
    auto& entry = found == this->jobs.end() ? this->jobs[std::string(id)] : found->second;
    this->adjust_pending_count(entry, -1);
    entry.cancel_requested = true;
    this->adjust_pending_count(entry, 1);
}

void job_index::begin_reload(std::int32_t partition, std::int32_t partitions) {
    std::erase_if(this->jobs, [=](const auto& item) {
        return !item.second.is_accepted() && partition_of_job(item.first, partitions) == partition;
    });
}

void job_index::drop_cancellation(std::string_view id) {
    const auto found = this->jobs.find(id);
    if (found != this->jobs.end() && !found->second.is_accepted()) {
        this->jobs.erase(found);
    }
}

void job_index::apply_state(const keyed_record& record) {
    if (record.value.empty()) {
        const auto found = this->jobs.find(record.key);
        if (found != this->jobs.end()) {
            this->adjust_pending_count(found->second, -1);
            this->jobs.erase(found);
        }
        return;
    }
    const auto state = parse_job_state(record.value);
    if (!state) {
        write_log(severity::warning, "state_record_unreadable", {{"key", record.key}});
        return;
    }
    auto& entry = this->jobs[record.key];
    entry.has_state_record = true;
    if (!is_final(entry.state)) {
        this->set_state(entry, *state);
    }
}

const indexed_job* job_index::find(std::string_view id) const {
    const auto found = this->jobs.find(id);
    return found == this->jobs.end() || !found->second.is_accepted() ? nullptr : &found->second;
}

std::int64_t job_index::pending_jobs(std::string_view queue) const {
    const auto found = this->pending_by_queue.find(queue);
    return found == this->pending_by_queue.end() ? 0 : found->second;
}

} // namespace hornbeamrail
