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

/// What the fold decided about one change.
struct change_outcome {
    log_offset offset = 0;
    bool accepted = false;
    std::string reason; ///< empty when accepted
};

/// Outcomes of the most recent changes by change id, in bounded memory.
///
/// Entries live in segments so that a published copy shares all but the newest segment with the next one.
class change_table {
public:
    using segment = std::map<std::string, change_outcome, std::less<>>;
    static constexpr std::size_t segment_entries = 512;
    static constexpr std::size_t max_segments = 32;

    /// @return the outcome, or nothing when the change is unknown or older than the table reaches
    [[nodiscard]] std::optional<change_outcome> find(std::string_view change_id) const;

    void insert(std::string change_id, change_outcome outcome);

    /// @return the segments, oldest first, for snapshots
    [[nodiscard]] const std::deque<cow<segment>>& all() const noexcept { return this->segments; }

private:
    std::deque<cow<segment>> segments;
};

} // namespace hornbeamrail
