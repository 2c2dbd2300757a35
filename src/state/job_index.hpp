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

/// Suffix of the key under which a cancellation is kept beside its job.
inline constexpr std::string_view cancel_suffix = ".c";

/// What every node knows of a job, enough to answer its submitter.
struct indexed_job {
    job_state state = job_state::pending;
    bool cancel_requested = false;
    bool timed = false;
    std::string queue; ///< empty: only the state is known
};

/// Jobs of the whole site by id, folded from the topics of jobs and of states. Records may arrive repeatedly
/// and the two topics in any order.
class job_index {
public:
    /// @param record a record of the jobs topic
    void apply_job(const keyed_record& record);

    /// @param record a record of the states topic
    void apply_state(const keyed_record& record);

    /// Notes a job that this node has just stored, ahead of its record.
    void note_stored(const job_spec& job);

    /// Notes a cancellation that this node has just stored, ahead of its record.
    void note_cancelled(std::string_view id);

    /// @return the job, or null
    [[nodiscard]] const indexed_job* find(std::string_view id) const;

    /// @return accepted jobs of the queue of which no task has started
    [[nodiscard]] std::int64_t waiting(std::string_view queue) const;

    [[nodiscard]] std::size_t size() const noexcept { return this->jobs.size(); }

private:
    struct text_hash {
        using is_transparent = void;
        std::size_t operator()(std::string_view text) const noexcept {
            return std::hash<std::string_view>()(text);
        }
    };

    void set_state(indexed_job& job, job_state state);
    void count(const indexed_job& job, std::int64_t change);

    std::unordered_map<std::string, indexed_job, text_hash, std::equal_to<>> jobs;
    std::map<std::string, std::int64_t, std::less<>> waiting_by_queue;
};

} // namespace hornbeamrail
