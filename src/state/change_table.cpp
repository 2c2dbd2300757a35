#include "state/change_table.hpp"

namespace hornbeamrail {

std::optional<change_outcome> change_table::find(std::string_view change_id) const {
    // Newest first, because a repeated append usually follows the original closely.
    for (auto entries = this->segments.rbegin(); entries != this->segments.rend(); ++entries) {
        const auto found = (*entries)->find(change_id);
        if (found != (*entries)->end()) {
            return found->second;
        }
    }
    return std::nullopt;
}

void change_table::insert(std::string change_id, change_outcome outcome) {
    if (this->segments.empty() || this->segments.back()->size() >= segment_entries) {
        this->segments.emplace_back();
        if (this->segments.size() > max_segments) {
            this->segments.pop_front();
        }
    }
    this->segments.back().write().insert_or_assign(std::move(change_id), std::move(outcome));
}

} // namespace hornbeamrail
