#pragma once

// A small deployment on loopback for the cases of this review: the store and the list of machines run in the
// process of the case, the executors and the nodes of the system in processes of their own.

#include "store_2.hpp"

#include <boost/json/parse.hpp>

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>

#include <cstdio>
#include <filesystem>
#include <fstream>
#include <set>

extern char** environ;

namespace review {

/// Exit status of a case.
enum class verdict { held = 0, broken = 1, not_run = 2 };

/// Owns a child process. The destructor kills it and waits for its end.
class child_process {
public:
    child_process(const std::vector<std::string>& command, const std::string& output,
                  const std::string& variable = {}) {
        posix_spawn_file_actions_t actions;
        posix_spawn_file_actions_init(&actions);
        posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, output.c_str(),
                                         O_WRONLY | O_CREAT | O_APPEND, 0644);
        posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
        std::vector<char*> arguments;
        for (const auto& argument : command) {
            arguments.push_back(const_cast<char*>(argument.c_str()));
        }
        arguments.push_back(nullptr);
        std::vector<char*> environment;
        for (char** entry = environ; *entry != nullptr; ++entry) {
            environment.push_back(*entry);
        }
        environment.push_back(const_cast<char*>(variable.c_str()));
        environment.push_back(nullptr);
        const int failure = posix_spawn(&this->id, arguments.front(), &actions, nullptr, arguments.data(),
                                        environment.data());
        posix_spawn_file_actions_destroy(&actions);
        if (failure != 0) {
            throw std::runtime_error("cannot start " + command.front());
        }
    }
    ~child_process() {
        ::kill(this->id, SIGKILL);
        ::waitpid(this->id, nullptr, 0);
    }
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;

    void send(int signal_number) const { ::kill(this->id, signal_number); }

    /// @return whether the process has ended; it can be asked again
    [[nodiscard]] bool has_ended() const {
        siginfo_t state{};
        return ::waitid(P_PID, static_cast<id_t>(this->id), &state, WEXITED | WNOHANG | WNOWAIT) == 0 &&
               state.si_pid == this->id;
    }

private:
    pid_t id = 0;
};

struct site_options {
    int nodes = 3;
    int workers = 8;
    std::string tenants = R"([{"Name":"t","ApiKeys":["key"],"Weight":1000}])";
};

/// The deployment. All members are used by the thread of the case only, except where noted.
class site {
public:
    static constexpr milliseconds call_timeout{3000};

    struct node {
        std::string name;
        std::shared_ptr<store::port> store_port;
        int front = free_port();
        int ready = free_port();
        std::unique_ptr<child_process> process;
    };
    struct worker {
        std::string id;
        std::string machine;
        int port = free_port();
        int advertised = port; ///< that of a proxy, if there is one
        std::unique_ptr<child_process> process;
    };

    explicit site(site_options initial) : options(std::move(initial)) {
        const char* scratch = std::getenv("REVIEW_SCRATCH"); // of run.sh, which removes it
        if (scratch == nullptr) {
            throw std::runtime_error("REVIEW_SCRATCH names no folder");
        }
        this->directory = scratch;
        this->events_file = this->directory + "/events";
        this->worker_store = this->log.open_port();
        for (int number = 0; number < this->options.nodes; ++number) {
            this->nodes.push_back(
                {.name = "edge-" + std::to_string(number), .store_port = this->log.open_port()});
        }
        for (int number = 0; number < this->options.workers; ++number) {
            this->workers.push_back(
                {.id = "w" + std::to_string(number), .machine = "m" + std::to_string(number)});
        }
        this->cloud = std::make_unique<http_server>(
            this->cloud_port, [this](const http_request& request) { return this->serve_cloud(request); });
        this->write_config(1, this->options.tenants);
    }
    site(const site&) = delete;
    site& operator=(const site&) = delete;

    /// Ends all processes and removes their files. The object has to stay: the threads of the stand-ins use
    /// it until the process ends.
    void end() {
        for (auto& each : this->nodes) {
            each.process.reset();
        }
        for (auto& each : this->workers) {
            each.process.reset();
        }
        std::filesystem::remove_all(this->directory);
    }

    /// Writes a line to the record of the case.
    void note(const std::string& event, boost::json::object fields = {}) {
        boost::json::object line{{"ms", now_ms()}, {"event", event}};
        for (auto& field : fields) {
            line[field.key()] = field.value();
        }
        const std::lock_guard lock(this->notes_mutex);
        this->notes.push_back(std::move(line));
    }

    /// Writes a version of the operator's configuration; the store's answer is its acknowledgement.
    void write_config(int version, const std::string& tenants) {
        this->log.write(
            "keyed.op", "config",
            R"({"Version":)" + std::to_string(version) +
                R"(,"Routes":[{"Name":"q","Host":"shop.example","PathPrefix":"/q/","Service":"p",)"
                R"("Attempts":2,"Stretch":1.6,"TargetDurationMs":600}],)"
                R"("Services":[{"Name":"p","RejectsOverload":true}],"Tenants":)" +
                tenants + "}");
    }

    /// Starts all processes.
    /// @return whether every node became ready in time
    bool start() {
        for (auto& each : this->workers) {
            this->start_worker(each);
        }
        for (auto& each : this->nodes) {
            this->start_node(each);
        }
        return this->wait_until_ready();
    }

    /// @return whether every node became ready in time
    bool wait_until_ready() {
        return this->wait_for(milliseconds(15000), [this] {
            return std::all_of(this->nodes.begin(), this->nodes.end(), [](const node& each) {
                return call(each.ready, "GET", "/hornbeamrail/readyz", {}, "", milliseconds(500)).status ==
                       200;
            });
        });
    }

    void start_worker(worker& target) {
        target.process.reset();
        target.process = std::make_unique<child_process>(
            std::vector<std::string>{"target/review-2/worker", target.id, target.machine,
                                     std::to_string(target.port), std::to_string(target.advertised),
                                     std::to_string(this->worker_store->number), this->events_file},
            this->directory + "/worker.log");
        const std::lock_guard lock(this->cloud_mutex);
        this->down.erase(target.machine);
    }

    /// Kills the process of an executor.
    void crash_worker(worker& target) {
        {
            const std::lock_guard lock(this->cloud_mutex);
            this->down.insert(target.machine);
        }
        std::ofstream(this->events_file, std::ios::app)
            << boost::json::serialize(boost::json::object{
                   {"ms", now_ms()}, {"worker", target.id}, {"born", 0}, {"event", "worker_killed"}})
            << std::endl;
        target.process.reset();
    }

    void start_node(node& target) {
        const auto settings = this->directory + "/" + target.name + ".json";
        const auto address = [](int port) {
            return "127.0.0.1:" + std::to_string(port);
        };
        std::ofstream(settings) << boost::json::serialize(boost::json::object{
            {"Node", target.name},
            {"Role", "node"},
            {"Class", "edge"},
            {"Serves", {"edge"}},
            {"Ip", "127.0.0.1"},
            {"Zone", "z"},
            {"Region", "r"},
            {"Zones", {{"z", "r"}}},
            {"Listen", {{"Front", address(target.front)}, {"Ready", address(target.ready)}}},
            {"Bootstrap", true},
            {"Limits", {{"CpuShare", 0.25}, {"Cores", 1}, {"MemoryMb", 260}, {"MaxFds", 4100}}},
            {"HeartbeatMs", store::heartbeat.count()},
            {"Bounds",
             {{"GraceS", 6},
              {"RevokeMs", 5000},
              {"HoldMaxMs", 6000},
              {"StopMs", 200},
              {"GangMs", 3000},
              {"status_s", 120},
              {"MoveS", 1.5},
              {"UpkeepS", 2},
              {"LeaseMs", 3000}}},
            {"Orders", "call"},
            {"platform",
             {{"Address", address(target.store_port->number)},
              {"form", "log"},
              {"parts", 8},
              {"RecordBytes", 262144},
              {"CallBytes", 2097152}}},
            {"Cloud", {{"Address", address(this->cloud_port)}, {"RatePerS", 64}, {"DutyPerS", 64}}}});
        target.process.reset();
        target.process = std::make_unique<child_process>(
            std::vector<std::string>{"target/hornbeamrail", "serve-site"},
            this->directory + "/" + target.name + ".log", "HORNBEAMRAIL_NODE_FILE=" + settings);
    }

    /// Sends a client's call to one node and records it.
    http_response call_node(const node& target, const std::string& method, const std::string& path,
                            const std::string& body = {}) {
        const auto response = call(
            target.front, method, path,
            {{"Host", "shop.example"}, {"X-Api-Key", "key"}, {"X-Deadline-Ms", "3000"}}, body, call_timeout);
        this->note("client_call", {{"node", target.name},
                                   {"call", method + " " + path},
                                   {"status", response.status},
                                   {"answer", response.body.substr(0, 200)}});
        return response;
    }

    /// Submits a job; a client repeats it at the next node until it is accepted.
    bool submit(const std::string& id, const std::string& body) {
        for (int attempt = 0; attempt < 5; ++attempt) {
            const auto& target = this->nodes[static_cast<std::size_t>(attempt) % this->nodes.size()];
            if (this->call_node(target, "POST", "/q/" + id, body).status == 200) {
                return true;
            }
            pause(milliseconds(300));
        }
        return false;
    }

    /// Asks the nodes in turn until one shows that state.
    bool wait_for_state(const std::string& id, const std::string& state, milliseconds timeout) {
        std::size_t turn = 0;
        return this->wait_for(timeout, [&] {
            pause(milliseconds(100));
            const auto& target = this->nodes[turn++ % this->nodes.size()];
            const auto response = call(target.front, "GET", "/q/" + id,
                                       {{"Host", "shop.example"}, {"X-Api-Key", "key"}}, "", call_timeout);
            const bool is_shown = response.body.find("\"" + state + "\"") != std::string::npos;
            if (is_shown) {
                this->note("client_call", {{"node", target.name},
                                           {"call", "GET /q/" + id},
                                           {"status", response.status},
                                           {"answer", response.body}});
            }
            return is_shown;
        });
    }

    template <class Condition>
    static bool wait_for(milliseconds timeout, Condition condition) {
        const auto deadline = now_ms() + timeout.count();
        while (!condition()) {
            if (now_ms() > deadline) {
                return false;
            }
            pause(milliseconds(10));
        }
        return true;
    }

    /// @return what the executors have recorded, in order
    [[nodiscard]] std::vector<boost::json::object> events() const {
        std::vector<boost::json::object> found;
        std::ifstream file(this->events_file);
        for (std::string line; std::getline(file, line);) {
            boost::system::error_code failure;
            auto value = boost::json::parse(line, failure);
            if (!failure && value.is_object()) {
                found.push_back(std::move(value.get_object()));
            }
        }
        return found;
    }

    /// @return the latest event of that kind that @p matches, or an empty object
    template <class Match>
    [[nodiscard]] boost::json::object find_event(const std::string& kind, Match matches) const {
        boost::json::object latest;
        for (auto& event : this->events()) {
            if (event.at("event").as_string() == kind && matches(event)) {
                latest = std::move(event);
            }
        }
        return latest;
    }

    /// @return the executor on which the task was started last; nullptr if none
    worker* worker_of(const std::string& task) {
        const auto event = this->find_event(
            "start", [&](const boost::json::object& each) { return each.at("task").as_string() == task; });
        for (auto& each : this->workers) {
            if (!event.empty() && event.at("worker").as_string() == each.id) {
                return &each;
            }
        }
        return nullptr;
    }

    /// Tells an executor that the work of a task is complete.
    static void finish_task(const worker& target, const std::string& task) {
        call(target.port, "POST", "/standin/finish", {},
             boost::json::serialize(boost::json::object{{"Task", task}}), milliseconds(1000));
    }

    /// @return the node that holds the scheduler's lease by the newest record of the log; nullptr if none
    node* leader() {
        boost::system::error_code failure;
        const auto value =
            boost::json::parse(this->log.newest_value("keyed.hr_leader", "scheduler"), failure);
        for (auto& each : this->nodes) {
            if (!failure && value.as_object().at("node").as_string() == each.name) {
                return &each;
            }
        }
        return nullptr;
    }

    /// Writes the record of the case, in the order of time.
    void write_record(const std::string& path) {
        auto lines = this->events();
        std::erase_if(lines, [](const boost::json::object& line) {
            return std::getenv("REVIEW_LOGS") == nullptr && line.at("event").as_string() == "hold" &&
                   line.at("ended").to_number<int>() == 0;
        });
        {
            const std::lock_guard lock(this->notes_mutex);
            lines.insert(lines.end(), this->notes.begin(), this->notes.end());
        }
        std::stable_sort(lines.begin(), lines.end(), [](const auto& left, const auto& right) {
            return left.at("ms").template to_number<std::int64_t>() <
                   right.at("ms").template to_number<std::int64_t>();
        });
        std::ofstream file(path);
        for (const auto& line : lines) {
            file << boost::json::serialize(line) << "\n";
        }
    }

    /// Copies the logs of the nodes to a folder, for an engineer who looks at a run.
    void keep_logs(const std::string& folder) const {
        std::filesystem::create_directories(folder);
        for (const auto& each : this->nodes) {
            std::filesystem::copy_file(this->directory + "/" + each.name + ".log",
                                       folder + "/" + each.name + ".log",
                                       std::filesystem::copy_options::overwrite_existing);
        }
    }

    store log;
    std::vector<node> nodes;
    std::vector<worker> workers;

private:
    std::optional<http_response> serve_cloud(const http_request& request) {
        if (request.path() != "/hornbeamrail/machines") {
            return http_response{.status = 409, .body = R"({"Reason":"busy"})"};
        }
        const std::lock_guard lock(this->cloud_mutex);
        boost::json::array machines;
        for (const auto& each : this->workers) {
            const bool is_down = this->down.contains(each.machine);
            machines.push_back(
                boost::json::object{{"Machine", each.machine},
                                    {"Pool", "p"},
                                    {"State", is_down ? "down" : "up"},
                                    {"Zone", "z"},
                                    {"Labels", {"a", "r1"}},
                                    {"Capacity", {{"Cpu", 32000}, {"MemMb", 65536}, {"Gpu", 0}}},
                                    {"Id", is_down ? "" : each.id}});
        }
        return http_response{.body = boost::json::serialize(
                                 boost::json::object{{"Machines", std::move(machines)}, {"NextToken", ""}})};
    }

    site_options options;
    std::string directory; ///< temporary, for settings and logs of the processes
    std::string events_file;
    std::shared_ptr<store::port> worker_store;
    int cloud_port = free_port();
    std::unique_ptr<http_server> cloud;
    std::mutex cloud_mutex;     ///< guards `down`
    std::set<std::string> down; ///< machines whose executor does not run
    std::mutex notes_mutex;     ///< guards `notes`
    std::vector<boost::json::object> notes;
};

/// One breach of the rule TWICE.
struct second_start {
    std::string task;
    std::int64_t done_at = 0;         ///< when a run ended as done
    std::int64_t acknowledged_at = 0; ///< when AckCursor reached that end
    std::int64_t started_at = 0;      ///< when the task started again
};

/// @return tasks that started after a run had ended `done`, if AckCursor reached that end and no lease of the
/// executor lapsed between the two
inline std::vector<second_start> find_starts_after_done(const std::vector<boost::json::object>& events) {
    const auto text = [](const boost::json::object& event, const char* name) {
        return std::string(event.at(name).as_string());
    };
    const auto number = [](const boost::json::object& event, const char* name) {
        return event.at(name).to_number<std::int64_t>();
    };
    std::vector<second_start> found;
    for (std::size_t at = 0; at < events.size(); ++at) {
        const auto& end = events[at];
        if (text(end, "event") != "end" || text(end, "how") != "done") {
            continue;
        }
        std::optional<std::int64_t> acknowledged_at;
        bool lapsed = false;
        for (std::size_t later = at + 1; later < events.size(); ++later) {
            const auto& event = events[later];
            const bool same_life =
                text(event, "worker") == text(end, "worker") && number(event, "born") == number(end, "born");
            const auto kind = text(event, "event");
            lapsed = lapsed || (same_life && kind == "end" && text(event, "how") == "lapsed");
            if (same_life && kind == "acknowledged" && !lapsed && !acknowledged_at &&
                number(event, "cursor") >= number(end, "number")) {
                acknowledged_at = number(event, "ms");
            }
        }
        for (const auto& event : events) {
            if (acknowledged_at && text(event, "event") == "start" &&
                text(event, "task") == text(end, "task") && number(event, "ms") > number(end, "ms")) {
                found.push_back({.task = text(end, "task"),
                                 .done_at = number(end, "ms"),
                                 .acknowledged_at = *acknowledged_at,
                                 .started_at = number(event, "ms")});
            }
        }
    }
    return found;
}

/// @return pairs of runs of one task that were active at the same time, as texts
inline std::vector<std::string> find_overlaps(const std::vector<boost::json::object>& events) {
    struct span {
        std::string task;
        std::string worker;
        std::int64_t run = 0;
        std::int64_t born = 0;
        std::int64_t begin = 0;
        std::int64_t end = 0; ///< 0: it runs on
    };
    std::vector<span> spans;
    for (const auto& event : events) {
        const std::string kind(event.at("event").as_string());
        const auto at = event.at("ms").to_number<std::int64_t>();
        const auto born = event.contains("born") ? event.at("born").to_number<std::int64_t>() : 0;
        const std::string worker(event.contains("worker") ? event.at("worker").as_string() : "");
        if (kind == "start") {
            spans.push_back({.task = std::string(event.at("task").as_string()),
                             .worker = worker,
                             .run = event.at("run").to_number<std::int64_t>(),
                             .born = born,
                             .begin = at});
        }
        for (auto& item : spans) {
            const bool ended = kind == "end" && item.task == event.at("task").as_string() &&
                               item.run == event.at("run").to_number<std::int64_t>() && item.born == born;
            // What ran in an earlier life of the executor ended with its process.
            const bool crashed = kind == "worker_killed" && item.born != born;
            if (item.end == 0 && item.worker == worker && (ended || crashed)) {
                item.end = at;
            }
        }
    }
    std::vector<std::string> found;
    for (std::size_t first = 0; first < spans.size(); ++first) {
        for (std::size_t second = first + 1; second < spans.size(); ++second) {
            const auto& one = spans[first];
            const auto& other = spans[second];
            const bool overlap = one.end == 0 || other.begin < one.end;
            if (one.task == other.task && overlap) {
                found.push_back(one.task + ": run " + std::to_string(one.run) + " on " + one.worker +
                                " from " + std::to_string(one.begin) + " to " + std::to_string(one.end) +
                                ", run " + std::to_string(other.run) + " on " + other.worker + " from " +
                                std::to_string(other.begin) + " to " + std::to_string(other.end));
            }
        }
    }
    return found;
}

/// Runs a case on a deployment of its own and ends the process with its verdict.
/// @param folder of the case, for its record
template <class Case>
[[noreturn]] void run_and_exit(const site_options& options, const std::string& folder, Case run) {
    auto result = verdict::not_run;
    auto* deployment = new site(options); // never deleted, see `site::end`
    try {
        result = run(*deployment);
    } catch (const std::exception& failure) {
        deployment->note("case_failed", {{"reason", failure.what()}});
    }
    deployment->write_record(folder + "/record.txt");
    if (const char* logs = std::getenv("REVIEW_LOGS")) {
        deployment->keep_logs(logs);
    }
    deployment->end();
    std::_Exit(static_cast<int>(result));
}

} // namespace review
