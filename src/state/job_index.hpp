#pragma once

#include "protocol/job.hpp"
#include "protocol/platform_port.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace hornbeamrail {

/// Suffix of the key of a cancellation record; the rest of the key is the job id.
inline constexpr std::string_view cancel_suffix = ".c";

/// Summary of a job that every node keeps to answer queries.
struct indexed_job {
    job_state state = job_state::pending;
    bool cancel_requested = false;
    bool timed = false;
    bool has_state_record = false;
    std::string queue; ///< empty until the job record arrives

    /// @return whether the job was accepted; a cancellation alone does not show that
    [[nodiscard]] bool is_accepted() const noexcept { return !this->queue.empty() || this->has_state_record; }
};

/// Index of all jobs of the site by id, folded from the topics `jobs` and `states`. Records may be repeated,
/// and the two topics may arrive in any order.
class job_index {
public:
    /// Applies a record of the jobs topic.
    void apply_job(const keyed_record& record);

    /// Prepares for reading the newest records of one partition of the jobs topic: drops of records may have
    /// been missed, so the cancellations without a job are forgotten.
    /// @param partitions number of partitions
    void begin_reload(std::int32_t partition, std::int32_t partitions);

    /// Applies a record of the states topic. An empty value removes the job.
    void apply_state(const keyed_record& record);

    /// Adds a job that this node has just stored, before its record arrives.
    void note_stored(const job_spec& job);

    /// Marks a job as cancelled when this node has just stored the cancellation, before its record arrives.
    /// The job itself may not have arrived yet.
    void note_cancelled(std::string_view id);

    /// @return the job, or nullptr if no accepted job of this id is known
    [[nodiscard]] const indexed_job* find(std::string_view id) const;

    /// @return number of accepted jobs of the queue that are pending: not started and not cancelled
    [[nodiscard]] std::int64_t pending_jobs(std::string_view queue) const;

    [[nodiscard]] std::size_t size() const noexcept { return this->jobs.size(); }

private:
    struct text_hash {
        using is_transparent = void;
        std::size_t operator()(std::string_view text) const noexcept {
            return std::hash<std::string_view>()(text);
        }
    };

    void set_state(indexed_job& job, job_state state);
    /// Forgets the cancellation of a job that was never accepted, as its record is dropped.
    void drop_cancellation(std::string_view id);
    /// Adds @p change to the count of its queue if the job is pending.
    void adjust_pending_count(const indexed_job& job, std::int64_t change);

    std::unordered_map<std::string, indexed_job, text_hash, std::equal_to<>> jobs;
    std::map<std::string, std::int64_t, std::less<>> pending_by_queue;
};

} // namespace hornbeamrail
