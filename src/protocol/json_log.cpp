#include "protocol/json_log.hpp"

#include <boost/json/serialize.hpp>
#include <fmt/chrono.h>
#include <fmt/format.h>

#include <limits.h>
#include <poll.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <csignal>
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

/// Writes a line unless that would block because its reader is slow or stopped.
/// @param text at most `PIPE_BUF` bytes
/// @return whether it was written
bool write_line(int target, std::string_view text) {
    static std::mutex mutex; // leaf lock: no other lock is taken while it is held
    const std::lock_guard lock(mutex);
    pollfd state{.fd = target, .events = POLLOUT, .revents = 0};
    // A descriptor that is ready takes `PIPE_BUF` bytes at once. Non-blocking mode is no choice: it would
    // hold for all processes that share the descriptor.
    const bool is_ready = ::poll(&state, 1, 0) == 1 && (state.revents & POLLOUT) != 0;
    return is_ready && ::write(target, text.data(), text.size()) == static_cast<ssize_t>(text.size());
}

/// Lines that could not be written since the last one that was.
std::atomic<std::int64_t> unwritten_lines{0};

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
    std::signal(SIGPIPE, SIG_IGN); // a process goes on when the reader of its log has ended
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
    const auto unwritten = unwritten_lines.exchange(0);
    if (unwritten > 0) {
        line["lines_dropped"] = unwritten;
    }
    auto text = boost::json::serialize(line) + "\n";
    if (text.size() > PIPE_BUF) {
        const boost::json::object head{{"time", line["time"]},
                                       {"severity", line["severity"]},
                                       {"event", line["event"]},
                                       {"line_bytes", text.size()}};
        text = boost::json::serialize(head) + "\n";
    }
    if (!write_line(to_standard_output.load() ? STDOUT_FILENO : STDERR_FILENO, text)) {
        unwritten_lines += unwritten + 1;
    }
}

} // namespace hornbeamrail
