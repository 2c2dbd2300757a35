#include "protocol/json_log.hpp"

#include <boost/json/serialize.hpp>
#include <fmt/chrono.h>
#include <fmt/format.h>

#include <unistd.h>

#include <atomic>
#include <chrono>
#include <map>
#include <mutex>
#include <string>
#include <utility>

namespace hornbeamrail {

namespace {

std::atomic<severity> threshold{severity::info};
std::atomic<bool> to_standard_output{false};

/// Lines of one event in the current second.
struct event_budget {
    std::chrono::steady_clock::time_point second{};
    std::int64_t written = 0;
    std::int64_t left_out = 0;
};

/// Decides which lines are written.
class line_limiter {
public:
    /// @param left_out receives the number of lines of the event that were not written before this one
    /// @return whether to write the line
    bool admit(std::string_view event, std::int64_t& left_out) {
        const auto now = std::chrono::steady_clock::now();
        const std::lock_guard lock(this->mutex);
        const auto found = this->budgets.find(event);
        auto& budget = found == this->budgets.end() ? this->budgets[std::string(event)] : found->second;
        if (now >= budget.second + std::chrono::seconds(1)) {
            budget.second = now;
            budget.written = 0;
        }
        if (budget.written >= max_lines_per_second) {
            ++budget.left_out;
            return false;
        }
        ++budget.written;
        left_out = std::exchange(budget.left_out, 0);
        return true;
    }

private:
    std::mutex mutex; ///< leaf lock
    std::map<std::string, event_budget, std::less<>> budgets;
};

line_limiter& limiter() {
    static line_limiter instance;
    return instance;
}

std::string_view name_of(severity level) {
    switch (level) {
    case severity::debug:
        return "debug";
    case severity::info:
        return "info";
    case severity::warning:
        return "warning";
    case severity::error:
        return "error";
    }
    return "error";
}

} // namespace

void set_log_threshold(severity lowest) noexcept {
    threshold.store(lowest);
}

void log_to_standard_output() noexcept {
    to_standard_output.store(true);
}

void write_log(severity level, std::string_view event, boost::json::object fields) {
    std::int64_t left_out = 0;
    if (level < threshold.load() || !limiter().admit(event, left_out)) {
        return;
    }
    const auto now =
        std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
    boost::json::object line{
        {"time", fmt::format("{:%FT%T}Z", fmt::gmtime(now))}, {"severity", name_of(level)}, {"event", event}};
    for (auto& field : fields) {
        line.insert_or_assign(field.key(), std::move(field.value()));
    }
    if (left_out > 0) {
        line["lines_left_out"] = left_out;
    }
    // One call per line, so lines of several threads do not mix. A reader that does not keep up loses lines
    // instead of holding up the process.
    const auto text = boost::json::serialize(line) + "\n";
    const int target = to_standard_output.load() ? STDOUT_FILENO : STDERR_FILENO;
    if (::write(target, text.data(), text.size()) < 0) {
        return;
    }
}

} // namespace hornbeamrail
