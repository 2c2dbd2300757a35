#pragma once

#include "protocol/platform.hpp"
#include "protocol/platform_port.hpp"

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace hornbeamrail {

/// What became of a record that a caller waits for.
enum class store_outcome {
    stored,
    not_stored, ///< certainly not, now or later
    unknown,
};

struct submission_queue_options {
    std::string producer; ///< unique to this process
    std::int32_t partition = 0;
    std::chrono::milliseconds interval{6}; ///< between two appends, to gather records
    std::chrono::milliseconds retry{60};   ///< after an append without answer
    std::chrono::milliseconds timeout{1000};
    std::size_t longest_batch = 400;
};

/// Stores the records of callers' requests in the jobs topic, in groups, one append at a time. An append
/// without answer is repeated with its sequence number, so that it takes effect once.
class submission_queue {
public:
    using callback = std::function<void(store_outcome)>;

    explicit submission_queue(submission_queue_options options);

    /// @param deadline when the caller needs an answer
    void add(keyed_record record, boot_time deadline, callback done);

    /// @return the append that is due, if any
    std::optional<append_call> tick(boot_time now);
    void on_append(const append_answer& answer, boot_time now);

    [[nodiscard]] std::size_t size() const noexcept { return this->waiting.size() + this->batch.size(); }

private:
    struct item {
        keyed_record record;
        boot_time deadline{};
        callback done;
    };

    [[nodiscard]] append_call make_append() const;
    void answer_batch(store_outcome outcome);
    void expire(std::deque<item>& items, boot_time now, store_outcome outcome);

    submission_queue_options options;
    std::deque<item> waiting;
    std::deque<item> batch; ///< items of the append under way; those already answered have no callback
    std::int64_t sequence = 0;
    std::int64_t epoch = 1;
    bool in_flight = false;
    bool uncertain = false; ///< an earlier try of the batch had no answer
    boot_time next_append{};
};

} // namespace hornbeamrail
