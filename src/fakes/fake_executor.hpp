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

/// What an executor does at the deadline of a run, after it has stopped the work.
enum class deadline_answer {
    stopped, ///< answers 504
    closed,  ///< closes the connection
    none,    ///< leaves the connection open and never answers
};

/// Faults and limits of a `fake_executor`. They can be changed while it runs.
struct fake_executor_options {
    std::int64_t slots = 8;
    std::chrono::microseconds lease_ttl{2'000'000};
    double run_time_factor = 1;    ///< true run time over the requested one
    bool fails_everything = false; ///< every run fails after 1 ms
    double hang_part = 0;          ///< part of the runs that do not end before their deadline
    deadline_answer at_deadline = deadline_answer::stopped;
    std::chrono::microseconds stop_answer_delay{0}; ///< from the deadline to the answer or the close
    double late_part = 0; ///< part of the answers that come `late_by` after the end of the run
    std::chrono::microseconds late_by{3'000'000};
    double crossed_part = 0; ///< part of the answers that carry the correlation id of another run
    double half_part = 0;    ///< part of the answers that break off in the middle
    bool leaving = false;
};

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
    std::chrono::microseconds run_time{};  ///< true time before `run_time_factor`
    std::chrono::microseconds remaining{}; ///< the executor stops the run after this time
};

enum class run_verdict { started, busy, lease_lapsed };

struct fake_run_answer {
    std::string correlation_id;
    std::string body;
    bool failed = false;  ///< the run ended without a result
    bool stopped = false; ///< the run was stopped at its deadline
    bool complete = true; ///< false: the connection breaks off within the answer
};

struct fake_run_result {
    run_verdict verdict = run_verdict::started;
    boot_time ends{};                  ///< when the run leaves its slot
    std::optional<boot_time> answered; ///< when the answer is sent; absent: never
    fake_run_answer answer;
};

/// In-memory stand-in of an executor: 8 slots and slot leases. Not thread-safe. While it is paused the caller
/// delivers nothing to it before `paused_until()`.
class fake_executor {
public:
    explicit fake_executor(std::uint64_t seed, fake_executor_options options = {});

    [[nodiscard]] fake_executor_options& faults() noexcept { return this->options; }

    /// @return a new lease for @p holder; the ones before it stay valid until they lapse
    slot_lease lease(boot_time now, const std::string& holder);

    /// Starts a run, or refuses it without running it.
    fake_run_result run(boot_time now, const fake_run& request);

    /// Ends every run without an answer, and every lease.
    void restart();

    /// Delays everything up to @p until; runs in progress end that much later.
    void pause(boot_time now, boot_time until);
    [[nodiscard]] boot_time paused_until() const noexcept { return this->resumes; }

    [[nodiscard]] std::int64_t running(boot_time now);

    /// @return the answer body of a run, so that callers can check that they got their own
    [[nodiscard]] static std::string answer_body(const std::string& request_body);

private:
    struct running_entry {
        std::string correlation_id;
        std::string body;
        boot_time ends;
    };

    void drop_ended(boot_time now);
    void shape_answer(boot_time now, const fake_run& request, fake_run_result& outcome);

    fake_executor_options options;
    seeded_generator generator;
    std::int64_t issued = 0;
    std::map<std::string, boot_time> leases; ///< token -> end
    std::vector<running_entry> entries;
    boot_time resumes{};
};

} // namespace hornbeamrail
