#include "protocol/job.hpp"

#include "protocol/json_reader.hpp"

#include <boost/json/array.hpp>
#include <fmt/format.h>

#include <array>
#include <limits>

namespace hornbeamrail {

namespace {

constexpr std::size_t max_payload_bytes = 4000;
constexpr std::int64_t max_int64 = std::numeric_limits<std::int64_t>::max() / 4;
constexpr std::int64_t max_int32 = std::numeric_limits<std::int32_t>::max();

constexpr std::array<std::string_view, 5> state_names{"pending", "running", "completed", "failed",
                                                      "cancelled"};

template <class Value>
void put_unless_default(boost::json::object& object, std::string_view name, const Value& value) {
    if (value != Value{}) {
        object[name] = value;
    }
}

boost::json::object to_json(const step_spec& step) {
    boost::json::object object;
    object["count"] = step.count;
    put_unless_default(object, "cpu", step.need.cpu_millicores);
    put_unless_default(object, "memory", step.need.memory_mb);
    put_unless_default(object, "accelerators", step.need.accelerators);
    put_unless_default(object, "estimate_ms", step.estimate.count());
    if (!step.after.empty()) {
        object["after"] = boost::json::array(step.after.begin(), step.after.end());
    }
    put_unless_default(object, "gang", step.gang);
    put_unless_default(object, "rack_sensitive", step.rack_sensitive);
    put_unless_default(object, "speculative", step.speculative);
    put_unless_default(object, "long_running", step.long_running);
    put_unless_default(object, "saves_progress", step.supports_checkpoints);
    put_unless_default(object, "fills", step.best_effort);
    put_unless_default(object, "required_label", step.required_label);
    put_unless_default(object, "data_rack", step.data_rack);
    put_unless_default(object, "max_per_worker", step.max_per_worker);
    put_unless_default(object, "image", step.image);
    put_unless_default(object, "latency_target_ms", step.latency_target.count());
    put_unless_default(object, "max_unavailable", step.max_unavailable);
    return object;
}

step_spec read_step(const boost::json::value& value, std::string path, std::vector<diagnostic>& findings) {
    object_reader reader(value, std::move(path), findings);
    const auto count_of = [&reader](std::string_view name, std::int64_t fallback) {
        return static_cast<std::int32_t>(reader.optional_integer(name, fallback, 0, max_int32));
    };
    step_spec step{
        .count = count_of("count", 1),
        .need = {.cpu_millicores = reader.optional_integer("cpu", 0, 0, max_int64),
                 .memory_mb = reader.optional_integer("memory", 0, 0, max_int64),
                 .accelerators = reader.optional_integer("accelerators", 0, 0, max_int64)},
        .estimate = std::chrono::milliseconds(reader.optional_integer("estimate_ms", 0, 0, max_int64)),
        .gang = reader.optional_bool("gang", false),
        .rack_sensitive = reader.optional_bool("rack_sensitive", false),
        .speculative = reader.optional_bool("speculative", false),
        .long_running = reader.optional_bool("long_running", false),
        .supports_checkpoints = reader.optional_bool("saves_progress", false),
        .best_effort = reader.optional_bool("fills", false),
        .required_label = reader.optional_string("required_label", ""),
        .data_rack = reader.optional_string("data_rack", ""),
        .max_per_worker = count_of("max_per_worker", 0),
        .image = reader.optional_string("image", ""),
        .latency_target =
            std::chrono::milliseconds(reader.optional_integer("latency_target_ms", 0, 0, max_int64)),
        .max_unavailable = count_of("max_unavailable", 0)};
    for (const auto& number : reader.array("after", false)) {
        step.after.push_back(number.is_int64() ? static_cast<std::int32_t>(number.as_int64()) : -1);
    }
    return step;
}

} // namespace

resources& resources::operator+=(const resources& other) noexcept {
    this->cpu_millicores += other.cpu_millicores;
    this->memory_mb += other.memory_mb;
    this->accelerators += other.accelerators;
    return *this;
}

resources& resources::operator-=(const resources& other) noexcept {
    this->cpu_millicores -= other.cpu_millicores;
    this->memory_mb -= other.memory_mb;
    this->accelerators -= other.accelerators;
    return *this;
}

bool fits(const resources& need, const resources& available) noexcept {
    return need.cpu_millicores <= available.cpu_millicores && need.memory_mb <= available.memory_mb &&
           need.accelerators <= available.accelerators;
}

std::int32_t partition_of_job(std::string_view id, std::int32_t partitions) noexcept {
    std::uint64_t sum = 0;
    for (const char digit : id) {
        sum += static_cast<unsigned char>(digit);
    }
    return static_cast<std::int32_t>(sum % static_cast<std::uint64_t>(partitions));
}

bool is_final(job_state state) noexcept {
    return state == job_state::completed || state == job_state::failed || state == job_state::cancelled;
}

std::string_view to_string(job_state state) noexcept {
    return state_names[static_cast<std::size_t>(state)];
}

std::optional<job_state> parse_job_state(std::string_view text) noexcept {
    for (std::size_t index = 0; index < state_names.size(); ++index) {
        if (state_names[index] == text) {
            return static_cast<job_state>(index);
        }
    }
    return std::nullopt;
}

namespace {

template <class Value>
bool is_within(Value value, Value lowest, Value highest) {
    return value >= lowest && value <= highest;
}

bool is_valid(const resources& need) {
    return is_within<std::int64_t>(need.cpu_millicores, 0, job_limits::max_resource) &&
           is_within<std::int64_t>(need.memory_mb, 0, job_limits::max_resource) &&
           is_within<std::int64_t>(need.accelerators, 0, job_limits::max_resource);
}

bool is_valid_duration(std::chrono::milliseconds duration) {
    return is_within(duration, std::chrono::milliseconds(0), job_limits::max_duration);
}

std::optional<std::string> find_schedule_problem(const job_spec& job) {
    constexpr auto latest_due = unix_time(std::chrono::hours(24 * 365 * 200));
    if (!is_within<std::int64_t>(job.occurrences, 0, job_limits::max_occurrences)) {
        return fmt::format("the number of occurrences is not between 0 and {}", job_limits::max_occurrences);
    }
    if (!is_valid_duration(job.interval)) {
        return "the interval is negative or longer than a year";
    }
    if (!is_within(job.first_due, unix_time(), latest_due)) {
        return "the first due time is out of range";
    }
    return std::nullopt;
}

std::optional<std::string> find_step_problem(const step_spec& step, std::size_t number) {
    if (step.count < 1) {
        return fmt::format("step {} has no tasks", number);
    }
    if (!is_valid(step.need)) {
        return fmt::format("the resources of step {} are negative or too large", number);
    }
    if (!is_valid_duration(step.estimate) || !is_valid_duration(step.latency_target)) {
        return fmt::format("a duration of step {} is negative or longer than a year", number);
    }
    if (step.max_per_worker < 0 || step.max_unavailable < 0) {
        return fmt::format("a limit of step {} is negative", number);
    }
    for (const auto earlier : step.after) {
        if (earlier < 0 || static_cast<std::size_t>(earlier) >= number) {
            return fmt::format("step {} waits for step {}, which is not an earlier one", number, earlier);
        }
    }
    return std::nullopt;
}

} // namespace

std::optional<std::string> find_problem(const job_spec& job) {
    if (job.id.size() != 16 || job.id.find_first_not_of("0123456789abcdef") != std::string::npos) {
        return "the id is not 16 lower-case hexadecimal digits";
    }
    if (job.payload.size() > max_payload_bytes) {
        return fmt::format("the payload is longer than {} bytes", max_payload_bytes);
    }
    if (job.steps.empty()) {
        return "the job has no steps";
    }
    if (job.steps.size() > job_limits::max_steps) {
        return fmt::format("the job has more than {} steps", job_limits::max_steps);
    }
    for (std::size_t number = 0; number < job.steps.size(); ++number) {
        if (auto problem = find_step_problem(job.steps[number], number)) {
            return problem;
        }
    }
    if (job.tasks_per_occurrence() > job_limits::max_tasks) {
        return fmt::format("the job has more than {} tasks", job_limits::max_tasks);
    }
    return find_schedule_problem(job);
}

boost::json::object to_json(const job_spec& job) {
    boost::json::object object;
    object["queue"] = job.queue;
    put_unless_default(object, "account", job.account);
    put_unless_default(object, "pool", job.pool);
    object["attempts"] = job.attempts;
    object["payload"] = job.payload;
    boost::json::array steps;
    for (const auto& step : job.steps) {
        steps.push_back(to_json(step));
    }
    object["steps"] = std::move(steps);
    put_unless_default(object, "occurrences", job.occurrences);
    put_unless_default(object, "first_due_ms", job.first_due.time_since_epoch().count());
    put_unless_default(object, "interval_ms", job.interval.count());
    object["submitted_ms"] = job.submitted.time_since_epoch().count();
    return object;
}

result<job_spec> parse_job(std::string_view id, const boost::json::value& document) {
    std::vector<diagnostic> findings;
    object_reader reader(document, "$", findings);
    const auto time_of = [&reader](std::string_view name) {
        return unix_time(std::chrono::milliseconds(reader.optional_integer(name, 0, -max_int64, max_int64)));
    };
    job_spec job{
        .id = std::string(id),
        .queue = reader.required_string("queue"),
        .account = reader.optional_string("account", ""),
        .pool = reader.optional_string("pool", ""),
        .attempts = static_cast<std::int32_t>(reader.optional_integer("attempts", 1, 0, max_int32)),
        .payload = reader.optional_string("payload", ""),
        .occurrences = static_cast<std::int32_t>(reader.optional_integer("occurrences", 0, 0, max_int32)),
        .first_due = time_of("first_due_ms"),
        .interval = std::chrono::milliseconds(reader.optional_integer("interval_ms", 0, 0, max_int64)),
        .submitted = time_of("submitted_ms")};
    const auto& steps = reader.array("steps", true);
    for (std::size_t index = 0; index < steps.size(); ++index) {
        job.steps.push_back(read_step(steps[index], indexed_path("$.steps", index), findings));
    }
    if (!findings.empty()) {
        return make_error(errc::parse_failed, findings.front().path + ": " + findings.front().message,
                          "check for other programs that write to the topic");
    }
    if (auto problem = find_problem(job)) {
        return make_error(errc::parse_failed, std::move(*problem),
                          "check for other programs that write to the topic");
    }
    return job;
}

} // namespace hornbeamrail
