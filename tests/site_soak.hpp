#pragma once

// A randomized soak: nodes as processes of their own, harmed from outside, against the stand-ins of the
// platform. It checks what callers and workers see.

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
    std::string binary;    ///< path of the product's program
    std::string directory; ///< for settings and logs of the processes; made anew
    std::uint64_t seed = 1;
    std::chrono::milliseconds load{8000}; ///< how long callers send and faults are made
    int nodes = 3;
    int vms = 5;
};

struct soak_report {
    std::size_t accepted = 0;
    std::size_t refused = 0;
    std::size_t cancelled = 0;
    std::size_t runs = 0;
    std::vector<std::string> faults;   ///< in order, with their times
    std::vector<std::string> failures; ///< broken promises; empty: none
};

/// One run of the soak. The seed decides load and faults; the processes' own timing is real.
class site_soak {
public:
    explicit site_soak(soak_options given)
        : options(std::move(given)), random(this->options.seed), standin(wire_standin::make(this->threads)),
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
        this->threads.stop(); // answers to callers use the nodes
        this->nodes.clear();  // ends the processes
    }
    site_soak(const site_soak&) = delete;
    site_soak& operator=(const site_soak&) = delete;

    soak_report run() {
        this->begun = boot_clock::now();
        const auto settled = this->wait_until([this] { return this->all_ready(); }, start_time);
        if (!settled) {
            this->report.failures.emplace_back("the nodes did not become ready");
            return this->report;
        }
        const auto end = boot_clock::now() + this->options.load;
        auto next_fault = boot_clock::now() + std::chrono::milliseconds(300);
        while (boot_clock::now() < end) {
            this->submit_one();
            this->heal_due(boot_clock::now());
            if (boot_clock::now() >= next_fault) {
                this->make_fault();
                next_fault = boot_clock::now() + std::chrono::milliseconds(100 + this->pick(1200));
            }
            this->pause(std::chrono::milliseconds(30));
        }
        this->heal_due(boot_time::max());
        this->check();
        return this->report;
    }

private:
    static constexpr std::chrono::milliseconds task_time{250};
    static constexpr std::chrono::milliseconds call_timeout{2000};
    static constexpr std::chrono::milliseconds start_time{20000};
    /// From the end of the last fault until every accepted job is final: a lease of a lost worker may have to
    /// lapse.
    static constexpr std::chrono::milliseconds finish_time{40000};
    static constexpr std::string_view config_text = R"({"Version":1,
        "Routes":[{"Name":"r","Host":"127.0.0.1","PathPrefix":"/q/","Service":"pool","Attempts":3,"Stretch":1.6}],
        "Services":[{"Name":"pool","RejectsOverload":true}],"Tenants":[{"Name":"t","ApiKeys":["key"],"Weight":1000}]})";
    static constexpr std::string_view job_body =
        R"({"Spec":"text","Steps":[{"Count":2,"Cpu":1000,"MemMb":100,"EstimateMs":250},)"
        R"({"Count":1,"Cpu":1000,"MemMb":100,"EstimateMs":250,"After":[0]}]})";
    static constexpr std::size_t tasks_of_job = 3;

    struct node {
        std::string settings;
        std::string log;
        endpoint caller_address;
        endpoint ready_address;
        std::shared_ptr<fault_proxy> log_link;
        std::unique_ptr<child_process> process;
    };

    struct pending_heal {
        boot_time due{};
        std::function<void()> heal;
    };

    std::uint64_t pick(std::uint64_t bound) { return this->random() % bound; }

    void pause(std::chrono::milliseconds span) {
        std::promise<void> over;
        this->threads.run_after(span, [&over] { over.set_value(); });
        over.get_future().get();
    }

    template <class Condition>
    bool wait_until(Condition condition, std::chrono::milliseconds cap) {
        const auto give_up = boot_clock::now() + cap;
        while (!condition()) {
            if (boot_clock::now() > give_up) {
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
        node made{.settings = fmt::format("{}/node-{}.json", this->options.directory, number),
                  .log = fmt::format("{}/node-{}.log", this->options.directory, number),
                  .caller_address = {.address = "127.0.0.1", .port = free_port()},
                  .ready_address = {.address = "127.0.0.1", .port = free_port()},
                  .log_link = fault_proxy::make(this->threads, this->standin->address())};
        std::ofstream(made.settings) << boost::json::serialize(boost::json::object{
            {"Node", fmt::format("n{}", number)},
            {"Zone", "z"},
            {"Listen", {{"Front", to_string(made.caller_address)}, {"Ready", to_string(made.ready_address)}}},
            {"platform", {{"Address", to_string(made.log_link->address())}, {"parts", 2}}},
            {"Cloud", {{"Address", to_string(this->standin->address())}}}});
        this->start(made);
        return made;
    }

    void start(node& of) const {
        of.process.reset(); // a process that still runs holds the addresses
        of.process = std::make_unique<child_process>(
            std::vector<std::string>{this->options.binary, "serve-site", "--platform_settings", of.settings},
            of.log);
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
        return std::all_of(this->nodes.begin(), this->nodes.end(), [this](const auto& each) {
            return this->call(each.ready_address, "GET", "/").response.status == 200;
        });
    }

    /// Hands a job in at one node after the other until one accepts it, as callers of a balancer do. A caller
    /// does not wait for its answer here: calls overlap.
    void submit_one() {
        const auto id = fmt::format("{:016x}", ++this->next_job);
        const auto first = static_cast<std::size_t>(this->pick(this->nodes.size()));
        const bool cancels = this->pick(10) == 0;
        ++this->open_calls;
        this->submit_at(id, first, 0, cancels, true);
    }

    void submit_at(const std::string& id, std::size_t at, std::size_t tries, bool cancels,
                   bool refused_so_far) {
        http_request request{.method = "POST", .target = "/q/" + id, .body = std::string(job_body)};
        request.headers.add("X-Api-Key", "key");
        const auto target = this->nodes[at % this->nodes.size()].caller_address;
        this->client.call({.target = target, .request = std::move(request), .timeout = call_timeout},
                          [=, this](const http_call_result& result) {
                              constexpr std::size_t most_tries = 4;
                              const bool answered = result.status == call_status::answered;
                              const bool accepted = answered && result.response.status == 200;
                              const bool refused =
                                  refused_so_far && (result.status == call_status::unsent ||
                                                     (answered && result.response.status == 503));
                              if (!accepted && tries + 1 < most_tries) {
                                  this->submit_at(id, at + 1, tries + 1, cancels, refused);
                                  return;
                              }
                              {
                                  const std::lock_guard lock(this->mutex);
                                  this->jobs[id] = {.accepted = accepted, .refused = !accepted && refused};
                              }
                              if (accepted && cancels) {
                                  this->cancel_at(id, at);
                              } else {
                                  --this->open_calls;
                              }
                          });
    }

    void cancel_at(const std::string& id, std::size_t at) {
        http_request request{.method = "DELETE", .target = "/q/" + id};
        request.headers.add("X-Api-Key", "key");
        this->client.call({.target = this->nodes[at % this->nodes.size()].caller_address,
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

    void note_fault(const std::string& text) {
        const auto at =
            std::chrono::duration_cast<std::chrono::milliseconds>(boot_clock::now() - this->begun);
        this->report.faults.push_back(fmt::format("{} ms: {}", at.count(), text));
    }

    void heal_later(std::chrono::milliseconds after, std::function<void()> heal) {
        this->heals.push_back({.due = boot_clock::now() + after, .heal = std::move(heal)});
    }

    void heal_due(boot_time now) {
        for (std::size_t index = 0; index < this->heals.size();) {
            if (this->heals[index].due > now) {
                ++index;
                continue;
            }
            const auto heal = std::move(this->heals[index].heal);
            this->heals.erase(this->heals.begin() + static_cast<std::ptrdiff_t>(index));
            heal();
        }
    }

    void stop_node(std::size_t number, int signal_number, std::chrono::milliseconds down) {
        auto& hit = this->nodes[number];
        hit.process->send(SIGCONT); // a paused process would not see the signal
        hit.process->send(signal_number);
        this->heal_later(down, [this, number] {
            auto& back = this->nodes[number];
            if (back.process->has_failed()) {
                this->report.failures.push_back(fmt::format("node {} ended with an error", number));
            }
            this->start(back); // one that still drains is killed
        });
    }

    void harm_link(const std::shared_ptr<fault_proxy>& link, const std::string& name) {
        constexpr std::array<std::pair<link_fault, std::string_view>, 5> kinds{
            {{link_fault::delayed, "delayed"},
             {link_fault::cut_to_target, "cut to its target"},
             {link_fault::cut_to_source, "cut to its source"},
             {link_fault::silent, "silent"},
             {link_fault::reset, "reset"}}};
        const auto& [kind, text] = kinds[this->pick(kinds.size())];
        const std::chrono::milliseconds span(300 + this->pick(3000));
        link->set(kind, std::chrono::milliseconds(20 + this->pick(250)));
        this->note_fault(fmt::format("{} {} for {} ms", name, text, span.count()));
        this->heal_later(span, [link] { link->set(link_fault::none); });
    }

    void make_fault() {
        const auto number = static_cast<std::size_t>(this->pick(this->nodes.size()));
        const std::chrono::milliseconds span(300 + this->pick(2500));
        switch (this->pick(8)) {
        case 0:
            this->note_fault(fmt::format("node {} killed for {} ms", number, span.count()));
            this->stop_node(number, SIGKILL, span);
            break;
        case 1:
            this->note_fault(fmt::format("node {} terminated for {} ms", number, span.count() + 1500));
            this->stop_node(number, SIGTERM, span + std::chrono::milliseconds(1500));
            break;
        case 2:
            this->note_fault(fmt::format("node {} paused for {} ms", number, span.count()));
            this->nodes[number].process->send(SIGSTOP);
            this->heal_later(span, [this, number] { this->nodes[number].process->send(SIGCONT); });
            break;
        case 3:
            this->note_fault(fmt::format("all nodes killed for {} ms", span.count()));
            for (std::size_t each = 0; each < this->nodes.size(); ++each) {
                this->stop_node(each, SIGKILL, span);
            }
            break;
        case 4:
            this->harm_link(this->worker_link, "link to the workers");
            break;
        case 5: {
            const auto vm = fmt::format("m{}", this->pick(static_cast<std::uint64_t>(this->options.vms)));
            this->note_fault("worker of " + vm + " crashes");
            this->standin->with_state(
                [&vm](fake_keyed_log&, fake_site& site) { site.crash(vm, boot_clock::now()); });
            break;
        }
        case 6:
            this->note_fault("the log forgets its history");
            this->standin->with_state([](fake_keyed_log& log, fake_site&) {
                for (const auto topic : {log_topic::jobs, log_topic::states, log_topic::leader}) {
                    log.forget_history(topic, 0);
                }
            });
            break;
        default:
            this->harm_link(this->nodes[number].log_link, fmt::format("link of node {} to the log", number));
            break;
        }
    }

    [[nodiscard]] shown_state state_of(const std::string& id) {
        for (const auto& each : this->nodes) {
            const auto result = this->call(each.caller_address, "GET", "/q/" + id);
            if (result.status == call_status::answered && result.response.status == 200) {
                return parse_shown_state(result.response.body);
            }
        }
        return shown_state::unknown;
    }

    void check() {
        this->wait_until([this] { return this->all_ready(); }, start_time);
        this->wait_until([this] { return this->open_calls == 0; }, call_timeout * 5);
        soak_outcome seen{.tasks_of_job = tasks_of_job};
        {
            const std::lock_guard lock(this->mutex);
            seen.jobs = this->jobs;
        }
        for (const auto& [id, job] : seen.jobs) {
            this->report.accepted += job.accepted ? 1 : 0;
            this->report.refused += job.refused ? 1 : 0;
            this->report.cancelled += job.cancelled ? 1 : 0;
        }
        this->wait_until([this, &seen] { return this->all_final(seen); }, finish_time);
        for (auto& [id, state] : seen.states) {
            state = this->state_of(id); // a final state stays
        }
        seen.history =
            this->standin->with_state([](fake_keyed_log&, fake_site& site) { return site.history(); });
        this->report.runs = seen.history.size();
        for (auto& broken : broken_promises(seen)) {
            this->report.failures.push_back(std::move(broken));
        }
    }

    /// Asks for the accepted jobs that were not final yet.
    bool all_final(soak_outcome& seen) {
        bool final = true;
        for (const auto& [id, job] : seen.jobs) {
            if (!job.accepted) {
                continue;
            }
            auto& state = seen.states[id];
            if (!is_final(state)) {
                state = this->state_of(id);
            }
            final = final && is_final(state);
        }
        return final;
    }

    soak_options options;
    std::mt19937_64 random;
    io_threads threads{3};
    std::shared_ptr<wire_standin> standin;
    std::shared_ptr<fault_proxy> worker_link;
    http_client_pool client{this->threads, {}};
    std::vector<node> nodes;
    std::vector<pending_heal> heals;
    std::mutex mutex; ///< guards `jobs`
    std::map<std::string, promised_job> jobs;
    std::atomic<int> open_calls = 0; ///< jobs whose caller has no last answer yet
    std::uint64_t next_job = 0;
    boot_time begun{};
    soak_report report;
};

} // namespace hornbeamrail::test
