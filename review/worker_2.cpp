// Stand-in of one executor, as PROTOCOL.md describes it: fences, leases, runs, ends and their
// acknowledgement. A process is one life of the executor; it knows nothing of an earlier one.
// Arguments: ID MACHINE PORT ADVERTISED_PORT STORE_PORT EVENTS_FILE

#include "wire_2.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <fcntl.h>

#include <condition_variable>
#include <mutex>
#include <vector>

namespace review {
namespace {

constexpr std::int64_t longest_lease_ms = 6000;
constexpr std::int64_t heartbeat_ms = 1500;
constexpr std::size_t max_ends_listed = 500;

class worker {
public:
    worker(std::string name, int store, const std::string& events)
        : id(std::move(name)), store_port(store), started_at(now_ms()),
          born(std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch())
                   .count()),
          record(::open(events.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644)) {}

    /// @param advertised port in the executor's entry: its own, or that of a proxy before it
    void run(int port, int advertised, const std::string& machine) {
        const http_server server(port, [this](const http_request& request) { return this->serve(request); });
        this->write_event("up", {{"machine", machine}});
        std::thread([this] { this->end_tasks(); }).detach();
        for (std::int64_t sequence = 1;; ++sequence) {
            this->send_entry(advertised, sequence);
            pause(milliseconds(heartbeat_ms));
        }
    }

private:
    struct active_run {
        std::int64_t run = 0;
        std::int64_t ends_at = 0; ///< 0: when it is told to end
    };
    struct ended_run {
        std::int64_t number = 0;
        std::string task;
        std::int64_t run = 0;
        std::string how;
    };

    [[nodiscard]] std::int64_t clock() const { return now_ms() - this->started_at + 1; }

    void write_event(const std::string& event, boost::json::object fields) const {
        boost::json::object line{
            {"ms", now_ms()}, {"worker", this->id}, {"born", this->born}, {"event", event}};
        for (auto& field : fields) {
            line[field.key()] = field.value();
        }
        const auto text = boost::json::serialize(line) + "\n";
        if (::write(this->record, text.data(), text.size()) < 0) {
            std::abort(); // a case without its record is worth nothing
        }
    }

    void send_entry(int port, std::int64_t sequence) const {
        const auto value = boost::json::serialize(
            boost::json::object{{"Service", "p"},
                                {"Address", "127.0.0.1:" + std::to_string(port)},
                                {"Zone", "z"},
                                {"Version", "1"},
                                {"Slots", 8},
                                {"State", "ready"},
                                {"ColdLeftMs", 0},
                                {"Seq", sequence},
                                {"Capacity", {{"Cpu", 32000}, {"MemMb", 65536}, {"Gpu", 0}}},
                                {"Labels", {"a", "r1"}},
                                {"born", this->born}});
        const auto length = 1 + this->id.size() + value.size();
        std::string body;
        for (const unsigned shift : {24U, 16U, 8U, 0U}) {
            body.push_back(static_cast<char>(length >> shift & 255U));
        }
        body.push_back(static_cast<char>(this->id.size()));
        body += this->id + value;
        call(this->store_port, "POST", "/hornbeamrail/log-append?Topic=keyed.servers&part=0", {}, body,
             milliseconds(1000));
    }

    http_response answer(int status, boost::json::object body = {}) const {
        body["ClockMs"] = this->clock();
        return {.status = status, .body = boost::json::serialize(body)};
    }

    http_response refuse(const char* reason) const { return this->answer(409, {{"Reason", reason}}); }

    std::optional<http_response> serve(const http_request& request) {
        const auto body = boost::json::parse(request.body).as_object();
        std::unique_lock lock(this->mutex);
        if (request.path() == "/standin/finish") {
            this->finish(std::string(body.at("Task").as_string()), "done");
            return http_response{};
        }
        if (request.header("x-expect-instance") != this->id) {
            return this->answer(421);
        }
        const auto fence = body.contains("Fence") ? body.at("Fence").to_number<std::int64_t>() : 0;
        if (fence < this->highest_fence) {
            this->write_event("fenced", {{"path", request.path()}, {"fence", fence}});
            return this->refuse("fence");
        }
        this->highest_fence = fence;
        if (request.path() == "/hornbeamrail/hold") {
            return this->hold(body, lock);
        }
        const std::string task(body.at("Task").as_string());
        const auto run = body.at("Run").to_number<std::int64_t>();
        if (request.path() == "/hornbeamrail/run-start") {
            return this->start(task, run, body);
        }
        const auto found = this->running.find(task);
        this->closed[task] = std::max(this->closed[task], run);
        if (found != this->running.end() && found->second.run == run) {
            this->finish(task, "stopped");
        }
        return this->answer(200);
    }

    void extend_lease(const boost::json::object& body) {
        if (const auto* until = body.if_contains("UntilMs")) {
            this->lease_end = std::max(this->lease_end, std::min(until->to_number<std::int64_t>(),
                                                                 this->clock() + longest_lease_ms));
        }
    }

    http_response start(const std::string& task, std::int64_t run, const boost::json::object& body) {
        if (body.at("UntilMs").to_number<std::int64_t>() <= this->clock()) {
            return this->refuse("late");
        }
        this->extend_lease(body);
        const auto found = this->running.find(task);
        if (found != this->running.end() && found->second.run == run) {
            return this->answer(200);
        }
        if (found != this->running.end() || run <= this->closed[task]) {
            return this->refuse("old");
        }
        // The text of the job says how long each task takes, in milliseconds, by step and index.
        const auto plan = boost::json::parse(body.at("Spec").as_string()).as_object();
        const auto* duration = plan.if_contains(task.substr(task.find('.', task.find('.') + 1) + 1));
        const auto takes = duration == nullptr ? 100 : duration->to_number<std::int64_t>();
        this->running[task] = {.run = run, .ends_at = takes == 0 ? 0 : now_ms() + takes};
        this->write_event("start", {{"task", task}, {"run", run}, {"fence", this->highest_fence}});
        return this->answer(200);
    }

    void finish(const std::string& task, const char* how) {
        const auto found = this->running.find(task);
        if (found == this->running.end()) {
            return;
        }
        const ended_run end{.number = ++this->ends, .task = task, .run = found->second.run, .how = how};
        this->write_event("end", {{"task", task}, {"run", end.run}, {"how", how}, {"number", end.number}});
        this->closed[task] = std::max(this->closed[task], end.run);
        this->running.erase(found);
        this->ended.push_back(end);
        this->changed.notify_all();
    }

    http_response hold(const boost::json::object& body, std::unique_lock<std::mutex>& lock) {
        this->extend_lease(body);
        const auto cursor = body.at("AckCursor").to_number<std::int64_t>();
        if (cursor > this->acknowledged) {
            this->acknowledged = cursor;
            this->write_event("acknowledged", {{"cursor", cursor}});
        }
        std::erase_if(this->ended, [cursor](const ended_run& end) { return end.number <= cursor; });
        const auto* wait = body.if_contains("WaitMs");
        if (wait != nullptr) {
            const auto fence = this->highest_fence;
            this->changed.wait_for(lock, milliseconds(wait->to_number<std::int64_t>()),
                                   [&] { return !this->ended.empty() || this->highest_fence > fence; });
        }
        boost::json::array rows;
        for (const auto& [task, active] : this->running) {
            rows.push_back(boost::json::array{task, active.run, "", 100, 0});
        }
        boost::json::array ends_listed;
        for (const auto& end : this->ended) {
            if (ends_listed.size() < max_ends_listed) {
                ends_listed.push_back(boost::json::array{end.number, end.task, end.run, end.how, ""});
            }
        }
        const bool has_waited = wait != nullptr;
        this->write_event("hold", {{"cursor", cursor},
                                   {"lease", this->lease_end - this->clock()},
                                   {"lease_named", body.contains("UntilMs")},
                                   {"waited", has_waited},
                                   {"running", rows.size()},
                                   {"ended", ends_listed.size()}});
        return this->answer(
            200, {{"born", this->born}, {"Running", std::move(rows)}, {"Ended", std::move(ends_listed)}});
    }

    /// Ends the runs that are complete, and all of them when the lease has run out.
    void end_tasks() {
        while (true) {
            pause(milliseconds(5));
            const std::lock_guard lock(this->mutex);
            const bool lapsed = this->clock() > this->lease_end;
            std::vector<std::string> due;
            for (const auto& [task, active] : this->running) {
                if (lapsed || (active.ends_at != 0 && now_ms() >= active.ends_at)) {
                    due.push_back(task);
                }
            }
            for (const auto& task : due) {
                this->finish(task, lapsed ? "lapsed" : "done");
            }
        }
    }

    std::string id;
    int store_port = 0;
    std::int64_t started_at = 0;
    std::int64_t born = 0;
    int record = -1;
    std::mutex mutex; ///< guards all members below
    std::condition_variable changed;
    std::int64_t highest_fence = 0;
    std::int64_t lease_end = 0; ///< on the executor's clock
    std::map<std::string, active_run> running;
    std::map<std::string, std::int64_t> closed; ///< highest run that was stopped or has ended
    std::vector<ended_run> ended;               ///< not acknowledged yet
    std::int64_t ends = 0;
    std::int64_t acknowledged = 0;
};

} // namespace
} // namespace review

int main(int argc, char** argv) {
    if (argc != 7) {
        return 2;
    }
    review::worker executor(argv[1], std::atoi(argv[5]), argv[6]);
    executor.run(std::atoi(argv[3]), std::atoi(argv[4]), argv[2]);
}
