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
#include <thread>

namespace hornbeamrail::test {

struct soak_options {
    std::string binary;    ///< path of the node program
    std::string directory; ///< for settings and logs of the processes; deleted and created at the start
    std::uint64_t seed = 1;
    std::chrono::milliseconds load{8000}; ///< period of requests and faults
    int nodes = 3;
    int vms = 5;
};

struct soak_report {
    std::size_t accepted = 0;
    std::size_t refused = 0;
    std::size_t cancelled = 0;
    std::size_t runs = 0;
    std::vector<std::string> faults;   ///< in order, with the times of their starts
    std::vector<std::string> failures; ///< violations; empty when the soak passed
};

/// One run of the soak. The seed determines load and faults; the timing of the processes is not
/// deterministic.
class site_soak {
public:
    explicit site_soak(soak_options initial)
        : options(std::move(initial)), random(this->options.seed), standin(wire_standin::make(this->threads)),
          worker_link(fault_proxy::make(this->threads, this->standin->address())) {
        std::filesystem::remove_all(this->options.directory);
        std::filesystem::create_directories(this->options.directory);
        this->standin->with_state([this](fake_keyed_log&, fake_site& site) {
            site.set_duration(task_time);
            for (int vm = 0; vm < this->options.vms; ++vm) {
                site.add_vm(fmt::format("m{}", vm), "pool", "z", "r1",
                            {.cpu_millicores = 16000, .memory_mb = 16000}, boot_clock::now());
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
        const auto end = boot_clock::now() + this->options.load;
        auto next_fault = boot_clock::now() + std::chrono::milliseconds(300);
        while (boot_clock::now() < end) {
            this->submit_one();
            this->run_due_repairs(boot_clock::now());
            if (boot_clock::now() >= next_fault) {
                this->inject_fault();
                next_fault = boot_clock::now() + std::chrono::milliseconds(100 + this->random_below(1200));
            }
            this->pause(std::chrono::milliseconds(30));
        }
        this->run_due_repairs(boot_time::max());
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
        "Routes":[{"Name":"r","Host":"127.0.0.1","PathPrefix":"/q/","Service":"pool","Attempts":3,"Stretch":1.6}],
        "Services":[{"Name":"pool","RejectsOverload":true}],"Tenants":[{"Name":"t","ApiKeys":["key"],"Weight":1000}]})";
    static constexpr std::string_view job_body =
        R"({"Spec":"text","Steps":[{"Count":2,"Cpu":1000,"MemMb":100,"EstimateMs":250},)"
        R"({"Count":1,"Cpu":1000,"MemMb":100,"EstimateMs":250,"After":[0]}]})";
    static constexpr std::size_t tasks_per_job = 3;

    struct node {
        std::string settings;
        std::string log;
        endpoint caller_address;
        endpoint ready_address;
        std::shared_ptr<fault_proxy> log_link;
        std::unique_ptr<child_process> process;
    };

    struct pending_repair {
        boot_time due{};
        std::function<void()> repair;
    };

    std::uint64_t random_below(std::uint64_t bound) { return this->random() % bound; }

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

    static std::uint16_t free_port() {
        boost::asio::io_context context;
        boost::asio::ip::tcp::acceptor probe(context, {boost::asio::ip::make_address("127.0.0.1"), 0});
        return probe.local_endpoint().port();
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
        const auto id = fmt::format("{:016x}", ++this->next_job);
        const auto first = static_cast<std::size_t>(this->random_below(this->nodes.size()));
        const bool cancels = this->random_below(10) == 0;
        ++this->open_calls;
        this->submit_at(id, first, 0, cancels, true);
    }

    void submit_at(const std::string& id, std::size_t node_index, std::size_t retries, bool cancels,
                   bool refused_so_far) {
        http_request request{.method = "POST", .target = "/q/" + id, .body = std::string(job_body)};
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
                                  this->submit_at(id, node_index + 1, retries + 1, cancels, refused);
                                  return;
                              }
                              {
                                  const std::lock_guard lock(this->mutex);
                                  this->jobs[id] = {.accepted = accepted, .refused = !accepted && refused};
                              }
                              if (accepted && cancels) {
                                  this->cancel_at(id, node_index);
                              } else {
                                  --this->open_calls;
                              }
                          });
    }

    void cancel_at(const std::string& id, std::size_t node_index) {
        http_request request{.method = "DELETE", .target = "/q/" + id};
        request.headers.add("X-Api-Key", "key");
        this->client.call({.target = this->nodes[node_index % this->nodes.size()].caller_address,
                           .request = std::move(request),
                           .timeout = call_timeout},
                          [this, id](const http_call_result& result) {
                              const std::lock_guard lock(this->mutex);
                              auto& job = this->jobs[id];
                              job.cancelled =
                                  result.status == call_status::answered && result.response.status == 200;
                              --this->open_calls;
                          });
    }

    void record_fault(const std::string& text) {
        const auto elapsed =
            std::chrono::duration_cast<std::chrono::milliseconds>(boot_clock::now() - this->started_at);
        this->report.faults.push_back(fmt::format("{} ms: {}", elapsed.count(), text));
    }

    void repair_later(std::chrono::milliseconds delay, std::function<void()> repair) {
        this->repairs.push_back({.due = boot_clock::now() + delay, .repair = std::move(repair)});
    }

    void run_due_repairs(boot_time now) {
        for (std::size_t index = 0; index < this->repairs.size();) {
            if (this->repairs[index].due > now) {
                ++index;
                continue;
            }
            const auto repair = std::move(this->repairs[index].repair);
            this->repairs.erase(this->repairs.begin() + static_cast<std::ptrdiff_t>(index));
            repair();
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
        this->record_fault(fmt::format("{} {} for {} ms", name, text, span.count()));
        this->repair_later(span, [link] { link->set(link_fault::none); });
    }

    void inject_fault() {
        const auto number = static_cast<std::size_t>(this->random_below(this->nodes.size()));
        const std::chrono::milliseconds span(300 + this->random_below(2500));
        switch (this->random_below(8)) {
        case 0:
            this->record_fault(fmt::format("node {} killed for {} ms", number, span.count()));
            this->stop_node(number, SIGKILL, span);
            break;
        case 1:
            this->record_fault(fmt::format("node {} terminated for {} ms", number, span.count() + 1500));
            this->stop_node(number, SIGTERM, span + std::chrono::milliseconds(1500));
            break;
        case 2:
            this->record_fault(fmt::format("node {} paused for {} ms", number, span.count()));
            this->nodes[number].process->send(SIGSTOP);
            this->repair_later(span, [this, number] { this->nodes[number].process->send(SIGCONT); });
            break;
        case 3:
            this->record_fault(fmt::format("all nodes killed for {} ms", span.count()));
            for (std::size_t index = 0; index < this->nodes.size(); ++index) {
                this->stop_node(index, SIGKILL, span);
            }
            break;
        case 4:
            this->inject_link_fault(this->worker_link, "link to the workers");
            break;
        case 5: {
            const auto vm =
                fmt::format("m{}", this->random_below(static_cast<std::uint64_t>(this->options.vms)));
            this->record_fault("worker of " + vm + " crashes");
            this->standin->with_state(
                [&vm](fake_keyed_log&, fake_site& site) { site.crash(vm, boot_clock::now()); });
            break;
        }
        case 6:
            this->record_fault("the log drops its history");
            this->standin->with_state([](fake_keyed_log& log, fake_site&) {
                for (const auto topic : {log_topic::jobs, log_topic::states, log_topic::leader}) {
                    log.drop_history(topic, 0);
                }
            });
            break;
        default:
            this->inject_link_fault(this->nodes[number].log_link,
                                    fmt::format("link of node {} to the log", number));
            break;
        }
    }

    [[nodiscard]] reported_state query_state(const std::string& id) {
        for (const auto& target : this->nodes) {
            const auto result = this->call(target.caller_address, "GET", "/q/" + id);
            if (result.status == call_status::answered && result.response.status == 200) {
                return parse_reported_state(result.response.body);
            }
        }
        return reported_state::unknown;
    }

    void check() {
        this->wait_until([this] { return this->all_ready(); }, start_timeout);
        this->wait_until([this] { return this->open_calls == 0; }, call_timeout * 5);
        soak_outcome outcome{.tasks_per_job = tasks_per_job};
        {
            const std::lock_guard lock(this->mutex);
            outcome.jobs = this->jobs;
        }
        for (const auto& [id, job] : outcome.jobs) {
            this->report.accepted += job.accepted ? 1 : 0;
            this->report.refused += job.refused ? 1 : 0;
            this->report.cancelled += job.cancelled ? 1 : 0;
        }
        this->wait_until([this, &outcome] { return this->all_final(outcome); }, finish_timeout);
        for (auto& [id, state] : outcome.states) {
            // The checks use this second answer, because a final state must not change.
            state = this->query_state(id);
        }
        outcome.history =
            this->standin->with_state([](fake_keyed_log&, fake_site& site) { return site.history(); });
        this->report.runs = outcome.history.size();
        for (auto& violation : find_violations(outcome)) {
            this->report.failures.push_back(std::move(violation));
        }
    }

    /// Queries the accepted jobs that were not final at the last query.
    /// @return whether all accepted jobs are final
    bool all_final(soak_outcome& outcome) {
        bool are_final = true;
        for (const auto& [id, job] : outcome.jobs) {
            if (!job.accepted) {
                continue;
            }
            auto& state = outcome.states[id];
            if (!is_final(state)) {
                state = this->query_state(id);
            }
            are_final = are_final && is_final(state);
        }
        return are_final;
    }

    soak_options options;
    std::mt19937_64 random;
    io_threads threads{3};
    std::shared_ptr<wire_standin> standin;
    std::shared_ptr<fault_proxy> worker_link;
    http_client_pool client{this->threads, {}};
    std::vector<node> nodes;
    std::vector<pending_repair> repairs;
    std::mutex mutex; ///< guards `jobs`
    std::map<std::string, submitted_job> jobs;
    std::atomic<int> open_calls = 0; ///< jobs whose submission or cancellation has no final answer yet
    std::uint64_t next_job = 0;
    boot_time started_at{};
    soak_report report;
};

} // namespace hornbeamrail::test
