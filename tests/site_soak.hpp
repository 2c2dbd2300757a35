#pragma once

// A randomized soak test: node processes run against the stand-ins of the platform while faults are injected
// from outside. It checks the answers to callers and the runs on workers.

#include "child_process.hpp"
#include "fault_proxy.hpp"
#include "soak_checks.hpp"
#include "transport/http_client_pool.hpp"
#include "wire_standin.hpp"

#include <filesystem>
#include <fstream>
#include <future>
#include <map>
#include <random>
#include <set>
#include <thread>

#include <unistd.h>

namespace hornbeamrail::test {

struct soak_options {
    std::string binary;    ///< path of the node program
    std::string directory; ///< for settings and logs of the processes; deleted and created at the start
    std::uint64_t seed = 1;
    std::chrono::milliseconds load{4000}; ///< of one series of faults, without the end of its last faults
    /// Series of faults. A calm span follows each; after the last one all nodes are lost at once.
    int series = 2;
    std::chrono::milliseconds calm{8000}; ///< without faults, under load
    int nodes = 3;
    int vms = 5;
};

struct soak_report {
    std::size_t accepted = 0;
    std::size_t refused = 0;
    std::size_t cancelled = 0;
    std::size_t runs = 0;
    std::size_t judged = 0;            ///< judgements of long-running tasks at calm moments
    std::vector<std::string> faults;   ///< in order, with the times of their starts
    std::vector<std::string> failures; ///< violations; empty when the soak passed
};

/// One run of the soak. The seed determines load and faults; the timing of the processes is not
/// deterministic.
class site_soak {
public:
    explicit site_soak(soak_options initial)
        : options(std::move(initial)), fault_random(this->options.seed), load_random(this->options.seed),
          standin(wire_standin::make(this->threads)),
          worker_link(fault_proxy::make(this->threads, this->standin->address())) {
        std::filesystem::remove_all(this->options.directory);
        std::filesystem::create_directories(this->options.directory);
        this->standin->with_state([this](fake_keyed_log&, fake_site& site) {
            site.set_duration(task_time);
            for (int vm = 0; vm < this->options.vms; ++vm) {
                site.add_vm(fmt::format("m{}", vm), "pool", vm % 2 == 0 ? "z" : "y", "r1", vm_capacity,
                            boot_clock::now());
            }
        });
        this->standin->write_config(std::string(config_text));
        this->standin->publish_workers(this->worker_link->address());
        for (int number = 0; number < this->options.nodes; ++number) {
            this->nodes.push_back(this->make_node(number));
        }
    }

    ~site_soak() {
        this->threads.stop(); // first, because the handlers of answers use `nodes`
        this->nodes.clear();  // ends the processes
    }
    site_soak(const site_soak&) = delete;
    site_soak& operator=(const site_soak&) = delete;

    /// Runs the load and the faults, waits for the accepted jobs, and checks the outcome.
    soak_report run() {
        this->started_at = boot_clock::now();
        const auto is_ready = this->wait_until([this] { return this->all_ready(); }, start_timeout);
        if (!is_ready) {
            this->report.failures.emplace_back("the nodes did not become ready");
            return this->report;
        }
        for (int number = 0; number < this->options.series; ++number) {
            this->run_faults();
            this->run_calm();
        }
        this->kill_all_nodes();
        this->run_calm();
        this->check();
        return this->report;
    }

private:
    static constexpr std::chrono::milliseconds task_time{250};
    static constexpr std::chrono::milliseconds call_timeout{2000};
    static constexpr std::chrono::milliseconds start_timeout{20000};
    /// Limit from the end of the last fault until every accepted job is final. It includes the time in which
    /// the lease of a lost worker lapses.
    static constexpr std::chrono::milliseconds finish_timeout{40000};
    static constexpr std::string_view config_text = R"({"Version":1,
        "Routes":[{"Name":"r","Host":"127.0.0.1","PathPrefix":"/q/","Service":"pool","Attempts":3,"Stretch":1.6},
            {"Name":"l","Host":"127.0.0.1","PathPrefix":"/l/","Service":"pool","Attempts":3,"Stretch":1.6}],
        "Services":[{"Name":"pool","RejectsOverload":true}],"Tenants":[{"Name":"t","ApiKeys":["key"],"Weight":1000}]})";
    static constexpr std::string_view job_body =
        R"({"Spec":"text","Steps":[{"Count":2,"Cpu":1000,"MemMb":100,"EstimateMs":250},)"
        R"({"Count":1,"Cpu":1000,"MemMb":100,"EstimateMs":250,"After":[0]}]})";
    static constexpr std::size_t tasks_per_job = 3;
    static constexpr std::int64_t attempts = 3; ///< of the routes above
    static constexpr resources vm_capacity{.cpu_millicores = 16000, .memory_mb = 16000};
    /// Upper limit of long-running jobs, so that two thirds of the VMs have room for their tasks.
    static constexpr std::size_t most_long_running_jobs = 8;
    /// Upper limit with the jobs whose submission has no answer, which may run.
    static constexpr std::size_t most_possible_jobs = 20;
    static constexpr std::chrono::milliseconds long_running_interval{700}; ///< between submissions
    static constexpr std::chrono::milliseconds failure_interval{900}; ///< between failures of single tasks
    static constexpr std::chrono::milliseconds sample_interval{200};
    /// Longest lease of a worker, by `fake_site::options`.
    static constexpr std::chrono::milliseconds longest_lease{6000};

    struct node {
        std::string settings;
        std::string log;
        endpoint caller_address;
        endpoint ready_address;
        std::shared_ptr<fault_proxy> log_link;
        std::unique_ptr<child_process> process;
    };

    struct timed_action {
        boot_time due{};
        std::function<void()> action;
    };

    /// Runs the load and a series of faults, which may last beyond it.
    void run_faults() {
        const auto end = boot_clock::now() + this->options.load;
        auto next_fault = boot_clock::now() + std::chrono::milliseconds(300);
        this->run_load([this, end, &next_fault] {
            const auto now = boot_clock::now();
            if (now >= next_fault && now < end) {
                this->inject_fault();
                next_fault = now + std::chrono::milliseconds(100 + this->random_below(1200));
            }
            return now >= end;
        });
    }

    void run_calm() {
        this->run_load([this] { return this->repairs.empty(); });
        const auto end = boot_clock::now() + this->options.calm;
        this->run_load([end] { return boot_clock::now() >= end; });
    }

    /// Submits jobs and repairs faults until @p is_over returns true.
    template <class Condition>
    void run_load(Condition is_over) {
        while (!is_over()) {
            this->submit_one();
            const auto now = boot_clock::now();
            run_due(this->repairs, now);
            run_due(this->cancellations, now);
            if (this->is_due(this->next_long_running, long_running_interval, now)) {
                this->submit_long_running();
            }
            if (this->is_due(this->next_failure, failure_interval, now)) {
                this->fail_one_task();
            }
            if (this->is_due(this->next_sample, sample_interval, now)) {
                this->take_sample(now);
            }
            this->pause(std::chrono::milliseconds(30));
        }
    }

    static bool is_due(boot_time& next, std::chrono::milliseconds interval, boot_time now) {
        if (now < next) {
            return false;
        }
        next = now + interval;
        return true;
    }

    /// Chooses faults. Nothing else uses the generator, so that a seed gives the same faults whatever the
    /// load.
    std::uint64_t random_below(std::uint64_t bound) { return this->fault_random() % bound; }

    std::uint64_t load_random_below(std::uint64_t bound) { return this->load_random() % bound; }

    void pause(std::chrono::milliseconds span) {
        std::promise<void> elapsed;
        this->threads.run_after(span, [&elapsed] { elapsed.set_value(); });
        elapsed.get_future().get();
    }

    template <class Condition>
    bool wait_until(Condition condition, std::chrono::milliseconds timeout) {
        const auto deadline = boot_clock::now() + timeout;
        while (!condition()) {
            if (boot_clock::now() > deadline) {
                return false;
            }
            this->pause(std::chrono::milliseconds(100));
        }
        return true;
    }

    /// @return a port that no outgoing connection takes while a node is down: those ports begin at 32768
    static std::uint16_t free_port() {
        constexpr unsigned first = 10000;
        constexpr unsigned count = 20000;
        static std::atomic<unsigned> next = static_cast<unsigned>(getpid());
        boost::asio::io_context context;
        // A node of another soak that starts meanwhile would inherit the probe and keep the port in use.
        const std::lock_guard lock(child_start_mutex());
        while (true) {
            const auto port = static_cast<std::uint16_t>(first + next++ % count);
            boost::asio::ip::tcp::acceptor probe(context);
            boost::system::error_code failure;
            probe.open(boost::asio::ip::tcp::v4());
            probe.bind({boost::asio::ip::make_address("127.0.0.1"), port}, failure);
            if (!failure) {
                return port;
            }
        }
    }

    node make_node(int number) {
        node created{.settings = fmt::format("{}/node-{}.json", this->options.directory, number),
                     .log = fmt::format("{}/node-{}.log", this->options.directory, number),
                     .caller_address = {.address = "127.0.0.1", .port = free_port()},
                     .ready_address = {.address = "127.0.0.1", .port = free_port()},
                     .log_link = fault_proxy::make(this->threads, this->standin->address())};
        std::ofstream(created.settings) << boost::json::serialize(boost::json::object{
            {"Node", fmt::format("n{}", number)},
            {"Zone", "z"},
            {"Listen",
             {{"Front", to_string(created.caller_address)}, {"Ready", to_string(created.ready_address)}}},
            {"platform", {{"Address", to_string(created.log_link->address())}, {"parts", 2}}},
            {"Cloud", {{"Address", to_string(this->standin->address())}}}});
        this->start(created);
        return created;
    }

    void start(node& target) const {
        target.process.reset(); // a process that still runs holds the addresses
        target.process =
            std::make_unique<child_process>(std::vector<std::string>{this->options.binary, "serve-site",
                                                                     "--platform_settings", target.settings},
                                            target.log);
    }

    http_call_result call(const endpoint& target, std::string method, std::string path,
                          std::string body = {}) {
        http_request request{.method = std::move(method), .target = std::move(path), .body = std::move(body)};
        request.headers.add("X-Api-Key", "key");
        std::promise<http_call_result> result;
        this->client.call({.target = target, .request = std::move(request), .timeout = call_timeout},
                          [&result](http_call_result value) { result.set_value(std::move(value)); });
        return result.get_future().get();
    }

    bool all_ready() {
        return std::all_of(this->nodes.begin(), this->nodes.end(), [this](const auto& target) {
            return this->call(target.ready_address, "GET", "/").response.status == 200;
        });
    }

    /// Submits a job to one node after another until one accepts it, like a caller behind a load balancer.
    /// Does not wait for the answer, so that calls overlap.
    void submit_one() {
        const bool cancels = this->load_random_below(10) == 0;
        const auto id = this->new_id();
        if (cancels) {
            this->cancel_unsubmitted("f" + id.substr(1));
        }
        this->submit(
            {.id = id, .path_prefix = "/q/", .body = std::string(job_body), .cancels_at_once = cancels});
    }

    /// Submits a job whose tasks run until it is cancelled. A quarter of these jobs is cancelled in the run.
    void submit_long_running() {
        if (!this->may_submit_long_running()) {
            return;
        }
        const auto id = this->new_id();
        this->standin->with_state([&id](fake_keyed_log&, fake_site& site) { site.set_long_running(id); });
        std::vector<long_running_step> steps(1 + this->load_random_below(2));
        boost::json::array documents;
        for (auto& step : steps) {
            step.count = static_cast<std::int32_t>(1 + this->load_random_below(3));
            step.max_per_worker = static_cast<std::int32_t>(this->load_random_below(3));
            documents.push_back(boost::json::object{{"Count", step.count},
                                                    {"Cpu", wire_standin::task_need.cpu_millicores},
                                                    {"MemMb", wire_standin::task_need.memory_mb},
                                                    {"EstimateMs", 1000},
                                                    {"LongRunning", true},
                                                    {"MayMiss", (step.count + 1) / 2},
                                                    {"AntiAffinity", step.max_per_worker}});
        }
        {
            const std::lock_guard lock(this->mutex);
            this->long_running[id].steps = std::move(steps);
        }
        this->submit({.id = id,
                      .path_prefix = "/l/",
                      .body = boost::json::serialize(
                          boost::json::object{{"Spec", "text"}, {"Steps", std::move(documents)}})});
        if (++this->long_running_submitted % 4 == 0) {
            this->cancellations.push_back(
                {.due = boot_clock::now() + std::chrono::milliseconds(1500 + this->load_random_below(9000)),
                 .action = [this, id] {
                     this->cancel_long_running(id);
                 }});
        }
    }

    /// @return whether fewer jobs than the limits were accepted, have no answer yet, or may run
    [[nodiscard]] bool may_submit_long_running() {
        const std::lock_guard lock(this->mutex);
        std::size_t expected = 0;
        std::size_t possible = 0;
        for (const auto& [id, job] : this->long_running) {
            const auto answered = this->jobs.find(id);
            const bool has_answer = answered != this->jobs.end();
            expected += !has_answer || answered->second.accepted ? 1 : 0;
            possible += has_answer && answered->second.refused ? 0 : 1;
        }
        return expected < most_long_running_jobs && possible < most_possible_jobs;
    }

    /// A job to be submitted.
    struct submission {
        std::string id;
        std::string path_prefix;
        std::string body;
        bool cancels_at_once = false; ///< cancels the job as soon as it is accepted
    };

    std::string new_id() { return fmt::format("{:016x}", ++this->next_job); }

    void submit(submission job) {
        const auto first = static_cast<std::size_t>(this->load_random_below(this->nodes.size()));
        ++this->open_calls;
        this->submit_at(std::make_shared<submission>(std::move(job)), first, 0, true);
    }

    void submit_at(const std::shared_ptr<submission>& job, std::size_t node_index, std::size_t retries,
                   bool refused_so_far) {
        http_request request{.method = "POST", .target = job->path_prefix + job->id, .body = job->body};
        request.headers.add("X-Api-Key", "key");
        const auto target = this->nodes[node_index % this->nodes.size()].caller_address;
        this->client.call({.target = target, .request = std::move(request), .timeout = call_timeout},
                          [=, this](const http_call_result& result) {
                              constexpr std::size_t max_attempts = 4;
                              const bool answered = result.status == call_status::answered;
                              const bool accepted = answered && result.response.status == 200;
                              const bool refused =
                                  refused_so_far && (result.status == call_status::unsent ||
                                                     (answered && result.response.status == 503));
                              if (!accepted && retries + 1 < max_attempts) {
                                  this->submit_at(job, node_index + 1, retries + 1, refused);
                                  return;
                              }
                              this->record_answer(job->id, accepted, !accepted && refused);
                              if (accepted && job->cancels_at_once) {
                                  this->cancel_at(*job, node_index);
                              } else {
                                  --this->open_calls;
                              }
                          });
    }

    void record_answer(const std::string& id, bool accepted, bool refused) {
        const std::lock_guard lock(this->mutex);
        const auto found = this->long_running.find(id);
        const bool is_long_running = found != this->long_running.end();
        this->jobs[id] = {.accepted = accepted, .refused = refused, .long_running = is_long_running};
        if (is_long_running && accepted) {
            found->second.accepted_at = boot_clock::now();
        }
    }

    void cancel_at(const submission& job, std::size_t node_index) {
        http_request request{.method = "DELETE", .target = job.path_prefix + job.id};
        request.headers.add("X-Api-Key", "key");
        this->client.call({.target = this->nodes[node_index % this->nodes.size()].caller_address,
                           .request = std::move(request),
                           .timeout = call_timeout},
                          [this, id = job.id](const http_call_result& result) {
                              const std::lock_guard lock(this->mutex);
                              this->jobs[id].cancelled =
                                  result.status == call_status::answered && result.response.status == 200;
                              --this->open_calls;
                          });
    }

    /// Cancels an id that no job has, as a caller does who does not know whether his request arrived.
    void cancel_unsubmitted(const std::string& id) {
        {
            const std::lock_guard lock(this->mutex);
            this->outcome.states_of_unsubmitted[id] = reported_state::unknown;
        }
        http_request request{.method = "DELETE", .target = "/q/" + id};
        request.headers.add("X-Api-Key", "key");
        ++this->open_calls;
        this->client.call({.target = this->nodes[this->next_job % this->nodes.size()].caller_address,
                           .request = std::move(request),
                           .timeout = call_timeout},
                          [this](const http_call_result&) { --this->open_calls; });
    }

    /// Sends a cancellation and does not wait. The final cancellation in `check` repeats it if it was lost.
    void cancel_long_running(const std::string& id) {
        {
            const std::lock_guard lock(this->mutex);
            this->long_running[id].cancelled_at = boot_clock::now();
        }
        ++this->open_calls;
        this->cancel_at({.id = id, .path_prefix = "/l/"}, this->load_random_below(this->nodes.size()));
    }

    void cancel_all_long_running() {
        std::map<std::string, submitted_job> open;
        {
            const std::lock_guard lock(this->mutex);
            std::copy_if(
                this->jobs.begin(), this->jobs.end(), std::inserter(open, open.end()),
                [](const auto& entry) { return entry.second.long_running && !entry.second.cancelled; });
        }
        for (const auto& [id, job] : open) {
            const auto is_cancelled =
                std::any_of(this->nodes.begin(), this->nodes.end(), [this, id = id](const auto& target) {
                    return this->call(target.caller_address, "DELETE", "/l/" + id).response.status == 200;
                });
            const std::lock_guard lock(this->mutex);
            this->jobs[id].cancelled = is_cancelled;
        }
    }

    /// Fails one running long-running task.
    void fail_one_task() {
        const auto choice = this->load_random();
        this->standin->with_state([this, choice](fake_keyed_log&, fake_site& site) {
            std::vector<const observed_run*> running;
            for (const auto& run : site.history()) {
                if (run.ended_at == boot_time::max() && this->is_long_running(run.task.job)) {
                    running.push_back(&run);
                }
            }
            if (!running.empty()) {
                const auto chosen = *running[choice % running.size()];
                site.fail_runs(
                    chosen.worker, [&chosen](const auto& run) { return run.task == chosen.task; },
                    boot_clock::now());
            }
        });
    }

    [[nodiscard]] bool is_long_running(const std::string& id) {
        const std::lock_guard lock(this->mutex);
        return this->long_running.contains(id);
    }

    void take_sample(boot_time now) {
        site_sample sample{.at = now};
        for (const auto& worker :
             this->standin->with_state([](fake_keyed_log&, fake_site& site) { return site.workers(); })) {
            const auto vm = this->vm_of(worker.id);
            const auto fault = this->standin->fault_of_vm(vm);
            sample.workers.push_back(
                {.id = worker.id,
                 .state =
                     fmt::format("{} in {}, {}{}", vm, worker.zone, worker.draining ? "draining" : "ready",
                                 fault == worker_fault::none ? "" : fmt::format(", {}", to_string(fault))),
                 .takes_tasks = !worker.draining && fault == worker_fault::none &&
                                !this->zones_out.contains(worker.zone),
                 .slots = vm_capacity.cpu_millicores / wire_standin::task_need.cpu_millicores});
        }
        this->outcome.samples.push_back(std::move(sample));
    }

    std::string vm_of(const std::string& worker) {
        const auto vms =
            this->standin->with_state([](fake_keyed_log&, fake_site& site) { return site.vms(); });
        const auto found =
            std::find_if(vms.begin(), vms.end(), [&worker](const auto& vm) { return vm.worker == worker; });
        return found == vms.end() ? std::string() : found->id;
    }

    /// @param span time for which the fault is in effect
    void record_fault(const std::string& text, std::chrono::milliseconds span = {}) {
        const auto now = boot_clock::now();
        const auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(now - this->started_at);
        this->outcome.disturbances.push_back({.from = now, .until = now + span, .text = text});
        this->report.faults.push_back(fmt::format("{} ms: {}", elapsed.count(), text));
    }

    void repair_later(std::chrono::milliseconds delay, std::function<void()> repair) {
        this->repairs.push_back({.due = boot_clock::now() + delay, .action = std::move(repair)});
    }

    static void run_due(std::vector<timed_action>& pending, boot_time now) {
        for (std::size_t index = 0; index < pending.size();) {
            if (pending[index].due > now) {
                ++index;
                continue;
            }
            const auto action = std::move(pending[index].action);
            pending.erase(pending.begin() + static_cast<std::ptrdiff_t>(index));
            action();
        }
    }

    void stop_node(std::size_t number, int signal_number, std::chrono::milliseconds down) {
        auto& target = this->nodes[number];
        target.process->send(SIGCONT); // a paused process would not handle the signal
        target.process->send(signal_number);
        this->repair_later(down, [this, number] {
            auto& stopped = this->nodes[number];
            if (stopped.process->has_failed()) {
                this->report.failures.push_back(fmt::format("node {} ended with an error", number));
            }
            this->start(stopped); // kills a process that still drains
        });
    }

    void inject_link_fault(const std::shared_ptr<fault_proxy>& link, const std::string& name) {
        constexpr std::array<std::pair<link_fault, std::string_view>, 5> kinds{
            {{link_fault::delayed, "delayed"},
             {link_fault::cut_to_target, "cut to its target"},
             {link_fault::cut_to_source, "cut to its source"},
             {link_fault::silent, "silent"},
             {link_fault::reset, "reset"}}};
        const auto& [kind, text] = kinds[this->random_below(kinds.size())];
        const std::chrono::milliseconds span(300 + this->random_below(3000));
        link->set(kind, std::chrono::milliseconds(20 + this->random_below(250)));
        this->record_fault(fmt::format("{} {} for {} ms", name, text, span.count()), span);
        this->repair_later(span, [link] { link->set(link_fault::none); });
    }

    void kill_all_nodes() {
        const auto span = this->random_span(300, 2500);
        this->record_fault(fmt::format("all nodes killed for {} ms", span.count()), span);
        for (std::size_t index = 0; index < this->nodes.size(); ++index) {
            this->stop_node(index, SIGKILL, span);
        }
    }

    std::chrono::milliseconds random_span(std::uint64_t shortest, std::uint64_t variation) {
        return std::chrono::milliseconds(shortest + this->random_below(variation));
    }

    std::string random_vm() {
        return fmt::format("m{}", this->random_below(static_cast<std::uint64_t>(this->options.vms)));
    }

    void inject_fault() {
        constexpr std::uint64_t kinds = 3;
        switch (this->random_below(kinds)) {
        case 0:
            this->inject_node_fault();
            break;
        case 1:
            this->inject_worker_fault();
            break;
        default:
            this->inject_platform_fault();
            break;
        }
    }

    void inject_node_fault() {
        const auto number = static_cast<std::size_t>(this->random_below(this->nodes.size()));
        const auto span = this->random_span(300, 2500);
        const auto drain_span = span + std::chrono::milliseconds(1500);
        switch (this->random_below(5)) {
        case 0:
            this->record_fault(fmt::format("node {} killed for {} ms", number, span.count()), span);
            this->stop_node(number, SIGKILL, span);
            break;
        case 1:
            this->record_fault(fmt::format("node {} terminated for {} ms", number, drain_span.count()),
                               drain_span);
            this->stop_node(number, SIGTERM, drain_span);
            break;
        case 2:
            this->record_fault(fmt::format("node {} paused for {} ms", number, span.count()), span);
            this->nodes[number].process->send(SIGSTOP);
            this->repair_later(span, [this, number] { this->nodes[number].process->send(SIGCONT); });
            break;
        case 3:
            this->kill_all_nodes();
            break;
        default:
            this->inject_link_fault(this->nodes[number].log_link,
                                    fmt::format("link of node {} to the log", number));
            break;
        }
    }

    void inject_worker_fault() {
        const auto vm = this->random_vm();
        switch (this->random_below(8)) {
        case 0:
            this->inject_link_fault(this->worker_link, "link to the workers");
            break;
        case 1:
            this->record_fault("worker of " + vm + " crashes");
            this->change_site([&vm](fake_site& site) { site.crash(vm, boot_clock::now()); });
            break;
        case 2:
            this->inject_restart(vm, this->random_span(100, 1500));
            break;
        case 3: {
            const auto span = this->random_span(1500, 2500);
            this->record_fault(fmt::format("worker of {} drains and leaves after {} ms", vm, span.count()),
                               span);
            this->change_site([&vm](fake_site& site) { site.set_draining(vm, true); });
            this->repair_later(span, [this, vm] {
                this->change_site([&vm](fake_site& site) { site.crash(vm, boot_clock::now()); });
            });
            break;
        }
        case 4:
            this->inject_order_fault(vm, worker_fault::refuses_starts, this->random_span(500, 4000));
            break;
        case 5:
            this->inject_order_fault(vm, worker_fault::fails_runs, this->random_span(500, 4000));
            break;
        case 6:
            this->inject_order_fault(vm, worker_fault::late, this->random_span(300, 2500));
            break;
        default:
            this->inject_order_fault(vm, worker_fault::loses_answers, this->random_span(300, 2500));
            break;
        }
    }

    void inject_order_fault(const std::string& vm, worker_fault fault, std::chrono::milliseconds span) {
        if (this->standin->fault_of_vm(vm) != worker_fault::none) {
            return;
        }
        this->record_fault(fmt::format("worker of {} {} for {} ms", vm, to_string(fault), span.count()),
                           span);
        this->standin->set_worker_fault(vm, fault);
        this->repair_later(span, [this, vm] { this->standin->set_worker_fault(vm, worker_fault::none); });
    }

    /// Restarts a worker under its id. What it ran ends at once; it answers again after @p span.
    void inject_restart(const std::string& vm, std::chrono::milliseconds span) {
        if (this->standin->fault_of_vm(vm) != worker_fault::none) {
            return;
        }
        this->record_fault(fmt::format("worker of {} restarts under its id within {} ms", vm, span.count()),
                           span);
        const auto restart = [this, vm](worker_fault fault) {
            this->standin->set_worker_fault(vm, fault);
            this->change_site([&vm](fake_site& site) { site.restart(vm, {}, boot_clock::now()); });
        };
        restart(worker_fault::down);
        this->repair_later(span, [restart] { restart(worker_fault::none); });
    }

    void inject_platform_fault() {
        switch (this->random_below(6)) {
        case 0:
            this->record_fault("the log drops its history");
            this->standin->with_state([](fake_keyed_log& log, fake_site&) {
                for (const auto topic :
                     {log_topic::jobs, log_topic::states, log_topic::leader, log_topic::workers}) {
                    log.drop_history(topic, 0);
                }
            });
            break;
        case 1:
            this->inject_odd_entries();
            break;
        case 2:
            this->inject_zone_out();
            break;
        case 3:
            this->inject_wave();
            break;
        default:
            this->inject_outage();
            break;
        }
    }

    void inject_odd_entries() {
        constexpr std::size_t depth = 500;
        const std::array<std::string, 4> values{
            std::string(depth, '[') + std::string(depth, ']'),
            R"({"Service":"pool","Address":"127.0.0.1:1","Zone":"z","State":"ready","Labels":[],)"
            R"("Capacity":{"Cpu":1e400,"MemMb":99999999999999999999999},"born":1})",
            R"({"Service":"pool","Address":"127.0.0.1:70000","Zone":"z","State":"ready","Labels":[],)"
            R"("Capacity":{"Cpu":16000,"MemMb":16000},"born":1})",
            "\xff\xfe not JSON"};
        this->record_fault("odd entries among those of the workers");
        for (std::size_t number = 0; number < values.size(); ++number) {
            this->standin->write(log_topic::workers, fmt::format("odd-{}", number), values[number]);
        }
    }

    void inject_zone_out() {
        const std::string zone = this->random_below(2) == 0 ? "y" : "z";
        const auto span = this->random_span(1000, 3000);
        if (!this->zones_out.insert(zone).second) {
            return;
        }
        this->record_fault(fmt::format("zone {} out for {} ms", zone, span.count()), span);
        this->standin->write(log_topic::operators, "evacuate/" + zone, "{}");
        this->repair_later(span, [this, zone] {
            this->standin->write(log_topic::operators, "evacuate/" + zone, {});
            this->zones_out.erase(zone);
        });
    }

    void inject_wave() {
        constexpr std::chrono::milliseconds duration{6000};
        const auto number = ++this->waves;
        const auto vm = this->random_vm();
        this->record_fault(fmt::format("wave {} of {} within {} ms", number, vm, duration.count()), duration);
        this->standin->write(log_topic::operators, fmt::format("wave/{}", number),
                             boost::json::serialize(
                                 boost::json::object{{"Wave", number},
                                                     {"Machines", boost::json::array{boost::json::value(vm)}},
                                                     {"DurationS", duration.count() / 1000},
                                                     {"Cap", 1}}));
        this->repair_later(duration, [] {});
    }

    /// Takes the log away, from workers too, so that entries lapse in the longer half of the outages. Some of
    /// the workers may lose their answers as it begins.
    void inject_outage() {
        if (this->log_is_away) {
            return;
        }
        this->log_is_away = true;
        if (this->random_below(2) == 0) {
            const auto most = static_cast<std::uint64_t>(this->options.vms);
            for (auto count = 1 + this->random_below(most); count > 0; --count) {
                this->inject_order_fault(this->random_vm(), worker_fault::loses_answers,
                                         this->random_span(600, 1500));
            }
        }
        const auto span = this->random_span(1000, 8000);
        const auto kind = this->random_below(3);
        constexpr std::array<std::string_view, 3> names{"refuses", "is silent", "is cut off"};
        this->record_fault(fmt::format("the log {} for {} ms{}", names[kind], span.count(),
                                       span > longest_lease ? ", longer than a lease" : ""),
                           span);
        this->standin->set_heartbeats(false);
        this->set_outage(kind, true);
        this->repair_later(span, [this, kind] {
            this->set_outage(kind, false);
            this->standin->set_heartbeats(true);
            this->log_is_away = false;
        });
    }

    void set_outage(std::uint64_t kind, bool away) {
        if (kind < 2) {
            const auto condition = kind == 0 ? log_condition::refusing : log_condition::silent;
            this->standin->set_log(away ? condition : log_condition::up);
            return;
        }
        for (const auto& target : this->nodes) {
            target.log_link->set(away ? link_fault::silent : link_fault::none);
        }
    }

    template <class Function>
    void change_site(Function function) {
        this->standin->with_state([&function](fake_keyed_log&, fake_site& site) { function(site); });
    }

    [[nodiscard]] reported_state query_state(const std::string& id) {
        const auto* path_prefix = this->is_long_running(id) ? "/l/" : "/q/";
        for (const auto& target : this->nodes) {
            const auto result = this->call(target.caller_address, "GET", path_prefix + id);
            if (result.status == call_status::answered && result.response.status == 200) {
                return parse_reported_state(result.response.body);
            }
        }
        return reported_state::unknown;
    }

    void check() {
        this->wait_until([this] { return this->all_ready(); }, start_timeout);
        this->wait_until([this] { return this->open_calls == 0; }, call_timeout * 5);
        this->outcome.tasks_per_job = tasks_per_job;
        this->outcome.attempts = attempts;
        this->outcome.started_at = this->started_at;
        {
            const std::lock_guard lock(this->mutex);
            // The rest is cancelled after the last sample.
            std::copy_if(this->long_running.begin(), this->long_running.end(),
                         std::inserter(this->outcome.long_running, this->outcome.long_running.end()),
                         [this](const auto& entry) { return this->jobs[entry.first].accepted; });
        }
        this->cancel_all_long_running();
        {
            const std::lock_guard lock(this->mutex);
            this->outcome.jobs = this->jobs;
        }
        for (const auto& [id, job] : this->outcome.jobs) {
            this->report.accepted += job.accepted ? 1 : 0;
            this->report.refused += job.refused ? 1 : 0;
            this->report.cancelled += job.cancelled ? 1 : 0;
        }
        this->wait_until([this] { return this->all_final(); }, finish_timeout);
        for (auto& [id, state] : this->outcome.states) {
            // The checks use this second answer, because a final state must not change.
            state = this->query_state(id);
        }
        for (auto& [id, state] : this->outcome.states_of_unsubmitted) {
            state = this->query_state(id);
        }
        this->outcome.history =
            this->standin->with_state([](fake_keyed_log&, fake_site& site) { return site.history(); });
        this->report.runs = this->outcome.history.size();
        this->report.judged = count_judgements(this->outcome);
        for (auto& violation : find_violations(this->outcome)) {
            this->report.failures.push_back(std::move(violation));
        }
    }

    /// Queries the accepted jobs that were not final at the last query.
    /// @return whether all accepted jobs are final
    bool all_final() {
        bool are_final = true;
        for (const auto& [id, job] : this->outcome.jobs) {
            if (!job.accepted) {
                continue;
            }
            auto& state = this->outcome.states[id];
            if (!is_final(state)) {
                state = this->query_state(id);
            }
            are_final = are_final && is_final(state);
        }
        return are_final;
    }

    soak_options options;
    std::mt19937_64 fault_random;
    std::mt19937_64 load_random;
    io_threads threads{3};
    std::shared_ptr<wire_standin> standin;
    std::shared_ptr<fault_proxy> worker_link;
    http_client_pool client{this->threads, {}};
    std::vector<node> nodes;
    std::vector<timed_action> repairs;
    std::vector<timed_action> cancellations; ///< of long-running jobs, later
    std::mutex mutex;                        ///< guards the two members below
    std::map<std::string, submitted_job> jobs;
    std::map<std::string, long_running_job> long_running; ///< by job id
    std::size_t long_running_submitted = 0;
    std::set<std::string> zones_out;
    bool log_is_away = false;
    std::int64_t waves = 0;
    boot_time next_long_running{};
    boot_time next_failure{};
    boot_time next_sample{};
    soak_outcome outcome;
    std::atomic<int> open_calls = 0; ///< jobs whose submission or cancellation has no final answer yet
    std::uint64_t next_job = 0;
    boot_time started_at{};
    soak_report report;
};

} // namespace hornbeamrail::test
