#pragma once

#include "coordination/core_action.hpp"
#include "coordination/core_options.hpp"
#include "protocol/platform.hpp"
#include "state/fleet_state.hpp"

#include <cstdint>
#include <list>
#include <optional>
#include <random>
#include <string>
#include <string_view>

namespace hornbeamrail {

/// Records on their way into the log.
///
/// A record stays in the queue until the fold shows its outcome. After a lost answer the same change id is
/// appended again with backoff; the fold drops the repeat. All records of a node share one token bucket.
class append_queue {
public:
    static constexpr std::size_t max_records = 4096;
    static constexpr std::size_t max_calls = 3; ///< calls without an answer at once

    append_queue(const core_limits& limits, std::uint64_t seed);

    /// @return false when the queue is full; a change id that is queued already is true and has no effect
    bool add(const log_record& record);

    /// @return the next append call, if the token bucket allows one
    std::optional<append_records> next_call(boot_time now, const fleet_state& state);

    void on_appended(std::uint64_t batch, log_offset first_offset);
    void on_failed(boot_time now, std::uint64_t batch);

    /// The log answers again: waiting repeats are due soon.
    void on_log_back(boot_time now);

    /// Drops the records whose outcome the fold holds, and those whose outcome it may have forgotten.
    void settle(const fleet_state& state);

    /// Drops a record that has not been sent yet.
    void withdraw(std::string_view change_id);

    [[nodiscard]] bool contains(std::string_view change_id) const;
    [[nodiscard]] std::size_t size() const noexcept { return this->records.size(); }
    [[nodiscard]] bool empty() const noexcept { return this->records.empty(); }
    [[nodiscard]] std::int64_t calls() const noexcept { return this->call_count; }
    [[nodiscard]] std::int64_t repeats() const noexcept { return this->repeat_count; }
    [[nodiscard]] std::int64_t forgotten() const noexcept { return this->forgotten_count; }

private:
    enum class phase { waiting, in_flight, appended };
    struct queued_record {
        std::string change_id;
        std::string bytes;
        phase state = phase::waiting;
        boot_time due{};
        int attempts = 0;
        log_offset first_try = 0; ///< fold offset when it was sent first
        log_offset offset = 0;    ///< set when the log has answered
        std::uint64_t batch = 0;
    };

    std::chrono::microseconds repeat_delay(int attempts);

    core_limits limits;
    std::mt19937_64 random;
    std::list<queued_record> records;
    boot_time next_call_at{};
    std::uint64_t last_batch = 0;
    std::size_t calls_in_flight = 0;
    std::int64_t call_count = 0;
    std::int64_t repeat_count = 0;
    std::int64_t forgotten_count = 0;
};

} // namespace hornbeamrail
