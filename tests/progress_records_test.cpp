#include "state/progress_records.hpp"

#include <boost/test/unit_test.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <map>

using namespace hornbeamrail;

namespace {

/// Largest record that the log accepts.
constexpr std::size_t max_bytes = 256 * 1024;

job_spec sample_job() {
    return {.id = "00000000000000ab",
            .queue = "q",
            .steps = {{.count = 2}, {.count = 1, .after = {0}, .supports_checkpoints = true}}};
}

/// @return a job of one step whose tasks all run, on workers with long names
job_progress wide_job(std::int32_t tasks, std::size_t checkpoint_bytes) {
    job_spec spec{.id = "00000000000000cd", .queue = "q", .steps = {{.count = tasks}}};
    job_progress job(spec);
    job.state = job_state::running;
    job.occurrence(0);
    for (std::int32_t index = 0; index < tasks; ++index) {
        const task_id id{.job = spec.id, .index = index};
        auto* task = job.find_task(id);
        task->run = 10;
        task->worker = std::string(255, 'w');
        task->checkpoint = std::string(checkpoint_bytes, 'c');
        job.set_phase(id, *task, run_phase::running);
    }
    return job;
}

template <class Decode>
bool succeeds(Decode decode) {
    error failure;
    return value_or_error(
               [&]() -> result<bool> {
                   BOOST_LEAF_CHECK(decode());
                   return true;
               },
               failure)
        .has_value();
}

/// The newest record of each key, as a log keeps them.
struct stored_records {
    void store(const std::vector<keyed_record>& records) {
        for (const auto& record : records) {
            this->newest[record.key] = record.value;
        }
    }

    /// @return the job as another node reads it
    [[nodiscard]] job_progress read(const job_spec& spec) const {
        job_progress job(spec);
        BOOST_TEST(succeeds([&] { return decode_progress(job, this->newest.at(spec.id)); }));
        for (const auto& [text, value] : this->newest) {
            const auto key = parse_progress_key(text);
            if (key.job == spec.id && key.part) {
                BOOST_TEST(succeeds([&] { return decode_progress_part(job, *key.part, value); }));
            }
        }
        return job;
    }

    std::map<std::string, std::string> newest;
};

/// Encodes the job and marks the records as stored.
std::vector<keyed_record> record(job_progress& job) {
    auto records = encode_progress(job, max_bytes);
    job.recorded.parts_are_counted = job.recorded.parts > 0;
    return records;
}

} // namespace

// Guards against a new scheduler losing the runs, failures, workers or checkpoints recorded by its
// predecessor.
BOOST_AUTO_TEST_CASE(progress_round_trips_through_the_log) {
    job_progress job(sample_job());
    auto& first = job.occurrence(0).steps[0].tasks[1];
    const task_id name{.job = job.spec.id, .step = 0, .index = 1};
    first.run = 3;
    first.failures = 1;
    first.worker = "w-1";
    first.checkpoint = "point";
    job.set_phase(name, first, run_phase::running);
    job.state = job_state::running;
    const auto records = record(job);
    BOOST_REQUIRE(records.size() == 1);
    stored_records log;
    log.store(records);
    auto read = log.read(job.spec);
    const auto* task = read.find_task(name);
    BOOST_REQUIRE(task != nullptr);
    BOOST_TEST((task->phase == run_phase::placed)); // a new scheduler queries the worker for the actual state
    BOOST_TEST(task->run == 3);
    BOOST_TEST(task->failures == 1);
    BOOST_TEST(task->worker == "w-1");
    BOOST_TEST(task->checkpoint == "point");
    BOOST_TEST((read.state == job_state::running));
    BOOST_TEST(read.active_tasks() == 1);
}

// Guards against an occurrence that never runs: a later one was started before it, and the record of the job,
// which holds only tasks that were started, did not name it. A new scheduler opened those that follow.
BOOST_AUTO_TEST_CASE(progress_keeps_an_occurrence_without_started_tasks) {
    auto spec = sample_job();
    spec.occurrences = 5;
    job_progress job(spec);
    job.finished_occurrences = 1;
    for (const std::int32_t number : {1, 2, 3}) {
        job.occurrence(number);
    }
    const task_id started{.job = spec.id, .occurrence = 3};
    auto* task = job.find_task(started);
    task->run = 1;
    task->worker = "w-1";
    job.set_phase(started, *task, run_phase::running);
    stored_records log;
    log.store(record(job));
    const auto read = log.read(spec);
    std::vector<std::int32_t> numbers;
    for (const auto& occurrence : read.occurrences) {
        numbers.push_back(occurrence.number);
    }
    BOOST_TEST(numbers == (std::vector<std::int32_t>{1, 2, 3}), boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(malformed_progress_is_rejected) {
    for (const auto* text :
         {"", "[]", "{}", R"({"state":"odd","tasks":[]})",
          R"({"state":"running","tasks":[[0,7,0,1,1,0,"w",""]]})",
          R"({"state":"running","tasks":[[0,0,0,9,1,0,"w",""]]})", R"({"state":"running","tasks":[[0,0]]})",
          R"({"state":"running","tasks":[[1,0,0,1,1,0,"w",""]]})",
          R"({"state":"running","tasks":[[-1,0,0,1,1,0,"w",""]]})"}) {
        job_progress job(sample_job());
        BOOST_TEST(!succeeds([&] { return decode_progress(job, text); }));
    }
    for (const auto* text : {"", "{}", R"([[0,7,0,1,1,0,"w",""]])", "[1]"}) {
        job_progress job(sample_job());
        job.recorded.parts = 2;
        BOOST_TEST(!succeeds([&] { return decode_progress_part(job, 1, text); }));
    }
}

// Guards against a record that the log refuses for its size: the largest job, with the longest worker ids and
// with checkpoints of any length, is recorded within the limit.
BOOST_AUTO_TEST_CASE(no_record_of_the_largest_job_exceeds_the_limit) {
    for (const std::size_t checkpoint : {0, 40, 128, 1000, 7000, 300'000}) {
        const auto tasks = checkpoint > 100'000 ? 100 : static_cast<std::int32_t>(job_limits::max_tasks);
        auto job = wide_job(tasks, checkpoint);
        std::size_t largest = 0;
        for (const auto& item : record(job)) {
            largest = std::max(largest, bytes_in_log(item));
        }
        BOOST_TEST(largest <= max_bytes);
    }
}

// Guards against a new scheduler losing tasks of a job whose progress is divided: each task would run again.
BOOST_AUTO_TEST_CASE(divided_progress_round_trips_through_the_log) {
    auto job = wide_job(job_limits::max_tasks, 128);
    stored_records log;
    log.store(record(job));
    BOOST_TEST(log.newest.size() > 1);
    auto read = log.read(job.spec);
    BOOST_TEST(read.active_tasks() == job_limits::max_tasks);
    BOOST_TEST(read.find_task({.job = job.spec.id, .index = 1999})->checkpoint == std::string(128, 'c'));
    BOOST_TEST(read.recorded.parts == job.recorded.parts);
}

// Guards against large appends for small changes: a new checkpoint alone is not recorded, and another change
// rewrites only the part of its task.
BOOST_AUTO_TEST_CASE(only_changed_parts_are_recorded_again) {
    auto job = wide_job(job_limits::max_tasks, 128);
    stored_records log;
    log.store(record(job));
    for (auto& task : job.occurrence(0).steps[0].tasks) {
        task.checkpoint = std::string(128, 'd');
    }
    BOOST_TEST(record(job).size() == 1);
    const task_id ended{.job = job.spec.id, .index = 1000};
    job.set_phase(ended, *job.find_task(ended), run_phase::done);
    const auto changed = record(job);
    BOOST_TEST(changed.size() == 2);
    log.store(changed);
    auto read = log.read(job.spec);
    BOOST_TEST((read.find_task(ended)->phase == run_phase::done));
    BOOST_TEST(read.find_task({.job = job.spec.id, .index = 1001})->checkpoint == std::string(128, 'd'));
    BOOST_TEST(read.find_task({.job = job.spec.id, .index = 10})->checkpoint == std::string(128, 'c'));
}

// Guards against tasks that run twice because a node stopped between the records of one job: whichever of
// them are stored, no task that may run counts as never started.
BOOST_AUTO_TEST_CASE(records_that_are_stored_in_part_forget_no_run) {
    auto job = wide_job(job_limits::max_tasks, 40);
    for (std::int32_t index = 0; index < job_limits::max_tasks; ++index) {
        job.find_task({.job = job.spec.id, .index = index})->worker = "w";
    }
    stored_records log;
    log.store(record(job));
    BOOST_REQUIRE(log.newest.size() == 1);
    auto& tasks = job.occurrence(0).steps[0].tasks;
    for (auto& task : tasks) {
        task.checkpoint = std::string(200, 'c');
        ++task.run;
    }
    auto divided = encode_progress(job, max_bytes);
    BOOST_REQUIRE(divided.size() > 2);
    for (std::size_t stored = 0; stored <= divided.size(); ++stored) {
        auto partial = log;
        partial.store({divided.begin(), divided.begin() + static_cast<std::ptrdiff_t>(stored)});
        BOOST_TEST(partial.read(job.spec).active_tasks() == job_limits::max_tasks);
    }
}

// Guards against the same for occurrences: those that the main record counts as finished are in no part any
// more, and the parts that still hold them may be older than the main record.
BOOST_AUTO_TEST_CASE(finished_occurrences_are_not_opened_again) {
    job_spec spec{.id = "00000000000000ef", .queue = "q", .steps = {{.count = 500}}, .occurrences = 1000};
    job_progress job(spec);
    const auto run_occurrence = [&](std::int32_t number, run_phase phase) {
        job.occurrence(number);
        for (std::int32_t index = 0; index < 500; ++index) {
            const task_id id{.job = spec.id, .occurrence = number, .index = index};
            auto* task = job.find_task(id);
            task->run = 1;
            task->worker = std::string(200, 'w');
            task->checkpoint = std::string(100, 'c');
            job.set_phase(id, *task, phase);
        }
    };
    for (std::int32_t number = 0; number < 4; ++number) {
        run_occurrence(number, run_phase::running);
    }
    stored_records log;
    log.store(record(job));
    BOOST_REQUIRE(job.recorded.parts > 0);
    for (std::int32_t next = 4; next < 12; ++next) {
        run_occurrence(next - 4, run_phase::done);
        job.occurrences.pop_front();
        ++job.finished_occurrences;
        run_occurrence(next, run_phase::running);
        const auto changed = record(job);
        for (std::size_t stored = 0; stored <= changed.size(); ++stored) {
            auto partial = log;
            partial.store({changed.begin(), changed.begin() + static_cast<std::ptrdiff_t>(stored)});
            const auto read = partial.read(spec);
            BOOST_TEST(read.finished_occurrences >= next - 4);
            for (const auto& occurrence : read.occurrences) {
                const bool is_newest = occurrence.number == next;
                BOOST_TEST((is_newest || occurrence.steps[0].waiting == 0));
            }
        }
        log.store(changed);
    }
}

// Guards against parts of a scheduler that stopped before it stored the main record.
BOOST_AUTO_TEST_CASE(parts_that_are_not_counted_are_ignored) {
    auto job = wide_job(40, 10);
    stored_records log;
    log.store(record(job));
    log.store({{.key = job.spec.id + "/0", .value = R"([[0,0,3,3,10,0,"",""]])"}});
    BOOST_TEST(log.read(job.spec).active_tasks() == 40);
}

BOOST_AUTO_TEST_CASE(keys_of_progress_are_parsed) {
    BOOST_TEST(parse_progress_key("ab").job == "ab");
    BOOST_TEST(!parse_progress_key("ab").part.has_value());
    BOOST_TEST(parse_progress_key("ab/12").job == "ab");
    BOOST_TEST(parse_progress_key("ab/12").part.value() == 12);
    BOOST_TEST(!parse_progress_key("ab/").part.has_value());
    BOOST_TEST(!parse_progress_key("ab/-1").part.has_value());
    BOOST_TEST(!parse_progress_key("ab/1x").part.has_value());
    BOOST_TEST(delete_progress("ab", 2).size() == 3);
    BOOST_TEST(delete_progress("ab", 2).back().key == "ab/1");
}
