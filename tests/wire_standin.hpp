#pragma once

// A fake platform on loopback for nodes that run in separate processes: serves the platform's HTTP calls from
// the fake log, workers and VMs.

#include "fakes/fake_site.hpp"
#include "platform/documents.hpp"
#include "transport/http_server.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <fmt/format.h>
#include <openssl/evp.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <functional>
#include <iterator>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <stdexcept>

namespace hornbeamrail::test {

/// How the log answers.
enum class log_condition {
    up,
    refusing, ///< answers 503; nothing is done
    silent,   ///< does nothing and does not answer
};

/// Fault of the worker on a VM.
enum class worker_fault {
    none,
    refuses_starts, ///< answers 503 to start orders
    fails_runs,     ///< every task fails shortly after its start
    loses_answers,  ///< carries out orders and holds and does not answer
    late,           ///< carries them out seconds later and does not answer
    down,           ///< its connections are closed
};

/// @return name of the fault in reports of a soak
constexpr std::string_view to_string(worker_fault fault) noexcept {
    constexpr std::array<std::string_view, 6> names{
        "none",   "refuses starts", "fails all runs", "loses its answers", "carries out orders late",
        "is down"};
    return names[static_cast<std::size_t>(fault)];
}

/// Fake platform that answers over HTTP. Thread-safe.
class wire_standin : public std::enable_shared_from_this<wire_standin> {
public:
    /// Resources that every task uses on a worker.
    static constexpr resources task_need{.cpu_millicores = 1000, .memory_mb = 100};

    static std::shared_ptr<wire_standin> make(io_threads& threads) {
        std::shared_ptr<wire_standin> standin(new wire_standin(threads));
        error failure;
        auto server = value_or_error(
            [&] {
                return http_server::make(
                    threads, {.address = {.address = "127.0.0.1"}},
                    [weak = standin->weak_from_this()](http_request request, http_reply reply) {
                        if (const auto self = weak.lock()) {
                            self->handle(std::move(request), std::move(reply));
                        }
                    });
            },
            failure);
        if (!server) {
            throw std::runtime_error(failure.message);
        }
        standin->server = std::move(*server);
        return standin;
    }

    [[nodiscard]] endpoint address() const { return this->server->address(); }

    /// Calls @p function with the log and the site while no request can change them.
    template <class Function>
    auto with_state(Function function) {
        const std::lock_guard lock(this->mutex);
        this->site.advance(boot_clock::now());
        return function(this->log, this->site);
    }

    /// Appends the operators' configuration to the log.
    void write_config(std::string text) { this->write(log_topic::operators, "config", std::move(text)); }

    /// Appends a record of another writer to the log.
    /// @param value empty: the key is deleted
    void write(log_topic topic, std::string key, std::string value) {
        const std::lock_guard lock(this->mutex);
        this->log.append({.topic = topic, .records = {{.key = std::move(key), .value = std::move(value)}}});
    }

    /// Limits the pages of newest records.
    void set_page_size(std::size_t records) {
        const std::lock_guard lock(this->mutex);
        this->page_size = records;
    }

    /// @return the record with which a worker at @p address registers itself
    static keyed_record registration_of(const worker_entry& worker, const endpoint& address) {
        return {
            .key = worker.id,
            .value = boost::json::serialize(boost::json::object{
                {"Service", worker.pool},
                {"Address", to_string(address)},
                {"Zone", worker.zone},
                {"State", worker.draining ? "draining" : "ready"},
                {"Capacity", {{"Cpu", worker.capacity.cpu_millicores}, {"MemMb", worker.capacity.memory_mb}}},
                {"Labels", boost::json::array(worker.labels.begin(), worker.labels.end())},
                {"born", worker.instance_started_ms}})};
    }

    /// Sets how the log answers from now on, to calls that wait as well.
    void set_log(log_condition condition) {
        const std::lock_guard lock(this->mutex);
        this->log_now = condition;
    }

    /// Lets the entries of workers reach the log or not. Entries lapse after a while without.
    void set_heartbeats(bool reach_the_log) {
        const std::lock_guard lock(this->mutex);
        this->heartbeats_reach_log = reach_the_log;
    }

    /// Sets the fault of the worker on a VM, which outlives the worker.
    void set_worker_fault(const std::string& vm, worker_fault fault) {
        const std::lock_guard lock(this->mutex);
        this->worker_faults[vm] = fault;
    }

    [[nodiscard]] worker_fault fault_of_vm(const std::string& vm) {
        const std::lock_guard lock(this->mutex);
        const auto found = this->worker_faults.find(vm);
        return found == this->worker_faults.end() ? worker_fault::none : found->second;
    }

    /// Starts publishing the list of workers, all at @p worker_address. Changes are written within 50 ms, and
    /// each entry again by heartbeat.
    void publish_workers(endpoint worker_address) {
        constexpr std::chrono::milliseconds interval{50};
        this->threads.repeat(interval, [weak = this->weak_from_this(), worker_address] {
            const auto self = weak.lock();
            if (self) {
                const std::lock_guard lock(self->mutex);
                self->refresh_workers(worker_address);
            }
            return self != nullptr;
        });
    }

private:
    /// Sends a response, or closes the connection without one.
    using responder = std::function<void(std::optional<http_response>)>;

    /// Interval at which a worker writes its entry.
    static constexpr std::chrono::milliseconds heartbeat{1500};
    /// Time without a heartbeat after which an entry lapses.
    static constexpr std::chrono::milliseconds entry_lifetime = 3 * heartbeat;
    /// Delay of orders to a worker that is late.
    static constexpr std::chrono::milliseconds late_order_time{2500};
    /// Time for which a connection stays open without the answer.
    static constexpr std::chrono::milliseconds silence{10000};
    /// Run time of the tasks on a worker that fails all runs.
    static constexpr std::chrono::milliseconds time_to_failure{100};

    /// Entry of a worker as written to the log.
    struct published_entry {
        std::string value;
        boot_time written{};
        boot_time next_heartbeat{};
        bool lapsed = false;
    };

    explicit wire_standin(io_threads& workers) : threads(workers) {}

    static http_response answer(int status, const boost::json::object& body) {
        http_response response{.status = status, .body = boost::json::serialize(body)};
        response.headers.add("Content-Type", "application/json");
        return response;
    }

    static std::string query_value(const std::string& target, const std::string& name) {
        const auto at = target.find_first_of("?");
        auto rest = at == std::string::npos ? std::string() : "&" + target.substr(at + 1);
        const auto found = rest.find("&" + name + "=");
        if (found == std::string::npos) {
            return {};
        }
        rest = rest.substr(found + name.size() + 2);
        return decode_percent(rest.substr(0, rest.find_first_of("&#")));
    }

    static std::string decode_percent(std::string_view text) {
        std::string decoded;
        while (!text.empty()) {
            unsigned value = 0;
            const bool is_encoded =
                text.front() == '%' && text.size() >= 3 &&
                std::from_chars(text.data() + 1, text.data() + 3, value, 16).ptr == text.data() + 3;
            decoded.push_back(is_encoded ? static_cast<char>(value) : text.front());
            text.remove_prefix(is_encoded ? 3 : 1);
        }
        return decoded;
    }

    static std::int64_t query_number(const std::string& target, const std::string& name) {
        const auto text = query_value(target, name);
        std::int64_t value = 0;
        std::from_chars(text.data(), text.data() + text.size(), value);
        return value;
    }

    static log_topic topic_of(const std::string& target) {
        constexpr std::array<std::string_view, 7> names{
            "keyed.op",      "keyed.servers",     "keyed.status",   "keyed.hr_leader",
            "keyed.hr_jobs", "keyed.hr_progress", "keyed.hr_states"};
        const auto found = std::find(names.begin(), names.end(), query_value(target, "Topic"));
        return static_cast<log_topic>(found - names.begin());
    }

    static void put_big_endian(std::string& to, std::uint64_t value, int bytes) {
        for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8) {
            to.push_back(static_cast<char>(value >> static_cast<unsigned>(shift) & 0xffU));
        }
    }

    static std::vector<keyed_record> decode_records(std::string_view body) {
        std::vector<keyed_record> records;
        while (body.size() > 4) {
            std::size_t length = 0;
            for (const char byte : body.substr(0, 4)) {
                length = length << 8U | static_cast<unsigned char>(byte);
            }
            const auto content = body.substr(4, length);
            const std::size_t key_bytes = static_cast<unsigned char>(content.front());
            records.push_back({.key = std::string(content.substr(1, key_bytes)),
                               .value = std::string(content.substr(1 + key_bytes))});
            body.remove_prefix(4 + length);
        }
        return records;
    }

    void handle(http_request request, http_reply reply) {
        const auto path = request.target.substr(0, request.target.find('?'));
        if (path.starts_with("/hornbeamrail/log-")) {
            this->handle_log_call(path, request, reply);
        } else if (path.starts_with("/hornbeamrail/machine")) {
            reply.send(this->answer_now(path, request));
        } else {
            this->handle_worker_call(path, request, reply);
        }
    }

    void handle_log_call(const std::string& path, const http_request& request, const http_reply& reply) {
        if (path == "/hornbeamrail/log-read") {
            const auto deadline =
                boot_clock::now() + std::chrono::milliseconds(query_number(request.target, "WaitMs"));
            this->read(request.target, deadline, reply);
        } else if (!this->handles_log_fault(reply)) {
            reply.send(this->answer_now(path, request));
        }
    }

    void handle_worker_call(const std::string& path, const http_request& request, const http_reply& reply) {
        const auto fault =
            this->fault_of_worker(std::string(request.headers.value_or("X-Expect-Instance", "")));
        if (fault == worker_fault::down) {
            reply.abandon();
        } else if (fault == worker_fault::refuses_starts && path == "/hornbeamrail/run-start") {
            reply.send(answer(503, {}));
        } else if (fault == worker_fault::loses_answers) {
            this->leave_unanswered(reply);
            this->carry_out(path, request, [](const std::optional<http_response>&) {});
        } else if (fault == worker_fault::late) {
            this->leave_unanswered(reply);
            this->threads.run_after(late_order_time, [weak = this->weak_from_this(), path, request] {
                if (const auto self = weak.lock()) {
                    self->carry_out(path, request, [](const std::optional<http_response>&) {});
                }
            });
        } else {
            this->carry_out(path, request, [reply](std::optional<http_response> response) {
                if (response) {
                    reply.send(std::move(*response));
                } else {
                    reply.abandon();
                }
            });
        }
    }

    void carry_out(const std::string& path, const http_request& request, const responder& respond) {
        if (path != "/hornbeamrail/hold") {
            respond(this->answer_now(path, request));
            return;
        }
        const auto body = boost::json::parse(request.body).as_object();
        const auto* wait = body.if_contains("WaitMs");
        const auto deadline = boot_clock::now() + std::chrono::milliseconds(
                                                      wait == nullptr ? 0 : wait->to_number<std::int64_t>());
        this->hold(std::string(request.headers.value_or("X-Expect-Instance", "")), body, deadline, respond);
    }

    /// Keeps the connection open, as after a loss that no side notices.
    void leave_unanswered(const http_reply& reply) {
        this->threads.run_after(silence, [reply] { reply.abandon(); });
    }

    /// @return whether the log is away, so that the call was refused or stays unanswered
    bool handles_log_fault(const http_reply& reply) {
        log_condition condition = log_condition::up;
        {
            const std::lock_guard lock(this->mutex);
            condition = this->log_now;
        }
        if (condition == log_condition::refusing) {
            reply.send(answer(503, {}));
        } else if (condition == log_condition::silent) {
            this->leave_unanswered(reply);
        }
        return condition != log_condition::up;
    }

    worker_fault fault_of_worker(const std::string& worker) {
        const std::lock_guard lock(this->mutex);
        return this->find_fault(worker);
    }

    /// @return fault of the worker; the caller holds the lock
    [[nodiscard]] worker_fault find_fault(const std::string& worker) const {
        for (const auto& vm : this->site.vms()) {
            const auto found = this->worker_faults.find(vm.id);
            if (vm.worker == worker && found != this->worker_faults.end()) {
                return found->second;
            }
        }
        return worker_fault::none;
    }

    http_response answer_now(const std::string& path, const http_request& request) {
        const std::lock_guard lock(this->mutex);
        if (path == "/hornbeamrail/log-append") {
            return this->append(request);
        }
        if (path == "/hornbeamrail/log-newest") {
            return this->newest(request.target);
        }
        if (path == "/hornbeamrail/machines") {
            return this->list_vms();
        }
        if (path == "/hornbeamrail/machine-move" || path == "/hornbeamrail/machine-upkeep") {
            return this->order_vm(path, request);
        }
        return this->order_worker(path, request);
    }

    http_response append(const http_request& request) {
        append_call call{.topic = topic_of(request.target),
                         .partition = static_cast<std::int32_t>(query_number(request.target, "part")),
                         .records = decode_records(request.body)};
        if (!query_value(request.target, "At").empty()) {
            call.expected_end = query_number(request.target, "At");
        }
        if (const auto producer = query_value(request.target, "Producer"); !producer.empty()) {
            call.producer = append_producer{.name = producer,
                                            .epoch = query_number(request.target, "epoch"),
                                            .sequence = query_number(request.target, "Seq")};
        }
        const auto append_result = this->log.append(call);
        switch (append_result.outcome) {
        case append_outcome::appended:
            return answer(200,
                          {{"Offset", append_result.end - static_cast<std::int64_t>(call.records.size())},
                           {"End", append_result.end}});
        case append_outcome::wrong_end:
            return answer(412, {{"End", append_result.end}});
        case append_outcome::fenced:
            return answer(409, {{"Reason", "fenced"}});
        case append_outcome::wrong_sequence:
            return answer(409, {{"Reason", "seq"}, {"Seq", append_result.expected_sequence}});
        default:
            return answer(503, {});
        }
    }

    void read(const std::string& target, boot_time deadline, http_reply reply) {
        constexpr std::chrono::milliseconds poll_interval{5};
        if (this->handles_log_fault(reply)) {
            return;
        }
        http_response response;
        {
            const std::lock_guard lock(this->mutex);
            const auto found =
                this->log.read({.topic = topic_of(target),
                                .partition = static_cast<std::int32_t>(query_number(target, "part")),
                                .from = query_number(target, "From")});
            if (found.outcome == read_outcome_kind::records && found.records.empty() &&
                boot_clock::now() < deadline) {
                this->threads.run_after(poll_interval,
                                        [weak = this->weak_from_this(), target, deadline, reply] {
                                            if (const auto self = weak.lock()) {
                                                self->read(target, deadline, reply);
                                            }
                                        });
                return;
            }
            if (found.outcome == read_outcome_kind::expired) {
                response = answer(410, {{"First", found.end}});
            } else {
                put_big_endian(response.body, static_cast<std::uint64_t>(found.end), 8);
                put_big_endian(response.body, 0, 8);
                for (const auto& record : found.records) {
                    put_big_endian(response.body, 1 + record.key.size() + record.value.size(), 4);
                    put_big_endian(response.body, record.key.size(), 1);
                    response.body += record.key + record.value;
                }
            }
        }
        reply.send(std::move(response));
    }

    http_response newest(const std::string& target) {
        const auto found =
            this->log.newest({.topic = topic_of(target),
                              .partition = static_cast<std::int32_t>(query_number(target, "part")),
                              .after_key = query_value(target, "After")});
        boost::json::array items;
        for (const auto& record : found.records) {
            if (items.size() == this->page_size) {
                break;
            }
            std::string value((record.value.size() + 2) / 3 * 4 + 1, '\0');
            const int length = EVP_EncodeBlock(reinterpret_cast<unsigned char*>(value.data()),
                                               reinterpret_cast<const unsigned char*>(record.value.data()),
                                               static_cast<int>(record.value.size()));
            value.resize(static_cast<std::size_t>(length));
            items.push_back(
                boost::json::object{{"Key", record.key}, {"Value", value}, {"Offset", record.offset}});
        }
        const bool has_more = items.size() < found.records.size();
        return answer(200, {{"items", std::move(items)}, {"HasMore", has_more}, {"End", found.end}});
    }

    http_response order_worker(const std::string& path, const http_request& request) {
        const auto body = boost::json::parse(request.body).as_object();
        const worker_target worker{.id = std::string(request.headers.value_or("X-Expect-Instance", ""))};
        const auto task = platform::decode_task(std::string(body.at("Task").as_string()));
        const auto run = body.at("Run").to_number<std::int64_t>();
        const auto fence = body.at("Fence").to_number<std::int64_t>();
        const auto now = boot_clock::now();
        order_answer order_result;
        if (path == "/hornbeamrail/run-start") {
            const std::chrono::milliseconds lease_until(body.at("UntilMs").to_number<std::int64_t>());
            order_result = this->site.start(
                worker, {.task = *task, .run = run, .lease_until = lease_until, .fence = fence}, task_need,
                now);
        } else {
            order_result = this->site.stop(worker, {.task = *task, .run = run, .fence = fence}, now);
        }
        return encode_order(order_result);
    }

    static http_response encode_order(const order_answer& order_result) {
        boost::json::object body{
            {"ClockMs", order_result.worker_clock.value_or(std::chrono::milliseconds(0)).count()}};
        switch (order_result.outcome) {
        case order_outcome::done:
            return answer(200, body);
        case order_outcome::fenced:
            body["Reason"] = "fence";
            return answer(409, body);
        case order_outcome::stale_run:
            body["Reason"] = "old";
            return answer(409, body);
        case order_outcome::late:
            body["Reason"] = "late";
            return answer(409, body);
        case order_outcome::no_room:
            body["Reason"] = "room";
            return answer(409, body);
        default:
            return answer(421, body);
        }
    }

    void hold(const std::string& worker, const boost::json::object& body, boot_time deadline,
              const responder& respond) {
        constexpr std::chrono::milliseconds poll_interval{5};
        std::optional<http_response> response;
        {
            const std::lock_guard lock(this->mutex);
            const auto now = boot_clock::now();
            this->site.advance(now);
            const bool is_down = this->find_fault(worker) == worker_fault::down;
            if (!is_down && now < deadline && !this->site.has_end(worker)) {
                this->threads.run_after(poll_interval,
                                        [weak = this->weak_from_this(), worker, body, deadline, respond] {
                                            if (const auto self = weak.lock()) {
                                                self->hold(worker, body, deadline, respond);
                                            }
                                        });
                return;
            }
            if (!is_down) {
                response = this->hold_now(worker, body, now);
            }
        }
        respond(std::move(response));
    }

    http_response hold_now(const std::string& worker, const boost::json::object& body, boot_time now) {
        hold_order order{.fence = body.at("Fence").to_number<std::int64_t>(),
                         .acknowledged_end = body.at("AckCursor").to_number<std::int64_t>()};
        if (const auto* lease = body.if_contains("UntilMs")) {
            order.lease_until = std::chrono::milliseconds(lease->to_number<std::int64_t>());
        }
        return encode_report(this->site.hold({.id = worker}, order, now));
    }

    static http_response encode_report(const hold_report& report) {
        if (report.outcome != order_outcome::done) {
            return encode_order({.outcome = report.outcome, .worker_clock = report.worker_clock});
        }
        boost::json::array running;
        for (const auto& task : report.running) {
            running.push_back(
                boost::json::array{platform::encode_task(task.task), task.run, "", task.percent, 0});
        }
        boost::json::array ended;
        for (const auto& task : report.ended) {
            ended.push_back(boost::json::array{task.number, platform::encode_task(task.task), task.run,
                                               to_string(task.outcome), ""});
        }
        return answer(200, {{"ClockMs", report.worker_clock.value_or(std::chrono::milliseconds(0)).count()},
                            {"born", report.instance_started_ms},
                            {"Running", std::move(running)},
                            {"Ended", std::move(ended)}});
    }

    http_response list_vms() {
        constexpr std::array<std::string_view, 4> states{"up", "moving", "upkeep", "down"};
        this->site.advance(boot_clock::now());
        boost::json::array vms;
        for (const auto& vm : this->site.vms()) {
            vms.push_back(boost::json::object{
                {"Machine", vm.id},
                {"Pool", vm.pool},
                {"State", states[static_cast<std::size_t>(vm.condition)]},
                {"Zone", vm.zone},
                {"Labels", boost::json::array(vm.labels.begin(), vm.labels.end())},
                {"Capacity", {{"Cpu", vm.capacity.cpu_millicores}, {"MemMb", vm.capacity.memory_mb}}},
                {"Id", vm.worker}});
        }
        return answer(200, {{"Machines", std::move(vms)}, {"NextToken", ""}});
    }

    http_response order_vm(const std::string& path, const http_request& request) {
        const auto body = boost::json::parse(request.body).as_object();
        vm_order order{.vm = std::string(body.at("Machine").as_string())};
        const auto now = boot_clock::now();
        vm_order_outcome vm_outcome;
        if (path == "/hornbeamrail/machine-move") {
            order.pool = std::string(body.at("Pool").as_string());
            vm_outcome = this->site.move(order, now);
        } else {
            order.wave = body.at("Wave").to_number<std::int64_t>();
            vm_outcome = this->site.maintain(order, now);
        }
        return vm_outcome == vm_order_outcome::done ? answer(200, {}) : answer(409, {{"Reason", "busy"}});
    }

    void refresh_workers(const endpoint& worker_address) {
        const auto now = boot_clock::now();
        this->site.advance(now);
        this->fail_runs(now);
        std::set<std::string> running;
        for (const auto& worker : this->site.workers()) {
            running.insert(worker.id);
            if (this->find_fault(worker.id) != worker_fault::down) {
                this->publish(worker.id, registration_of(worker, worker_address).value, now);
            }
        }
        for (auto at = this->published.begin(); at != this->published.end();) {
            auto& [id, entry] = *at;
            const bool has_left = this->heartbeats_reach_log && !running.contains(id);
            if (!entry.lapsed && (has_left || now - entry.written >= entry_lifetime)) {
                entry.lapsed = true;
                this->log.append({.topic = log_topic::workers, .records = {{.key = id}}});
            }
            at = has_left ? this->published.erase(at) : std::next(at);
        }
    }

    /// Writes the entry of a worker when it has changed and by heartbeat, if it reaches the log.
    void publish(const std::string& id, const std::string& value, boot_time now) {
        auto& entry = this->published[id];
        const bool beats = now >= entry.next_heartbeat;
        if (beats) {
            entry.next_heartbeat = now + heartbeat;
        }
        if (!this->heartbeats_reach_log || (!beats && entry.value == value)) {
            return;
        }
        entry.value = value;
        entry.written = now;
        entry.lapsed = false;
        this->log.append({.topic = log_topic::workers, .records = {{.key = id, .value = value}}});
    }

    void fail_runs(boot_time now) {
        for (const auto& vm : this->site.vms()) {
            const auto found = this->worker_faults.find(vm.id);
            if (found != this->worker_faults.end() && found->second == worker_fault::fails_runs) {
                this->site.fail_runs(
                    vm.worker, [now](const auto& run) { return now - run.started_at >= time_to_failure; },
                    now);
            }
        }
    }

    io_threads& threads;
    std::mutex mutex; ///< guards all members below except the server
    fake_keyed_log log;
    fake_site site{{}};
    std::size_t page_size = 500;                       ///< of newest records
    std::map<std::string, published_entry> published;  ///< by worker id
    std::map<std::string, worker_fault> worker_faults; ///< by VM id
    log_condition log_now = log_condition::up;
    bool heartbeats_reach_log = true;
    std::unique_ptr<http_server> server;
};

} // namespace hornbeamrail::test
