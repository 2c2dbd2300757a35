#include "state/job_progress.hpp"

#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>

namespace hornbeamrail {

namespace {

/// Number of fields in the row of a task: [occurrence, step, index, phase, run, failures, worker,
/// checkpoint].
constexpr std::size_t task_row_fields = 8;

boost::leaf::error_id malformed_record(std::string message) {
    return make_error(errc::parse_failed, std::move(message),
                      "check for other programs that write to the topic");
}

/// @return whether the task has never been started or reserved; such tasks are not recorded
bool is_untouched(const task_progress& task) {
    return task.phase == run_phase::waiting && task.run == 0 && !task.is_reserved();
}

} // namespace

bool occurrence_progress::is_done() const noexcept {
    return std::all_of(this->steps.begin(), this->steps.end(),
                       [](const step_progress& step) { return step.is_done(); });
}

job_progress::job_progress(job_spec job) : spec(std::move(job)) {}

occurrence_progress& job_progress::occurrence(std::int32_t number) {
    const auto found = std::find_if(this->occurrences.begin(), this->occurrences.end(),
                                    [number](const auto& item) { return item.number == number; });
    if (found != this->occurrences.end()) {
        return *found;
    }
    occurrence_progress created{.number = number};
    for (const auto& step : this->spec.steps) {
        created.steps.push_back({.tasks = std::vector<task_progress>(static_cast<std::size_t>(step.count)),
                                 .waiting = step.count});
    }
    this->occurrences.push_back(std::move(created));
    return this->occurrences.back();
}

task_progress* job_progress::find_task(const task_id& id) {
    const auto found = std::find_if(this->occurrences.begin(), this->occurrences.end(),
                                    [&id](const auto& item) { return item.number == id.occurrence; });
    if (found == this->occurrences.end() || id.step < 0 ||
        id.step >= static_cast<std::int32_t>(found->steps.size())) {
        return nullptr;
    }
    auto& tasks = found->steps[static_cast<std::size_t>(id.step)].tasks;
    if (id.index < 0 || id.index >= static_cast<std::int32_t>(tasks.size())) {
        return nullptr;
    }
    return &tasks[static_cast<std::size_t>(id.index)];
}

void job_progress::set_phase(const task_id& id, task_progress& task, run_phase phase) {
    auto& step = this->occurrence(id.occurrence).steps[static_cast<std::size_t>(id.step)];
    const auto adjust_counts = [&step](run_phase counted, std::int32_t change) {
        step.done += counted == run_phase::done ? change : 0;
        step.waiting += counted == run_phase::waiting ? change : 0;
    };
    adjust_counts(task.phase, -1);
    task.phase = phase;
    adjust_counts(phase, 1);
}

bool job_progress::is_released(const occurrence_progress& progress, std::int32_t step) const {
    const auto& after = this->spec.steps[static_cast<std::size_t>(step)].after;
    return std::all_of(after.begin(), after.end(), [&progress](std::int32_t earlier) {
        return progress.steps[static_cast<std::size_t>(earlier)].is_done();
    });
}

bool job_progress::has_released_tasks(const occurrence_progress& progress) const {
    for (std::size_t step = 0; step < progress.steps.size(); ++step) {
        if (progress.steps[step].waiting > 0 &&
            this->is_released(progress, static_cast<std::int32_t>(step))) {
            return true;
        }
    }
    return false;
}

std::int32_t job_progress::max_open_occurrences() const noexcept {
    const auto tasks = std::max<std::int64_t>(1, this->spec.tasks_per_occurrence());
    return static_cast<std::int32_t>(std::max<std::int64_t>(1, job_limits::max_tasks / tasks));
}

bool job_progress::is_done() const noexcept {
    const auto left = this->spec.occurrence_count() - this->finished_occurrences;
    return left <= static_cast<std::int32_t>(this->occurrences.size()) &&
           std::all_of(this->occurrences.begin(), this->occurrences.end(),
                       [](const auto& item) { return item.is_done(); });
}

bool job_progress::is_long_running() const noexcept {
    return std::any_of(this->spec.steps.begin(), this->spec.steps.end(),
                       [](const step_spec& step) { return step.long_running; });
}

std::int32_t job_progress::active_tasks() const noexcept {
    std::int32_t active = 0;
    for (const auto& occurrence : this->occurrences) {
        for (const auto& step : occurrence.steps) {
            active += step.active();
        }
    }
    return active;
}

std::string job_progress::encode() const {
    boost::json::array tasks;
    for (const auto& occurrence : this->occurrences) {
        for (std::size_t step = 0; step < occurrence.steps.size(); ++step) {
            const auto& items = occurrence.steps[step].tasks;
            for (std::size_t index = 0; index < items.size(); ++index) {
                const auto& task = items[index];
                if (is_untouched(task)) {
                    continue;
                }
                const bool reserved = task.is_reserved() && !is_final(this->state);
                const bool active =
                    reserved || task.phase == run_phase::placed || task.phase == run_phase::running;
                const auto& worker = reserved ? task.reserved_worker : task.worker;
                // Running and reserved tasks are recorded as placed: a new scheduler queries the worker for
                // the actual state.
                tasks.push_back(boost::json::array{
                    occurrence.number, step, index, static_cast<int>(active ? run_phase::placed : task.phase),
                    reserved ? task.run + 1 : task.run, task.failures, active ? worker : std::string(),
                    task.phase == run_phase::done ? "" : task.checkpoint});
            }
        }
    }
    return boost::json::serialize(boost::json::object{{"state", to_string(this->state)},
                                                      {"finished", this->finished_occurrences},
                                                      {"tasks", std::move(tasks)}});
}

void job_progress::open_recorded_occurrences(std::int32_t number) {
    const auto end =
        std::min<std::int64_t>(this->spec.occurrence_count(), std::int64_t{this->finished_occurrences} +
                                                                  std::int64_t{this->max_open_occurrences()});
    // Those before it are open too, but have no row while none of their tasks was started.
    for (auto next = std::max(this->finished_occurrences, 0); next <= number && number < end; ++next) {
        this->occurrence(next);
    }
}

result<void> job_progress::decode(std::string_view text) {
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
    this->state = *parsed_state;
    if (const auto* finished = object->if_contains("finished"); finished != nullptr && finished->is_int64()) {
        this->finished_occurrences = static_cast<std::int32_t>(finished->as_int64());
    }
    for (const auto& value : *rows) {
        const auto* row = value.if_array();
        if (row == nullptr || row->size() != task_row_fields || !row->at(6).is_string() ||
            !row->at(7).is_string()) {
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
            .job = this->spec.id, .occurrence = number_at(0), .step = number_at(1), .index = number_at(2)};
        this->open_recorded_occurrences(id.occurrence);
        auto* task = this->find_task(id);
        if (task == nullptr || number_at(3) < 0 || number_at(3) > static_cast<int>(run_phase::done)) {
            return malformed_record("the progress record contains a task that the job does not have");
        }
        this->set_phase(id, *task, static_cast<run_phase>(number_at(3)));
        task->run = row->at(4).as_int64();
        task->failures = number_at(5);
        task->worker = std::string(row->at(6).as_string());
        task->checkpoint = std::string(row->at(7).as_string());
    }
    return {};
}

} // namespace hornbeamrail
