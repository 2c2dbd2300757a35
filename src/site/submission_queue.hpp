#pragma once

#include "protocol/append_window.hpp"
#include "protocol/platform.hpp"
#include "protocol/platform_port.hpp"

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hornbeamrail {

/// Result of storing a record.
enum class store_outcome {
    stored,
    not_stored, ///< not stored, and no earlier attempt can still take effect
    rejected,   ///< the log does not accept this record; no attempt took effect or will
    unknown,
};

/// @return why a record is not known to be stored, for logs; "stored" if it is
std::string_view to_string(store_outcome outcome) noexcept;

/// Settings of a `submission_queue`.
struct submission_queue_options {
    std::string producer; ///< producer name in the log; unique to this process
    std::int32_t partition = 0;
    std::chrono::milliseconds append_interval{6}; ///< between two appends, to batch records
    std::chrono::milliseconds retry_delay{60};    ///< after an append without an answer
    std::chrono::milliseconds timeout{1000};      ///< of one append
    append_limits appends;
};

/// Stores the records of callers' requests in the jobs topic, in batches, one append at a time. An append
/// without an answer is retried with the same sequence number, so that it takes effect once. A record that
/// the log does not accept fails alone: the records of its batch are appended without it.
///
/// Does no I/O: the caller sends the appends that `tick` returns and passes the answers to `on_append`. Not
/// thread-safe.
class submission_queue {
public:
    using callback = std::function<void(store_outcome)>;

    explicit submission_queue(submission_queue_options options);

    /// @param deadline when @p done is called at the latest, by `tick`
    /// @param done called exactly once unless the queue is destroyed first
    void add(keyed_record record, boot_time deadline, callback done);

    /// Answers expired submissions.
    /// @return the append to send now, if any
    std::optional<append_call> tick(boot_time now);
    /// Handles the answer to the append in flight.
    void on_append(const append_answer& answer, boot_time now);

    /// @return number of records that are queued or in the batch
    [[nodiscard]] std::size_t size() const noexcept { return this->queued.size() + this->batch.size(); }

private:
    struct submission {
        keyed_record record;
        boot_time deadline{};
        callback done;
    };

    [[nodiscard]] append_call make_append() const;
    /// Moves the queued records that fit into one append to the batch.
    void fill_batch();
    void answer_batch(store_outcome outcome);
    /// Fails the only record of the batch, or returns all records to the queue for smaller appends.
    void on_rejected(const append_answer& answer);
    void expire(std::deque<submission>& items, boot_time now, store_outcome outcome);

    submission_queue_options options;
    append_window window;
    std::deque<submission> queued;
    std::deque<submission> batch; ///< records of the append in flight; `done` is empty once answered
    std::int64_t sequence = 0;
    std::int64_t epoch = 1;
    bool in_flight = false;
    bool may_be_appended = false; ///< an earlier attempt of the batch had no answer
    boot_time next_append{};
};

} // namespace hornbeamrail
