#include "fakes/fake_site.hpp"
#include "platform/codec.hpp"
#include "site/site_node.hpp"
#include "transport/http_client_pool.hpp"
#include "transport/io_types.hpp"

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

#include <future>
#include <mutex>

using namespace hornbeamrail;
using std::chrono::milliseconds;

namespace {

/// In-process log and workers, shared by the nodes of a test.
struct shared_site {
    std::mutex mutex;
    fake_keyed_log log;
    fake_site site{{}};
    bool log_is_down = false;
    bool first_scheduler_cannot_load = false;             ///< its reads of the newest progress fail
    std::string first_scheduler;                          ///< id of the node that began the first term
    milliseconds shortest_job_wait = milliseconds::max(); ///< shortest wait of a read of the jobs topic
    milliseconds time_of_a_hold{0};                       ///< that a node spends to send a hold
    std::chrono::nanoseconds time_of_holds{0};            ///< that nodes have spent in all
};

shared_site* current_site = nullptr;

/// Port to `current_site`. Answers arrive on the threads of the node.
class standin_port {
public:
    standin_port(io_threads& workers, const site_node_settings& settings)
        : threads(workers), node(settings.node_id) {}

    template <class Answer, class Query>
    void answer(std::function<void(Answer)> done, milliseconds delay, Query query) {
        this->threads.run_after(delay, [done = std::move(done), query = std::move(query)] {
            Answer port_answer;
            {
                const std::lock_guard lock(current_site->mutex);
                port_answer = query();
            }
            done(std::move(port_answer));
        });
    }

    void append(const append_call& call, std::function<void(append_answer)> done) {
        this->answer<append_answer>(std::move(done), milliseconds(2), [call] {
            return current_site->log_is_down ? append_answer{.outcome = append_outcome::refused}
                                             : current_site->log.append(call);
        });
    }
    void read(const read_call& call, milliseconds, std::function<void(read_answer)> done) {
        this->answer<read_answer>(std::move(done), milliseconds(20), [call] {
            if (call.topic == log_topic::jobs) {
                current_site->shortest_job_wait = std::min(current_site->shortest_job_wait, call.wait);
            }
            return current_site->log_is_down ? read_answer{} : current_site->log.read(call);
        });
    }
    void newest(const newest_call& call, milliseconds, std::function<void(newest_answer)> done) {
        this->answer<newest_answer>(std::move(done), milliseconds(2), [call, id = this->node] {
            const bool loads_term = call.topic == log_topic::progress;
            if (loads_term && current_site->first_scheduler.empty()) {
                current_site->first_scheduler = id;
            }
            const bool fails = loads_term && current_site->first_scheduler_cannot_load &&
                               current_site->first_scheduler == id;
            return current_site->log_is_down || fails ? newest_answer{} : current_site->log.newest(call);
        });
    }
    void start(const worker_target& worker, const start_order& order, milliseconds,
               std::function<void(order_answer)> done) {
        this->answer<order_answer>(std::move(done), milliseconds(1), [worker, order] {
            return current_site->site.start(worker, order, {.cpu_millicores = 1000}, boot_clock::now());
        });
    }
    void stop(const worker_target& worker, const stop_order& order, milliseconds,
              std::function<void(order_answer)> done) {
        this->answer<order_answer>(std::move(done), milliseconds(1), [worker, order] {
            return current_site->site.stop(worker, order, boot_clock::now());
        });
    }
    void pace(const worker_target&, const pace_order&, milliseconds, std::function<void(order_answer)> done) {
        this->answer<order_answer>(std::move(done), milliseconds(1), [] { return order_answer{}; });
    }
    void hold(const worker_target& worker, const hold_order& order, milliseconds,
              std::function<void(hold_report)> done) {
        this->spend_time_of_a_hold();
        this->answer<hold_report>(std::move(done), milliseconds(30), [worker, order] {
            return current_site->site.hold(worker, order, boot_clock::now());
        });
    }
    void list_vms(const std::string&, milliseconds, std::function<void(vm_page)> done) {
        this->answer<vm_page>(std::move(done), milliseconds(2),
                              [] { return vm_page{.done = true, .vms = current_site->site.vms()}; });
    }
    void move_vm(const vm_order& order, milliseconds, std::function<void(vm_order_outcome)> done) {
        this->answer<vm_order_outcome>(std::move(done), milliseconds(2),
                                       [order] { return current_site->site.move(order, boot_clock::now()); });
    }
    void maintain_vm(const vm_order& order, milliseconds, std::function<void(vm_order_outcome)> done) {
        this->answer<vm_order_outcome>(std::move(done), milliseconds(2), [order] {
            return current_site->site.maintain(order, boot_clock::now());
        });
    }
    void advise(const advice_call&, milliseconds, std::function<void(advice_answer)> done) {
        this->answer<advice_answer>(std::move(done), milliseconds(2), [] { return advice_answer{}; });
    }

private:
    /// Keeps the thread of the node busy.
    static void spend_time_of_a_hold() {
        const auto begin = std::chrono::steady_clock::now();
        milliseconds span{0};
        {
            const std::lock_guard lock(current_site->mutex);
            span = current_site->time_of_a_hold;
        }
        while (std::chrono::steady_clock::now() < begin + span) {
        }
        const std::lock_guard lock(current_site->mutex);
        current_site->time_of_holds += std::chrono::steady_clock::now() - begin;
    }

    io_threads& threads;
    std::string node;
};

using test_node = site_node<standin_port, platform::codec>;

constexpr std::string_view config_text = R"({"Version":1,
    "Routes":[{"Name":"r","Host":"127.0.0.1","PathPrefix":"/q/","Service":"pool","Attempts":2,"Stretch":1.6}],
    "Services":[{"Name":"pool","RejectsOverload":true}],"Tenants":[{"Name":"t","ApiKeys":["key"]}]})";
constexpr std::string_view job_body =
    R"({"Spec":"text","Steps":[{"Count":3,"Cpu":1000,"MemMb":100,"EstimateMs":200}]})";

struct fixture {
    explicit fixture(bool first_scheduler_cannot_load = false) {
        current_site = &this->shared;
        this->shared.first_scheduler_cannot_load = first_scheduler_cannot_load;
        this->shared.site.set_duration(milliseconds(200));
        for (int vm = 0; vm < 2; ++vm) {
            this->shared.site.add_vm(fmt::format("m{}", vm), "pool", "z", "r1",
                                     {.cpu_millicores = 32000, .memory_mb = 64000}, boot_clock::now());
        }
        this->shared.log.append({.topic = log_topic::operators,
                                 .records = {{.key = "config", .value = std::string(config_text)}}});
        for (const auto& worker : this->shared.site.workers()) {
            this->shared.log.append(
                {.topic = log_topic::workers,
                 .records = {
                     {.key = worker.id,
                      .value = fmt::format(
                          R"({{"Service":"pool","Address":"127.0.0.1:1","Zone":"z","State":"ready",)"
                          R"("Capacity":{{"Cpu":32000,"MemMb":64000}},"Labels":["a","r1"],"born":{}}})",
                          worker.instance_started_ms)}}});
        }
        for (int number = 0; number < 2; ++number) {
            const auto address = endpoint{.address = "127.0.0.1", .port = free_port()};
            site_node_settings settings{.node_id = fmt::format("n{}", number),
                                        .zone = "z",
                                        .caller_address = address,
                                        .ready_address = {.address = "127.0.0.1", .port = free_port()}};
            settings.limits.job_partitions = 2;
            error failure;
            auto node = value_or_error(
                [&] {
                    return test_node::make(this->threads,
                                           {.settings = settings, .incarnation = fmt::format("i{}", number)});
                },
                failure);
            BOOST_REQUIRE_MESSAGE(node.has_value(), failure.message);
            this->nodes.push_back(*node);
            this->addresses.push_back(address);
            this->ready_addresses.push_back(settings.ready_address);
        }
    }

    ~fixture() { this->threads.stop(); }

    static std::uint16_t free_port() {
        boost::asio::io_context context;
        boost::asio::ip::tcp::acceptor probe(context, {boost::asio::ip::make_address("127.0.0.1"), 0});
        return probe.local_endpoint().port();
    }

    http_call_result call(const endpoint& target, std::string method, std::string path,
                          std::string body = {}) {
        http_request request{.method = std::move(method), .target = std::move(path), .body = std::move(body)};
        request.headers.add("X-Api-Key", this->key);
        std::promise<http_call_result> result;
        this->client.call({.target = target, .request = std::move(request), .timeout = milliseconds(4000)},
                          [&result](http_call_result value) { result.set_value(std::move(value)); });
        return result.get_future().get();
    }

    /// Repeats @p attempt until it returns true, for up to 20 s.
    template <class Attempt>
    bool eventually(Attempt attempt) {
        const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(20);
        while (std::chrono::steady_clock::now() < deadline) {
            if (attempt()) {
                return true;
            }
            std::promise<void> pause;
            this->threads.run_after(milliseconds(50), [&pause] { pause.set_value(); });
            pause.get_future().get();
        }
        return false;
    }

    bool becomes_ready(std::size_t node) {
        return this->eventually(
            [&] { return this->call(this->ready_addresses[node], "GET", "/").response.status == 200; });
    }

    shared_site shared;
    io_threads threads{2};
    http_client_pool client{threads, {}};
    std::vector<std::shared_ptr<test_node>> nodes;
    std::vector<endpoint> addresses;
    std::vector<endpoint> ready_addresses;
    std::string key = "key";
};

/// The node that holds the scheduler's lease first renews it but cannot load the term.
struct stuck_scheduler_fixture : fixture {
    stuck_scheduler_fixture() : fixture(true) {}
};

const std::string job_path = "/q/00000000000000aa";

} // namespace

BOOST_FIXTURE_TEST_CASE(job_submitted_at_one_node_completes_at_every_node, fixture) {
    BOOST_REQUIRE(this->becomes_ready(0) && this->becomes_ready(1));
    BOOST_TEST(this->call(this->addresses[1], "GET", job_path).response.status == 410);
    BOOST_TEST(this->call(this->addresses[0], "POST", job_path, std::string(job_body)).response.status ==
               200);
    BOOST_TEST(this->call(this->addresses[0], "POST", job_path, std::string(job_body)).response.status ==
               200);
    for (const auto& address : this->addresses) {
        BOOST_TEST(this->eventually([&] {
            return this->call(address, "GET", job_path).response.body.find("completed") != std::string::npos;
        }));
    }
    const std::lock_guard lock(this->shared.mutex);
    BOOST_TEST(this->shared.site.history().size() == 3);
}

// Guards against a scheduler that relies on long reads: they may return no record for a second while the log
// reorganizes, so the scheduler reads again earlier.
BOOST_FIXTURE_TEST_CASE(scheduler_does_not_rely_on_waiting_reads, fixture) {
    BOOST_REQUIRE(this->becomes_ready(0) && this->becomes_ready(1));
    BOOST_TEST(this->eventually([&] {
        const std::lock_guard lock(this->shared.mutex);
        return this->shared.shortest_job_wait <= milliseconds(250);
    }));
}

BOOST_FIXTURE_TEST_CASE(cancelled_job_never_starts_again, fixture) {
    BOOST_REQUIRE(this->becomes_ready(0) && this->becomes_ready(1));
    this->call(this->addresses[0], "POST", job_path, std::string(job_body));
    BOOST_TEST(this->call(this->addresses[0], "DELETE", job_path).response.status == 200);
    BOOST_TEST(this->eventually([&] {
        return this->call(this->addresses[1], "GET", job_path).response.body.find("cancelled") !=
               std::string::npos;
    }));
    const auto active_runs = [this] {
        const std::lock_guard lock(this->shared.mutex);
        this->shared.site.advance(boot_clock::now());
        const auto& history = this->shared.site.history();
        return std::count_if(history.begin(), history.end(),
                             [](const auto& run) { return run.ended_at == boot_time::max(); });
    };
    const auto started_runs = [this] {
        const std::lock_guard lock(this->shared.mutex);
        return this->shared.site.history().size();
    };
    BOOST_REQUIRE(this->eventually([&] { return active_runs() == 0; }));
    const auto before = started_runs();
    // A later job completes, so the scheduler has placed tasks since the cancellation.
    const std::string later = "/q/00000000000000ac";
    this->call(this->addresses[0], "POST", later, std::string(job_body));
    BOOST_TEST(this->eventually([&] {
        return this->call(this->addresses[0], "GET", later).response.body.find("completed") !=
               std::string::npos;
    }));
    BOOST_TEST(started_runs() == before + 3);
}

// Guards against a job that is shown although nobody has handed it in: its id was cancelled, to be sure. A
// job of that id that follows is cancelled all the same.
BOOST_FIXTURE_TEST_CASE(cancellation_alone_shows_no_job, fixture) {
    BOOST_REQUIRE(this->becomes_ready(0) && this->becomes_ready(1));
    const auto shows = [this](const endpoint& node, const std::string& path, std::string_view state) {
        return this->call(node, "GET", path).response.body.find(state) != std::string::npos;
    };
    BOOST_TEST(this->call(this->addresses[0], "DELETE", job_path).response.status == 410);
    // A later job of the same partition shows how far a node has read.
    int digit = 0;
    const auto later_id = [&digit] {
        return fmt::format("00000000000000c{}", digit);
    };
    while (partition_of_job(later_id(), 2) != partition_of_job(job_path.substr(3), 2)) {
        ++digit;
    }
    this->call(this->addresses[0], "POST", "/q/" + later_id(), std::string(job_body));
    for (const auto& address : this->addresses) {
        BOOST_REQUIRE(this->eventually([&] { return shows(address, "/q/" + later_id(), "completed"); }));
        BOOST_TEST(this->call(address, "GET", job_path).response.status == 410);
    }
    BOOST_TEST(this->call(this->addresses[1], "POST", job_path, std::string(job_body)).response.status ==
               200);
    for (const auto& address : this->addresses) {
        BOOST_TEST(this->eventually([&] { return shows(address, job_path, "cancelled"); }));
    }
    const std::lock_guard lock(this->shared.mutex);
    BOOST_TEST(this->shared.site.history().size() == 3); // those of the later job
}

// Guards against a record that is never dropped: the cancellation of a job that has ended.
BOOST_FIXTURE_TEST_CASE(cancellation_of_an_ended_job_is_not_stored, fixture) {
    BOOST_REQUIRE(this->becomes_ready(0) && this->becomes_ready(1));
    this->call(this->addresses[0], "POST", job_path, std::string(job_body));
    BOOST_REQUIRE(this->eventually([&] {
        return this->call(this->addresses[0], "GET", job_path).response.body.find("completed") !=
               std::string::npos;
    }));
    BOOST_TEST(this->call(this->addresses[0], "DELETE", job_path).response.status == 200);
    const auto cancellation = job_path.substr(3) + std::string(cancel_suffix);
    const std::lock_guard lock(this->shared.mutex);
    for (std::int32_t partition = 0; partition < 2; ++partition) {
        for (const auto& record :
             this->shared.log.read({.topic = log_topic::jobs, .partition = partition}).records) {
            BOOST_TEST(record.key != cancellation);
        }
    }
}

BOOST_FIXTURE_TEST_CASE(calls_outside_the_configuration_are_refused, fixture) {
    BOOST_REQUIRE(this->becomes_ready(0));
    BOOST_TEST(this->call(this->addresses[0], "POST", "/other/00000000000000aa").response.status == 404);
    BOOST_TEST(this->call(this->addresses[0], "POST", job_path, "no job").response.status == 400);
    BOOST_TEST(this->call(this->addresses[0], "GET", "/q/").response.body == R"({"Waiting":0})");
    this->key = "withdrawn";
    BOOST_TEST(this->call(this->addresses[0], "POST", job_path, std::string(job_body)).response.status ==
               401);
}

// Guards against a job that is accepted and can never start: a gang that is larger than its account may use.
BOOST_FIXTURE_TEST_CASE(gang_beyond_the_upper_limit_is_rejected_at_once, fixture) {
    {
        const std::lock_guard lock(this->shared.mutex);
        std::string config(config_text);
        config.replace(config.find("}]}"), 1, R"(,"Cap":{"Cpu":3000}})");
        config.replace(config.find(R"("Version":1)"), 11, R"("Version":2)");
        this->shared.log.append(
            {.topic = log_topic::operators, .records = {{.key = "config", .value = std::move(config)}}});
    }
    BOOST_REQUIRE(this->becomes_ready(0));
    const auto submit = [this](const std::string& id, int members) {
        const auto body =
            fmt::format(R"({{"Spec":"text","Steps":[{{"Count":{},"Cpu":1000,"Gang":true}}]}})", members);
        return this->call(this->addresses[0], "POST", "/q/" + id, body).response.status;
    };
    BOOST_TEST(submit("00000000000000d1", 4) == 200); // the limit and one task more
    BOOST_TEST(submit("00000000000000d2", 5) == 429);
}

// Guards against a job whose record the log can never accept: it was refused as if the log were overloaded,
// with the jobs of all callers whose records came with it, and so was each repetition.
BOOST_FIXTURE_TEST_CASE(job_too_large_for_the_log_is_rejected_at_once, fixture) {
    BOOST_REQUIRE(this->becomes_ready(0));
    const auto body = fmt::format(R"({{"Spec":"text","Steps":[{{"Count":1,"Cpu":1000,"Requires":"{}"}}]}})",
                                  std::string(300'000, 'l'));
    const auto rejected = this->call(this->addresses[0], "POST", job_path, body);
    BOOST_TEST(rejected.response.status == 413);
    BOOST_TEST(rejected.response.headers.value_or("Retry-After", "none") == "none");
    const std::lock_guard lock(this->shared.mutex);
    BOOST_TEST(this->shared.log.read({.topic = log_topic::jobs, .partition = 0}).end == 0);
    BOOST_TEST(this->shared.log.read({.topic = log_topic::jobs, .partition = 1}).end == 0);
}

BOOST_FIXTURE_TEST_CASE(node_without_the_log_is_not_ready_and_refuses_at_once, fixture) {
    BOOST_REQUIRE(this->becomes_ready(0));
    {
        const std::lock_guard lock(this->shared.mutex);
        this->shared.log_is_down = true;
    }
    BOOST_TEST(this->eventually(
        [&] { return this->call(this->ready_addresses[0], "GET", "/").response.status == 503; }));
    const auto refused = this->call(this->addresses[0], "POST", job_path, std::string(job_body));
    BOOST_TEST(refused.response.status == 503);
    BOOST_TEST(refused.response.headers.value_or("Retry-After", "") == "1");
}

// A caller whose answer was lost repeats its request at another node. Guards against a second record of the
// job, which would outlive the first one.
BOOST_FIXTURE_TEST_CASE(repeated_submission_replaces_the_first_record, fixture) {
    BOOST_REQUIRE(this->becomes_ready(0) && this->becomes_ready(1));
    for (int digit = 0; digit < 8; ++digit) {
        const auto path = fmt::format("/q/00000000000000b{}", digit);
        this->call(this->addresses[0], "POST", path, std::string(job_body));
        this->call(this->addresses[1], "POST", path, std::string(job_body));
    }
    const std::lock_guard lock(this->shared.mutex);
    std::map<std::string, std::set<std::int32_t>> partitions;
    for (std::int32_t partition = 0; partition < 2; ++partition) {
        const auto read = this->shared.log.read({.topic = log_topic::jobs, .partition = partition});
        for (const auto& record : read.records) {
            partitions[record.key].insert(partition);
        }
    }
    BOOST_TEST(partitions.size() == 8);
    for (const auto& [record_key, holders] : partitions) {
        BOOST_TEST(holders.size() == 1, record_key);
    }
}

// Guards against a site without a scheduler: a node that can write to the log but cannot load the term kept
// the lease for ever, because its renewals succeeded.
BOOST_FIXTURE_TEST_CASE(node_that_cannot_load_the_term_passes_the_lease_on, stuck_scheduler_fixture) {
    BOOST_REQUIRE(this->becomes_ready(0));
    BOOST_REQUIRE(this->call(this->addresses[0], "POST", job_path, std::string(job_body)).response.status ==
                  200);
    BOOST_TEST(this->eventually([&] {
        return this->call(this->addresses[0], "GET", job_path).response.body.find("completed") !=
               std::string::npos;
    }));
    BOOST_TEST(!this->shared.first_scheduler.empty());
}

// Guards against a change of schedulers after each outage of the log that begins while a term is loaded.
BOOST_FIXTURE_TEST_CASE(outage_while_the_term_is_loaded_changes_no_scheduler, stuck_scheduler_fixture) {
    const auto set_faults = [this](bool log_is_down, bool cannot_load) {
        const std::lock_guard lock(this->shared.mutex);
        this->shared.log_is_down = log_is_down;
        this->shared.first_scheduler_cannot_load = cannot_load;
        return this->shared.first_scheduler;
    };
    BOOST_REQUIRE(this->becomes_ready(0) && this->becomes_ready(1));
    BOOST_REQUIRE(this->eventually([&] { return !set_faults(false, true).empty(); }));
    const auto first = set_faults(true, true);
    const auto limit = site_node_timings().load_stall_limit;
    const auto ends_at = std::chrono::steady_clock::now() + limit + milliseconds(1500);
    BOOST_REQUIRE(this->eventually([&] { return std::chrono::steady_clock::now() >= ends_at; }));
    set_faults(false, false);
    BOOST_REQUIRE(this->becomes_ready(0));
    BOOST_REQUIRE(this->call(this->addresses[0], "POST", job_path, std::string(job_body)).response.status ==
                  200);
    BOOST_TEST(this->eventually([&] {
        return this->call(this->addresses[0], "GET", job_path).response.body.find("completed") !=
               std::string::npos;
    }));
    BOOST_TEST(this->nodes[0]->dump().at("scheduler").as_string() == first);
}

// Guards against a node whose cycles take all of its time, because each answer starts the next one: timers,
// callers and the renewals of its lease waited for seconds, and the lease changed hands again and again.
BOOST_FIXTURE_TEST_CASE(cycles_leave_time_for_everything_else, fixture) {
    BOOST_REQUIRE(this->becomes_ready(0) && this->becomes_ready(1));
    BOOST_REQUIRE(this->call(this->addresses[0], "POST", job_path, std::string(job_body)).response.status ==
                  200);
    BOOST_REQUIRE(this->eventually([&] {
        return this->call(this->addresses[0], "GET", job_path).response.body.find("completed") !=
               std::string::npos;
    }));
    const auto begin = std::chrono::steady_clock::now();
    {
        const std::lock_guard lock(this->shared.mutex);
        this->shared.time_of_a_hold = milliseconds(60); // two workers, held again 50 ms after each hold
        this->shared.time_of_holds = {};
    }
    constexpr milliseconds span{3000};
    BOOST_TEST(this->eventually([&] { return std::chrono::steady_clock::now() >= begin + span; }));
    const std::lock_guard lock(this->shared.mutex);
    BOOST_TEST(this->shared.time_of_holds < span / 2);
}
