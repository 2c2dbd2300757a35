#pragma once

#include "fakes/seeded_generator.hpp"
#include "protocol/platform.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace hornbeamrail {

/// How an executor answers after it has stopped a run at its deadline.
enum class deadline_answer {
    stopped, ///< answers 504
    closed,  ///< closes the connection
    none,    ///< leaves the connection open and never answers
};

/// Faults and limits of a `fake_executor`. They can be changed while it runs.
struct fake_executor_options {
    std::int64_t slots = 8;
    std::chrono::microseconds lease_ttl{2'000'000};
    double run_time_factor = 1;    ///< actual run time divided by the requested one
    bool fails_everything = false; ///< every run fails after 1 ms
    double hang_fraction = 0;      ///< fraction of the runs that do not end before their deadline
    deadline_answer at_deadline = deadline_answer::stopped;
    std::chrono::microseconds stop_answer_delay{0}; ///< from the deadline to the answer or the close
    double late_fraction = 0; ///< fraction of the answers that are sent `late_by` after the end of the run
    std::chrono::microseconds late_by{3'000'000};
    double crossed_fraction =
        0; ///< fraction of the answers that carry the id and body of another run, if one is in progress
    double truncated_fraction = 0; ///< fraction of the answers that end in the middle of the body
    bool leaving = false;
};

/// Permission to start runs in free slots of an executor until the lease lapses.
struct slot_lease {
    std::string token;
    std::chrono::microseconds ttl{};
    std::int64_t slots = 0;
    std::int64_t running = 0;
    bool leaving = false;
};

struct fake_run {
    std::string token;
    std::string correlation_id;
    std::string body;
    std::chrono::microseconds run_time{};  ///< requested time, before `run_time_factor`
    std::chrono::microseconds remaining{}; ///< the executor stops the run after this time
};

enum class run_verdict { started, busy, lease_lapsed };

struct fake_run_answer {
    std::string correlation_id;
    std::string body;
    bool failed = false;  ///< the run ended without a result
    bool stopped = false; ///< the run was stopped at its deadline
    bool complete = true; ///< false: the connection closes before the end of the answer
};

struct fake_run_result {
    run_verdict verdict = run_verdict::started;
    boot_time ends{}; ///< when the run releases its slot
    std::optional<boot_time>
        answered; ///< when the answer is sent or the connection closes; absent: neither happens
    fake_run_answer answer;
};

/// In-memory stand-in of an executor with slots (8 by default) and slot leases. Not thread-safe. The caller
/// must deliver nothing to it before `paused_until()`.
class fake_executor {
public:
    explicit fake_executor(std::uint64_t seed, fake_executor_options options = {});

    [[nodiscard]] fake_executor_options& faults() noexcept { return this->options; }

    /// @return a new lease for @p holder; earlier leases stay valid until they lapse
    slot_lease lease(boot_time now, const std::string& holder);

    /// Starts a run, or refuses it without an effect.
    fake_run_result run(boot_time now, const fake_run& request);

    /// Drops every run and lease, as a restart of the executor process does. Results that `run`
    /// has already returned do not change; the caller has to discard them.
    void restart();

    /// Pauses the executor until @p until. The ends of runs in progress move by the length of the pause.
    void pause(boot_time now, boot_time until);
    [[nodiscard]] boot_time paused_until() const noexcept { return this->resume_time; }

    /// @return number of runs that occupy a slot at @p now
    [[nodiscard]] std::int64_t running(boot_time now);

    /// @return the answer body for a request body, so that callers can detect the answer to another request
    [[nodiscard]] static std::string answer_body(const std::string& request_body);

private:
    struct running_entry {
        std::string correlation_id;
        std::string body;
        boot_time ends;
    };

    void remove_ended_runs(boot_time now);
    void determine_outcome(boot_time now, const fake_run& request, fake_run_result& outcome);

    fake_executor_options options;
    seeded_generator generator;
    std::int64_t issued_leases = 0;
    std::map<std::string, boot_time> leases; ///< token -> end
    std::vector<running_entry> entries;
    boot_time resume_time{};
};

} // namespace hornbeamrail
