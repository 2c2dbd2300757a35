#pragma once

#include "protocol/platform.hpp"
#include "protocol/platform_port.hpp"
#include "protocol/site_document.hpp"

#include <boost/json/value.hpp>

#include <chrono>
#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace hornbeamrail {

/// Appends to the progress topic; answered by `on_committed`.
struct commit_progress {
    std::int64_t sequence = 0;
    std::vector<keyed_record> records;
};

/// Appends to the states topic; answered by `on_published`.
struct publish_states {
    std::int64_t sequence = 0;
    std::vector<keyed_record> records;
};

/// Appends to a partition of the jobs topic. Needs no answer.
struct drop_job_records {
    std::int32_t partition = 0;
    std::vector<keyed_record> records;
};

struct send_start {
    worker_target worker;
    start_order order;
};

struct send_stop {
    worker_target worker;
    stop_order order;
};

struct send_pace {
    worker_target worker;
    pace_order order;
};

struct send_hold {
    worker_target worker;
    hold_order order;
};

/// Reads the whole list of VMs; answered by `on_vm_list`.
struct read_vm_list {};

struct order_move {
    vm_order order;
};

struct order_maintenance {
    vm_order order;
};

/// Appends to the reports topic; answered by `on_reported`.
struct write_report {
    std::int64_t wave = 0;
    bool completed = false;
};

struct ask_advice {
    advice_call call;
};

using scheduler_action =
    std::variant<commit_progress, publish_states, drop_job_records, send_start, send_stop, send_pace,
                 send_hold, read_vm_list, order_move, order_maintenance, write_report, ask_advice>;

struct scheduler_options {
    std::string node_id;
    site_limits limits;
};

/// Decides for the whole site which task runs where: order, placement, leases of workers, VM moves and
/// maintenance. One node at a time has the scheduler's lease; its term fences every order and record.
///
/// A start is recorded in the progress topic before the order is sent, so a successor knows every run that
/// may exist. The end of a run is recorded before the worker may forget it.
///
/// Does no I/O: inputs carry the time, `tick` returns what the driver has to do. Not thread-safe.
class scheduler {
public:
    explicit scheduler(scheduler_options options);
    ~scheduler();
    scheduler(const scheduler&) = delete;
    scheduler& operator=(const scheduler&) = delete;

    /// Begins a term with nothing known.
    /// @param term number of the lease; higher than that of every predecessor
    void begin_term(std::int64_t term, boot_time now);

    /// Ends the term: nothing is ordered any more.
    void end_term();

    [[nodiscard]] std::int64_t term() const noexcept;

    /// Feeds what the log holds at the begin of a term, before `finish_load`. Jobs come before their
    /// progress.
    void load_job(std::int32_t partition, const keyed_record& record);
    void load_progress(const keyed_record& record);
    void load_state(const keyed_record& record);
    void finish_load(boot_time now);

    /// Feeds records of the jobs topic during the term. Repeated records are harmless.
    void on_job_record(std::int32_t partition, const keyed_record& record, boot_time now);

    void set_config(std::shared_ptr<const site_config> config);
    void set_zones_out(std::set<std::string> zones);
    void set_waves(std::vector<wave_request> waves);

    /// @param entry what the worker says of itself
    void on_worker(const worker_entry& entry, boot_time now);
    void on_worker_removed(const std::string& id, boot_time now);

    /// Removes every worker that is not in @p ids, after the workers topic was read anew.
    void retain_listed_workers(const std::set<std::string>& ids, boot_time now);

    /// @param last_contact when the node last had an answer from the log
    void set_log_contact(boot_time last_contact);

    /// @param renewed when the latest renewal of the lease that took effect was sent
    void set_lease_renewed(boot_time renewed);

    void on_committed(std::int64_t sequence, boot_time now);
    void on_published(std::int64_t sequence, boot_time now);
    void on_reported(std::int64_t wave, bool completed, bool done);

    void on_start_answer(const worker_target& worker, const start_order& order, const order_answer& answer,
                         boot_time now);
    void on_stop_answer(const worker_target& worker, const stop_order& order, const order_answer& answer,
                        boot_time now);
    void on_pace_answer(const worker_target& worker, const pace_order& order, const order_answer& answer,
                        boot_time now);
    void on_hold_report(const worker_target& worker, const hold_order& order, const hold_report& report,
                        boot_time now);
    void on_vm_list(const std::vector<vm_entry>& vms, boot_time asked_at, boot_time now);
    void on_vm_list_failed(boot_time now);
    void on_vm_order(const vm_order& order, vm_order_outcome outcome, boot_time now);
    void on_advice(const advice_call& call, const advice_answer& answer, boot_time now);

    /// Does what is due.
    /// @param now steady time
    /// @param clock time of day, for occurrences
    /// @return what the driver has to do, in order
    std::vector<scheduler_action> tick(boot_time now, unix_time clock);

    /// @return jobs, workers and waves for the dump of the process
    [[nodiscard]] boost::json::value dump(boot_time now) const;

private:
    struct impl;
    std::unique_ptr<impl> self;
};

} // namespace hornbeamrail
