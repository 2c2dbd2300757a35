#include "state/job_index.hpp"
#include "state/job_progress.hpp"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/test/unit_test.hpp>

using namespace hornbeamrail;
using std::chrono::milliseconds;

namespace {

job_spec sample_job() {
    return {
        .id = "00000000000000ab",
        .queue = "q",
        .account = "team",
        .payload = "text",
        .steps = {{.count = 2,
                   .need = {.cpu_millicores = 500, .memory_mb = 100},
                   .estimate = milliseconds(900),
                   .gang = true,
                   .data_rack = "r1"},
                  {.count = 1, .need = {.cpu_millicores = 100}, .after = {0}, .supports_checkpoints = true}},
        .submitted = unix_time(milliseconds(1234))};
}

template <class Function>
bool fails(Function function) {
    error failure;
    return !value_or_error(function, failure).has_value();
}

} // namespace

// Guards against a field of a job getting lost between its encoder and decoder.
BOOST_AUTO_TEST_CASE(job_round_trips_through_the_log) {
    const auto job = sample_job();
    error failure;
    const auto read = value_or_error([&] { return parse_job(job.id, to_json(job)); }, failure);
    BOOST_REQUIRE(read.has_value());
    BOOST_TEST(boost::json::serialize(to_json(*read)) == boost::json::serialize(to_json(job)));
    BOOST_TEST(read->steps[1].after == (std::vector<std::int32_t>{0}), boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(invalid_jobs_are_rejected) {
    auto job = sample_job();
    BOOST_TEST(!find_problem(job).has_value());
    job.steps[0].after = {1};
    BOOST_TEST(find_problem(job).has_value());
    job = sample_job();
    job.steps[1].count = 0;
    BOOST_TEST(find_problem(job).has_value());
    job = sample_job();
    job.id = "short";
    BOOST_TEST(find_problem(job).has_value());
    BOOST_TEST(fails([] { return parse_job("00000000000000ab", boost::json::parse("[1]")); }));
}

// A job that every scheduler accepts from the log must not exhaust its memory or fill more than a record with
// its progress, and a job that no scheduler accepts must be rejected when it is submitted.
BOOST_AUTO_TEST_CASE(jobs_beyond_the_limits_are_rejected) {
    const auto rejected = [](auto change) {
        auto job = sample_job();
        change(job);
        return find_problem(job).has_value() && fails([&] { return parse_job(job.id, to_json(job)); });
    };
    BOOST_TEST(rejected([](job_spec& job) { job.steps[0].count = 2'000'000'000; }));
    BOOST_TEST(rejected([](job_spec& job) { job.steps.resize(100'000, job.steps[1]); }));
    BOOST_TEST(rejected([](job_spec& job) { job.steps[0].need.cpu_millicores = -1; }));
    BOOST_TEST(rejected([](job_spec& job) { job.steps[0].estimate = milliseconds(-1); }));
    BOOST_TEST(rejected([](job_spec& job) { job.steps[0].estimate = milliseconds::max(); }));
    BOOST_TEST(rejected([](job_spec& job) { job.steps[0].max_per_worker = -1; }));
    BOOST_TEST(rejected([](job_spec& job) { job.occurrences = -1; }));
    BOOST_TEST(rejected([](job_spec& job) { job.interval = milliseconds::max(); }));
    BOOST_TEST(rejected([](job_spec& job) { job.first_due = unix_time::max(); }));
}

// The progress of the largest job must fit into one record of the log, with worker ids and checkpoints.
BOOST_AUTO_TEST_CASE(progress_of_the_largest_job_fits_into_a_record) {
    constexpr std::size_t max_record_bytes = 256 * 1024;
    auto job = sample_job();
    job.steps = {{.count = job_limits::max_tasks}};
    job_progress progress(job);
    for (std::int32_t index = 0; index < job_limits::max_tasks; ++index) {
        const task_id id{.job = job.id, .index = index};
        progress.occurrence(0);
        auto* task = progress.find_task(id);
        task->run = 10;
        task->worker = std::string(24, 'w');
        task->checkpoint = std::string(40, 'c');
        progress.set_phase(id, *task, run_phase::running);
    }
    BOOST_TEST(progress.encode().size() <= max_record_bytes);
}

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
    job_progress read(sample_job());
    error failure;
    BOOST_REQUIRE(value_or_error(
        [&]() -> result<bool> {
            BOOST_LEAF_CHECK(read.decode(job.encode()));
            return true;
        },
        failure));
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
    job_progress read(spec);
    error failure;
    BOOST_REQUIRE(value_or_error(
        [&]() -> result<bool> {
            BOOST_LEAF_CHECK(read.decode(job.encode()));
            return true;
        },
        failure));
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
        BOOST_TEST(fails([&]() -> result<bool> {
            BOOST_LEAF_CHECK(job.decode(text));
            return true;
        }));
    }
}

BOOST_AUTO_TEST_CASE(index_counts_pending_jobs) {
    job_index index;
    auto job = sample_job();
    const auto record = keyed_record{.key = job.id, .value = boost::json::serialize(to_json(job))};
    index.apply_job(record);
    index.apply_job(record); // repeated records have no effect
    BOOST_TEST(index.pending_jobs("q") == 1);
    index.apply_state({.key = job.id, .value = "running"});
    BOOST_TEST(index.pending_jobs("q") == 0);
    index.apply_state({.key = job.id, .value = "completed"});
    index.apply_state({.key = job.id, .value = "running"}); // a final state is not reverted
    BOOST_TEST((index.find(job.id)->state == job_state::completed));
    index.apply_state({.key = job.id});
    BOOST_TEST(index.find(job.id) == nullptr);
}

// Guards against a lost cancellation whose record arrives before that of its job.
BOOST_AUTO_TEST_CASE(index_accepts_a_cancellation_before_its_job) {
    job_index index;
    auto job = sample_job();
    index.apply_job({.key = job.id + std::string(cancel_suffix), .value = "1"});
    index.apply_job({.key = job.id, .value = boost::json::serialize(to_json(job))});
    BOOST_TEST(index.find(job.id)->cancel_requested);
    BOOST_TEST(index.pending_jobs("q") == 0);
}
