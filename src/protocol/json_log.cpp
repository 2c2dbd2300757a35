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

/// Log lines of one event in the current one-second window.
struct event_budget {
    std::chrono::steady_clock::time_point window_start{};
    std::int64_t written = 0;
    std::int64_t suppressed = 0;
};

/// Rate limiter for log lines, per event.
class line_limiter {
public:
    /// @param suppressed receives the number of lines of the event dropped since its last written line
    /// @return whether to write the line
    bool admit(std::string_view event, std::int64_t& suppressed) {
        const auto now = std::chrono::steady_clock::now();
        const std::lock_guard lock(this->mutex);
        const auto found = this->budgets.find(event);
        auto& budget = found == this->budgets.end() ? this->budgets[std::string(event)] : found->second;
        if (now >= budget.window_start + std::chrono::seconds(1)) {
            budget.window_start = now;
            budget.written = 0;
        }
        if (budget.written >= max_lines_per_second) {
            ++budget.suppressed;
            return false;
        }
        ++budget.written;
        suppressed = std::exchange(budget.suppressed, 0);
        return true;
    }

private:
    std::mutex mutex; ///< leaf lock: no other lock is taken while it is held
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
    std::int64_t suppressed = 0;
    if (level < threshold.load() || !limiter().admit(event, suppressed)) {
        return;
    }
    const auto now =
        std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
    boost::json::object line{
        {"time", fmt::format("{:%FT%T}Z", fmt::gmtime(now))}, {"severity", name_of(level)}, {"event", event}};
    for (auto& field : fields) {
        line.insert_or_assign(field.key(), std::move(field.value()));
    }
    if (suppressed > 0) {
        line["lines_left_out"] = suppressed;
    }
    // One write per line, so that lines of several threads do not interleave. A failed write is ignored: a
    // slow reader loses lines and does not block the process.
    const auto text = boost::json::serialize(line) + "\n";
    const int target = to_standard_output.load() ? STDOUT_FILENO : STDERR_FILENO;
    if (::write(target, text.data(), text.size()) < 0) {
        return;
    }
}

} // namespace hornbeamrail
