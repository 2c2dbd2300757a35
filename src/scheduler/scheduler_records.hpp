#pragma once

// Internal to src/scheduler: what waits for records of the log, and the records that are to be dropped.

#include "protocol/job.hpp"
#include "protocol/platform.hpp"
#include "protocol/platform_port.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace hornbeamrail {

/// A run whose start order is sent once its record is in the log.
struct recorded_start {
    std::string worker;
    task_id task;
    std::int64_t run = 0;
};

/// An applied end of a run, which is acknowledged once the progress of its job is in the log.
struct recorded_end {
    std::string worker;
    std::int64_t number = 0;
    std::string job;
};

/// Effects to run once the records that they depend on are in the log.
struct commit_batch {
    std::int64_t sequence = 0;
    std::vector<keyed_record> records;
    std::size_t records_appended = 0; ///< leading records that are in the log
    std::size_t records_in_flight = 0;
    std::vector<std::string> jobs;      ///< whose progress the records hold
    std::set<std::string> final_jobs;   ///< those of `jobs` that are recorded for the last time
    std::set<std::string> refused_jobs; ///< those of `jobs` whose progress the log has rejected
    std::vector<recorded_start> starts;
    std::vector<recorded_end> ends;
    std::vector<std::pair<std::string, job_state>> states; ///< to publish
};

/// A job whose progress the log has rejected. Nothing of it starts, ends or is published until the log
/// accepts its progress, and all other jobs go on.
struct unrecorded_job {
    boot_time retry_at{};
    std::chrono::milliseconds backoff{0};
    std::vector<recorded_end> ends;
    std::vector<job_state> states;
};

/// A final job.
struct final_job {
    std::int32_t partition = 0;  ///< of the jobs topic
    std::int32_t parts = 0;      ///< `recorded_progress::parts`
    bool state_recorded = false; ///< its final state is in the log
};

/// Final jobs of one partition of the jobs topic, whose records are dropped in the order in which they became
/// final.
struct partition_cleanup {
    struct item {
        std::string id;
        boot_time finished{};
        bool records_dropped = false; ///< there are none
        bool cancelled = false;
    };
    std::deque<item> jobs;
    std::size_t dropped = 0;   ///< leading jobs whose records are dropped
    std::size_t ordered = 0;   ///< jobs after these whose drop is in flight
    std::int64_t sequence = 0; ///< of the drop in flight
};

/// A cancellation in the log without a job that it can cancel: the job is final, its record follows, or there
/// is none. It applies to a job that follows within `site_limits::final_state_retention`.
struct open_cancellation {
    std::int32_t partition = 0; ///< of the jobs topic
    boot_time drop_at{};        ///< when its record is to be dropped
};

} // namespace hornbeamrail
