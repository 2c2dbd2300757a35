#pragma once

#include "protocol/log_record.hpp"
#include "state/cow.hpp"

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace hornbeamrail {

/// Result of folding one change.
struct change_outcome {
    log_offset offset = 0;
    bool accepted = false;
    std::string reason; ///< empty when accepted
};

/// Outcomes of the most recent changes by change id, in bounded memory.
///
/// The entries are divided into copy-on-write segments, so that consecutive published copies share all but
/// the newest segment.
class change_table {
public:
    using segment = std::map<std::string, change_outcome, std::less<>>;
    static constexpr std::size_t segment_entries = 512;
    static constexpr std::size_t max_segments = 32;

    /// @return the outcome, or nothing when the change is unknown or was evicted
    [[nodiscard]] std::optional<change_outcome> find(std::string_view change_id) const;

    /// Adds an outcome. Evicts the oldest segment when the table is full.
    void insert(std::string change_id, change_outcome outcome);

    /// @return the segments, oldest first, for snapshots
    [[nodiscard]] const std::deque<cow<segment>>& all() const noexcept { return this->segments; }

private:
    std::deque<cow<segment>> segments;
};

} // namespace hornbeamrail
