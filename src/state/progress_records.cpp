#include "state/progress_records.hpp"

#include "protocol/json_log.hpp"

#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <charconv>
#include <functional>
#include <utility>

namespace hornbeamrail {

namespace {

/// Number of fields in the row of a task: [occurrence, step, index, phase, run, failures, worker,
/// checkpoint].
constexpr std::size_t task_row_fields = 8;
constexpr std::size_t checkpoint_field = 7;
/// Separates the id of the job from the number of the part in a key.
constexpr char part_separator = '/';
/// Tasks of one part. A full one leaves several kilobytes for the checkpoint of each task.
constexpr std::int64_t tasks_per_part = 32;

boost::leaf::error_id malformed_record(std::string message) {
    return make_error(errc::parse_failed, std::move(message),
                      "check for other programs that write to the topic");
}

/// @return whether the task has never been started or reserved; such tasks are not recorded
bool is_untouched(const task_progress& task) {
    return task.phase == run_phase::waiting && task.run == 0 && !task.is_reserved();
}

/// Calls @p visit with the number, step, index and progress of each task that is recorded.
template <class Visit>
void for_each_recorded_task(const job_progress& job, Visit visit) {
    for (const auto& occurrence : job.occurrences) {
        for (std::size_t step = 0; step < occurrence.steps.size(); ++step) {
            const auto& tasks = occurrence.steps[step].tasks;
            for (std::size_t index = 0; index < tasks.size(); ++index) {
                if (!is_untouched(tasks[index])) {
                    visit(task_id{.occurrence = occurrence.number,
                                  .step = static_cast<std::int32_t>(step),
                                  .index = static_cast<std::int32_t>(index)},
                          tasks[index]);
                }
            }
        }
    }
}

/// @return the row of a task, without its checkpoint
boost::json::array make_row(const job_progress& job, const task_id& id, const task_progress& task) {
    const bool reserved = task.is_reserved() && !is_final(job.state);
    const bool active = reserved || task.phase == run_phase::placed || task.phase == run_phase::running;
    // Running and reserved tasks are recorded as placed: a new scheduler queries the worker for the actual
    // state.
    return {id.occurrence,
            id.step,
            id.index,
            static_cast<int>(active ? run_phase::placed : task.phase),
            reserved ? task.run + 1 : task.run,
            task.failures,
            active ? (reserved ? task.reserved_worker : task.worker) : std::string(),
            ""};
}

std::string_view checkpoint_of(const job_progress& job, const task_progress& task) {
    return task.phase == run_phase::done || job.recorded.omits_checkpoints ? std::string_view()
                                                                           : task.checkpoint;
}

/// Rows of tasks with the checkpoints that belong into them.
struct task_rows {
    boost::json::array rows;
    std::vector<std::string_view> checkpoints; ///< in the order of the rows
};

/// @return the rows with their checkpoints as text
std::string serialize_rows(const task_rows& tasks) {
    auto rows = tasks.rows;
    for (std::size_t at = 0; at < rows.size(); ++at) {
        rows[at].as_array()[checkpoint_field] = tasks.checkpoints[at];
    }
    return boost::json::serialize(rows);
}

/// @return the rows as text, with the checkpoints that fit
std::string serialize_rows_within(task_rows& tasks, const std::string& key, std::size_t max_bytes) {
    auto text = serialize_rows(tasks);
    std::size_t omitted = 0;
    while (text.size() > max_bytes) {
        const auto longest =
            std::max_element(tasks.checkpoints.begin(), tasks.checkpoints.end(),
                             [](const auto& left, const auto& right) { return left.size() < right.size(); });
        if (longest == tasks.checkpoints.end() || longest->empty()) {
            break;
        }
        *longest = {};
        ++omitted;
        text = serialize_rows(tasks);
    }
    if (omitted > 0) {
        write_log(severity::warning, "checkpoints_not_recorded",
                  {{"key", key}, {"checkpoints", omitted}, {"max_bytes", max_bytes}});
    }
    return text;
}

/// @return tasks that may be open at once
std::int64_t open_tasks_limit(const job_progress& job) {
    const auto occurrences = std::min(job.max_open_occurrences(), job.spec.occurrence_count());
    return occurrences * job.spec.tasks_per_occurrence();
}

/// @return for each step the number of tasks in the steps before it
std::vector<std::int64_t> tasks_before_steps(const job_spec& job) {
    std::vector<std::int64_t> offsets;
    std::int64_t tasks = 0;
    for (const auto& step : job.steps) {
        offsets.push_back(tasks);
        tasks += step.count;
    }
    return offsets;
}

std::string part_key(const std::string& job, std::int32_t part) {
    return job + part_separator + std::to_string(part);
}

boost::json::object make_main_object(const job_progress& job) {
    return {{"state", to_string(job.state)}, {"finished", job.finished_occurrences}};
}

/// @return the main record with all tasks
keyed_record encode_whole(const job_progress& job) {
    boost::json::array rows;
    for_each_recorded_task(job, [&](const task_id& id, const task_progress& task) {
        auto row = make_row(job, id, task);
        row[checkpoint_field] = checkpoint_of(job, task);
        rows.push_back(std::move(row));
    });
    auto object = make_main_object(job);
    object["tasks"] = std::move(rows);
    return {.key = job.spec.id, .value = boost::json::serialize(object)};
}

/// @return the main record of a job whose tasks are in parts
keyed_record encode_main(const job_progress& job) {
    auto object = make_main_object(job);
    object["parts"] = job.recorded.parts;
    object["tasks"] = boost::json::array();
    return {.key = job.spec.id, .value = boost::json::serialize(object)};
}

/// @return the parts that changed
std::vector<keyed_record> encode_parts(job_progress& job, std::size_t max_record_bytes) {
    std::vector<task_rows> parts(static_cast<std::size_t>(job.recorded.parts));
    const auto offsets = tasks_before_steps(job.spec);
    const auto tasks_per_occurrence = job.spec.tasks_per_occurrence();
    for_each_recorded_task(job, [&](const task_id& id, const task_progress& task) {
        const auto position =
            id.occurrence * tasks_per_occurrence + offsets[static_cast<std::size_t>(id.step)] + id.index;
        auto& part = parts[static_cast<std::size_t>(position / tasks_per_part % job.recorded.parts)];
        part.rows.push_back(make_row(job, id, task));
        part.checkpoints.push_back(checkpoint_of(job, task));
    });
    const bool is_first = job.recorded.digests.empty();
    job.recorded.digests.resize(parts.size());
    std::vector<keyed_record> records;
    for (std::size_t number = 0; number < parts.size(); ++number) {
        const auto digest = std::hash<std::string>()(boost::json::serialize(parts[number].rows));
        if (!is_first && digest == job.recorded.digests[number]) {
            continue;
        }
        job.recorded.digests[number] = digest;
        keyed_record record{.key = part_key(job.spec.id, static_cast<std::int32_t>(number))};
        const auto max_bytes = max_record_bytes - std::min(max_record_bytes, bytes_in_log(record));
        record.value = serialize_rows_within(parts[number], record.key, max_bytes);
        records.push_back(std::move(record));
    }
    return records;
}

result<void> read_row(job_progress& job, const boost::json::value& value) {
    const auto* row = value.if_array();
    if (row == nullptr || row->size() != task_row_fields || !row->at(6).is_string() ||
        !row->at(checkpoint_field).is_string()) {
        return malformed_record("a task row of the progress record does not have the expected fields");
    }
    for (std::size_t field = 0; field < 6; ++field) {
        if (!row->at(field).is_int64()) {
            return malformed_record("a field of a task row in the progress record is not an integer");
        }
    }
    const auto number_at = [row](std::size_t field) {
        return static_cast<std::int32_t>(row->at(field).as_int64());
    };
    const task_id id{
        .job = job.spec.id, .occurrence = number_at(0), .step = number_at(1), .index = number_at(2)};
    if (id.occurrence >= 0 && id.occurrence < job.finished_occurrences) {
        return {}; // of a part that is older than the main record
    }
    job.open_recorded_occurrences(id.occurrence);
    auto* task = job.find_task(id);
    if (task == nullptr || number_at(3) < 0 || number_at(3) > static_cast<int>(run_phase::done)) {
        return malformed_record("the progress record contains a task that the job does not have");
    }
    job.set_phase(id, *task, static_cast<run_phase>(number_at(3)));
    task->run = row->at(4).as_int64();
    task->failures = number_at(5);
    task->worker = std::string(row->at(6).as_string());
    task->checkpoint = std::string(row->at(checkpoint_field).as_string());
    return {};
}

result<void> read_rows(job_progress& job, const boost::json::array& rows) {
    for (const auto& row : rows) {
        BOOST_LEAF_CHECK(read_row(job, row));
    }
    return {};
}

} // namespace

std::vector<keyed_record> encode_progress(job_progress& job, std::size_t max_record_bytes) {
    if (job.recorded.parts == 0) {
        auto whole = encode_whole(job);
        if (bytes_in_log(whole) <= max_record_bytes) {
            return {std::move(whole)};
        }
        // One part more than the open tasks fill, because they need not begin at the start of a part.
        job.recorded.parts = static_cast<std::int32_t>(open_tasks_limit(job) / tasks_per_part + 2);
        job.recorded.digests.clear();
    }
    // The main record holds the tasks itself until it counts the parts, so they are stored before it. From
    // then on it goes first: the parts no longer hold the occurrences that it counts as finished.
    auto records = encode_parts(job, max_record_bytes);
    records.insert(job.recorded.parts_are_counted ? records.begin() : records.end(), encode_main(job));
    return records;
}

result<void> decode_progress(job_progress& job, std::string_view text) {
    boost::system::error_code failure;
    const auto document = boost::json::parse(text, failure);
    const auto* object = failure ? nullptr : document.if_object();
    const auto* rows =
        object == nullptr || !object->contains("tasks") ? nullptr : object->at("tasks").if_array();
    const auto* state_text =
        object == nullptr || !object->contains("state") ? nullptr : object->at("state").if_string();
    const auto parsed_state = state_text == nullptr ? std::nullopt : parse_job_state(*state_text);
    if (rows == nullptr || !parsed_state) {
        return malformed_record("the progress record is not a JSON object with state and tasks");
    }
    job.state = *parsed_state;
    const auto integer_of = [object](std::string_view name) {
        const auto* value = object->if_contains(name);
        return value != nullptr && value->is_int64() ? static_cast<std::int32_t>(value->as_int64()) : 0;
    };
    job.finished_occurrences = integer_of("finished");
    job.recorded.parts = std::max(0, integer_of("parts"));
    job.recorded.parts_are_counted = job.recorded.parts > 0;
    return read_rows(job, *rows);
}

result<void> decode_progress_part(job_progress& job, std::int32_t part, std::string_view text) {
    if (part >= job.recorded.parts) {
        return {};
    }
    boost::system::error_code failure;
    const auto document = boost::json::parse(text, failure);
    const auto* rows = failure ? nullptr : document.if_array();
    if (rows == nullptr) {
        return malformed_record("a part of the progress is not a JSON array");
    }
    return read_rows(job, *rows);
}

progress_key parse_progress_key(std::string_view key) {
    const auto separator = key.find(part_separator);
    if (separator == std::string_view::npos) {
        return {.job = std::string(key)};
    }
    const auto number = key.substr(separator + 1);
    std::int32_t part = 0;
    const auto [end, failure] = std::from_chars(number.data(), number.data() + number.size(), part);
    if (failure != std::errc() || end != number.data() + number.size() || part < 0) {
        return {.job = std::string(key)};
    }
    return {.job = std::string(key.substr(0, separator)), .part = part};
}

std::vector<keyed_record> delete_progress(const std::string& job, std::int32_t parts) {
    std::vector<keyed_record> records{{.key = job}};
    for (std::int32_t part = 0; part < parts; ++part) {
        records.push_back({.key = part_key(job, part)});
    }
    return records;
}

} // namespace hornbeamrail
