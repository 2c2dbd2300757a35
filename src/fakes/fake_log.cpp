#include "fakes/fake_log.hpp"

#include <algorithm>

namespace hornbeamrail {

fake_log::fake_log(std::uint64_t seed, fake_log_options initial) : options(initial), generator(seed) {}

log_offset fake_log::write(const std::vector<std::string>& batch) {
    const log_offset offset = this->head();
    this->records.insert(this->records.end(), batch.begin(), batch.end());
    while (this->records.size() > this->options.retained_records) {
        this->records.pop_front();
        ++this->first;
    }
    return offset;
}

fake_append_result fake_log::append(const std::vector<std::string>& batch) {
    if (this->options.down) {
        return {};
    }
    fake_append_result outcome{.applied = true, .first_offset = this->write(batch)};
    if (this->generator.chance(this->options.duplicate_fraction)) {
        this->write(batch);
    }
    if (this->generator.chance(this->options.lost_answer_fraction)) {
        outcome.first_offset.reset();
    }
    return outcome;
}

std::optional<log_read> fake_log::read(log_offset from, std::size_t max_records) const {
    if (this->options.down) {
        return std::nullopt;
    }
    return log_read{
        .first = this->first, .head = this->head(), .entries = this->entries_from(from, max_records)};
}

std::vector<log_entry> fake_log::entries_from(log_offset from, std::size_t max_records) const {
    std::vector<log_entry> entries;
    for (log_offset offset = std::max(from, this->first);
         offset < this->head() && entries.size() < max_records; ++offset) {
        entries.push_back({offset, this->records[static_cast<std::size_t>(offset - this->first)]});
    }
    return entries;
}

} // namespace hornbeamrail
