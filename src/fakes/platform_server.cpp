#include "fakes/platform_server.hpp"

#include "fakes/executor_server.hpp"
#include "protocol/digest.hpp"
#include "protocol/json_reader.hpp"
#include "protocol/platform_json.hpp"
#include "transport/http_server.hpp"

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <fmt/format.h>

#include <charconv>
#include <list>
#include <map>
#include <mutex>

namespace hornbeamrail {

namespace json = boost::json;

namespace {

constexpr std::string_view log_prefix = "/log/fleet/";
constexpr std::string_view vm_prefix = "/vms/";

/// @return the number of the query parameter @p name, or @p fallback
std::int64_t query_number(std::string_view target, std::string_view name, std::int64_t fallback) {
    const auto begin = target.find('?');
    auto rest = begin == std::string_view::npos ? std::string_view() : target.substr(begin + 1);
    while (!rest.empty()) {
        const auto end = rest.find('&');
        const auto part = rest.substr(0, end);
        if (part.starts_with(name) && part.size() > name.size() && part[name.size()] == '=') {
            std::int64_t value = fallback;
            const auto digits = part.substr(name.size() + 1);
            std::from_chars(digits.data(), digits.data() + digits.size(), value);
            return value;
        }
        rest = end == std::string_view::npos ? std::string_view() : rest.substr(end + 1);
    }
    return fallback;
}

http_response make_not_found_response() {
    return make_error_response(404, "not_found", "no such path", "see the platform interface", "not_run");
}

http_response make_bad_request_response() {
    return make_error_response(400, "bad_request", "the body is not of the expected form",
                               "see the platform interface", "not_run");
}

http_response make_json_response(std::string body) {
    http_response response;
    response.headers.add("Content-Type", "application/json");
    response.body = std::move(body);
    return response;
}

} // namespace

struct platform_server::impl : std::enable_shared_from_this<platform_server::impl> {
    /// A long-polling read of the log that waits for records.
    struct pending_read {
        log_offset from = 0;
        std::size_t max_records = 0;
        boot_time until{};
        http_reply reply;
    };

    impl(io_threads& workers, platform_server_options settings)
        : threads(workers), options(std::move(settings)), log(this->options.seed),
          list(this->options.vm_list) {}

    result<void> start() {
        const std::weak_ptr<impl> weak = this->weak_from_this();
        BOOST_LEAF_AUTO(started,
                        http_server::make(this->threads,
                                          {.address = this->options.address, .max_body_bytes = 16 << 20},
                                          [weak](http_request request, const http_reply& reply) {
                                              if (const auto owner = weak.lock()) {
                                                  owner->handle(request, reply);
                                              }
                                          }));
        this->server = std::move(started);
        BOOST_LEAF_CHECK(this->add_vms());
        this->threads.repeat(std::chrono::milliseconds(20), [weak] {
            const auto owner = weak.lock();
            if (owner) {
                owner->answer_due_reads();
                owner->propagate_leaving();
            }
            return owner != nullptr;
        });
        return {};
    }

    result<void> add_vms() {
        // Backdated by the lag of the list, so that the VMs are visible at once.
        const auto now = boot_clock::now() - this->options.vm_list.lag;
        const auto& fleet = *this->options.fleet;
        std::uint64_t seed = this->options.seed;
        std::size_t placed = 0;
        for (const auto& pool : fleet.pools) {
            const auto count =
                this->options.executors_per_pool > 0 ? this->options.executors_per_pool : pool.vms;
            for (std::int64_t index = 0; index < count; ++index, ++placed) {
                const auto& zone = fleet.zones[placed % fleet.zones.size()].name;
                vm_listing listing;
                listing.vm = {.id = fmt::format("{}-{}", pool.name, index + 1),
                              .address = {},
                              .zone = zone,
                              .rack = fmt::format("{}-rack-{}", zone, placed / fleet.zones.size() / 4 + 1),
                              .pool = pool.name,
                              .cores = pool.cores_per_vm,
                              .memory_mb = pool.memory_mb_per_vm,
                              .accelerators = pool.accelerators_per_vm};
                BOOST_LEAF_AUTO(executor,
                                executor_server::make(this->threads,
                                                      {.seed = ++seed,
                                                       .run_time = this->options.run_time,
                                                       .executor = this->options.executor,
                                                       .worker = {.cores = pool.cores_per_vm,
                                                                  .memory_mb = pool.memory_mb_per_vm,
                                                                  .accelerators = pool.accelerators_per_vm},
                                                       .on_run = this->make_run_hook(listing.vm)}));
                listing.vm.address = executor->address();
                this->executors.emplace(listing.vm.id, std::move(executor));
                this->list.add(now, std::move(listing));
            }
        }
        this->list.set_idle_check([this](boot_time at, const std::string& vm) {
            std::int64_t running = 0;
            this->executors.at(vm)->with([&](fake_executor& executor, fake_worker& worker) {
                running = executor.running(at) + worker.running(at);
            });
            return running == 0;
        });
        this->list.set_reboot_hook([this](boot_time, const std::string& vm) {
            this->executors.at(vm)->with([](fake_executor& executor, fake_worker& worker) {
                executor.restart();
                worker.restart();
            });
        });
        return {};
    }

    [[nodiscard]] std::function<void(boot_time, boot_time, const std::string&)>
    make_run_hook(const vm_description& vm) const {
        if (!this->options.on_run) {
            return {};
        }
        return [hook = this->options.on_run, vm](boot_time started, boot_time ends, const std::string& body) {
            hook(vm, started, ends, body);
        };
    }

    void handle(const http_request& request, const http_reply& reply) {
        const std::string_view target = request.target;
        if (target == "/log/fleet/append") {
            this->append(request, reply);
        } else if (target.starts_with("/log/fleet/read")) {
            this->read(target, reply);
        } else if (target == "/vms") {
            this->send_list(reply);
        } else if (target.starts_with(vm_prefix)) {
            this->operate(request, reply);
        } else {
            reply.send(make_not_found_response());
        }
    }

    void append(const http_request& request, const http_reply& reply) {
        const auto records = decode_append(request.body);
        if (!records || records->empty()) {
            reply.send(make_bad_request_response());
            return;
        }
        fake_append_result outcome;
        {
            const std::lock_guard lock(this->mutex);
            outcome = this->log.append(*records);
        }
        if (outcome.first_offset) {
            reply.send(make_json_response(encode_append_answer(*outcome.first_offset)));
        } else {
            reply.abandon();
        }
        this->answer_ready_reads();
    }

    void read(std::string_view target, const http_reply& reply) {
        pending_read pending{.from = query_number(target, "from", 1),
                             .max_records = static_cast<std::size_t>(query_number(target, "max", 1000)),
                             .until = boot_clock::now() +
                                      std::chrono::milliseconds(query_number(target, "wait_ms", 0)),
                             .reply = reply};
        {
            const std::lock_guard lock(this->mutex);
            if (!this->log.faults().down && this->log.head() <= pending.from &&
                pending.until > boot_clock::now()) {
                this->pending_reads.push_back(std::move(pending));
                return;
            }
        }
        this->answer(pending);
    }

    void answer(const pending_read& pending) {
        std::optional<log_read> records;
        {
            const std::lock_guard lock(this->mutex);
            records = this->log.read(pending.from, pending.max_records);
        }
        if (records) {
            pending.reply.send(make_json_response(encode_log_read(*records)));
        } else {
            pending.reply.abandon();
        }
    }

    /// Answers the pending reads for which @p is_due returns true. The caller must not hold the lock.
    template <class Predicate>
    void answer_reads(Predicate&& is_due) {
        std::list<pending_read> ready;
        {
            const std::lock_guard lock(this->mutex);
            for (auto entry = this->pending_reads.begin(); entry != this->pending_reads.end();) {
                const auto next = std::next(entry);
                if (is_due(*entry)) {
                    ready.splice(ready.end(), this->pending_reads, entry);
                }
                entry = next;
            }
        }
        for (const auto& pending : ready) {
            this->answer(pending);
        }
    }

    void answer_ready_reads() {
        this->answer_reads([this](const pending_read& pending) { return this->log.head() > pending.from; });
    }

    void answer_due_reads() {
        const auto now = boot_clock::now();
        this->answer_reads([&](const pending_read& pending) {
            return pending.until <= now || this->log.faults().down || this->log.head() > pending.from;
        });
    }

    void send_list(const http_reply& reply) {
        std::optional<vm_list> visible;
        {
            const std::lock_guard lock(this->mutex);
            visible = this->list.list(boot_clock::now());
        }
        if (visible) {
            reply.send(make_json_response(encode_vm_list(*visible)));
        } else {
            reply.abandon();
        }
    }

    /// `POST /vms/{id}/drain`, `/vms/{id}/reboot`, `GET /vms/{id}/operation`
    void operate(const http_request& request, const http_reply& reply) {
        const auto slash = request.target.rfind('/');
        if (slash < vm_prefix.size()) {
            reply.send(make_not_found_response());
            return;
        }
        const auto vm = request.target.substr(vm_prefix.size(), slash - vm_prefix.size());
        const auto name = request.target.substr(slash + 1);
        const auto now = boot_clock::now();
        std::string operation_id;
        if (name != "operation") {
            std::vector<diagnostic> diagnostics;
            boost::system::error_code failure;
            const auto document = json::parse(request.body, failure);
            object_reader reader(document, "$", diagnostics);
            operation_id = reader.required_string("operation_id");
            const auto pool = reader.optional_string("pool", "");
            if (failure || !diagnostics.empty()) {
                reply.send(make_bad_request_response());
                return;
            }
            const std::lock_guard lock(this->mutex);
            const bool done = name == "drain" ? this->list.drain(now, vm, operation_id)
                                              : this->list.reboot(now, vm, operation_id, pool);
            if (!done) {
                reply.send(make_not_found_response());
                return;
            }
        }
        std::optional<vm_operation_status> status;
        {
            const std::lock_guard lock(this->mutex);
            status = this->list.operation(now, vm);
        }
        if (!status) {
            reply.send(make_not_found_response());
            return;
        }
        reply.send(make_json_response(json::serialize(
            json::object{{"operation_id", status->operation_id}, {"state", to_string(status->state)}})));
    }

    void propagate_leaving() {
        const std::lock_guard lock(this->mutex);
        const auto now = boot_clock::now();
        for (const auto& [vm, executor] : this->executors) {
            executor->set_leaving(this->list.in_operation(now, vm));
        }
    }

    io_threads& threads;
    platform_server_options options;
    std::mutex mutex; ///< guards `log`, `list` and `pending_reads`; acquired before the lock of an executor
    fake_log log;
    fake_vm_list list;
    std::list<pending_read> pending_reads;
    std::map<std::string, std::unique_ptr<executor_server>> executors; ///< not changed after the start
    std::unique_ptr<http_server> server;
};

result<std::unique_ptr<platform_server>> platform_server::make(io_threads& threads,
                                                               platform_server_options options) {
    if (!options.fleet || options.fleet->zones.empty()) {
        return make_error(errc::invalid_argument, "the stand-in needs a fleet configuration with zones",
                          "set `fleet` in the options");
    }
    auto state = std::make_shared<impl>(threads, std::move(options));
    BOOST_LEAF_CHECK(state->start());
    return std::unique_ptr<platform_server>(new platform_server(std::move(state)));
}

platform_server::~platform_server() = default;

endpoint platform_server::address() const {
    return this->self->server->address();
}

void platform_server::publish(std::vector<log_record> records) {
    std::vector<std::string> encoded;
    for (const auto& record : records) {
        encoded.push_back(encode_record(record));
    }
    this->with_log([&](fake_log& log) { log.append(encoded); });
    this->self->answer_ready_reads();
}

void platform_server::publish_fleet(const fleet_config& fleet, const std::string& key,
                                    log_offset expected_version) {
    std::vector<log_record> records;
    records.push_back({.change_id = random_uuid(),
                       .body = config_record{.expected_version = expected_version,
                                             .config = std::make_shared<const fleet_config>(fleet)}});
    if (!key.empty() && !fleet.teams.empty()) {
        records.push_back({.change_id = random_uuid(),
                           .body = key_grant_record{.key_id = "first-key",
                                                    .key_hash = sha256_hex(key),
                                                    .team = fleet.teams.front().name}});
    }
    this->publish(std::move(records));
}

void platform_server::with_log(const std::function<void(fake_log&)>& function) {
    const std::lock_guard lock(this->self->mutex);
    function(this->self->log);
}

void platform_server::with_vm_list(const std::function<void(fake_vm_list&)>& function) {
    const std::lock_guard lock(this->self->mutex);
    function(this->self->list);
}

std::vector<std::string> platform_server::vms() const {
    std::vector<std::string> ids;
    for (const auto& [vm, executor] : this->self->executors) {
        ids.push_back(vm);
    }
    return ids;
}

bool platform_server::with_executor(const std::string& vm,
                                    const std::function<void(fake_executor&)>& function) {
    const auto found = this->self->executors.find(vm);
    if (found == this->self->executors.end()) {
        return false;
    }
    found->second->with([&](fake_executor& executor, fake_worker&) { function(executor); });
    return true;
}

std::int64_t platform_server::runs_started() const {
    std::int64_t sum = 0;
    for (const auto& [vm, executor] : this->self->executors) {
        sum += executor->runs_started();
    }
    return sum;
}

} // namespace hornbeamrail
