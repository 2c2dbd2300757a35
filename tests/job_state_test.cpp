#include "state/job_index.hpp"
#include "state/progress_records.hpp"

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

// Guards against a job that is shown although nobody has handed it in: only its cancellation is known.
BOOST_AUTO_TEST_CASE(index_shows_no_job_that_was_only_cancelled) {
    job_index index;
    index.note_cancelled(sample_job().id);
    BOOST_TEST(index.find(sample_job().id) == nullptr);
    index.apply_job({.key = sample_job().id + std::string(cancel_suffix), .value = "1"});
    BOOST_TEST(index.find(sample_job().id) == nullptr);
    index.apply_job({.key = sample_job().id + std::string(cancel_suffix)});
    BOOST_TEST(index.size() == 0);
}

// Guards against a cancellation that stays in force although its record was dropped while the node missed it.
BOOST_AUTO_TEST_CASE(index_forgets_cancellations_when_it_is_loaded_again) {
    job_index index;
    const auto id = sample_job().id;
    const auto partition = partition_of_job(id, 4);
    index.note_cancelled(id);
    index.begin_reload((partition + 1) % 4, 4);
    BOOST_TEST(index.size() == 1);
    index.begin_reload(partition, 4);
    BOOST_TEST(index.size() == 0);
}

// Guards against a final job without a record of its own that is taken for one that was never handed in.
BOOST_AUTO_TEST_CASE(index_shows_a_job_whose_state_alone_is_known) {
    job_index index;
    index.apply_state({.key = sample_job().id, .value = "completed"});
    BOOST_REQUIRE(index.find(sample_job().id) != nullptr);
    BOOST_TEST((index.find(sample_job().id)->state == job_state::completed));
}
