#include "node/entry_node.hpp"

#include "node/admin_api.hpp"
#include "node/node_runtime.hpp"
#include "node/request_api.hpp"
#include "node/task_api.hpp"
#include "protocol/digest.hpp"
#include "protocol/json_log.hpp"
#include "state/published.hpp"
#include "transport/peer_server.hpp"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <condition_variable>
#include <random>

namespace hornbeamrail {

namespace json = boost::json;

namespace {

json::object to_json(const http_server_counters& counters) {
    return {{"accepted", counters.accepted},
            {"requests", counters.requests},
            {"bad_request", counters.bad_request},
            {"wrong_method", counters.wrong_method},
            {"slow_sender", counters.slow_sender},
            {"body_too_large", counters.body_too_large},
            {"head_too_large", counters.head_too_large},
            {"over_capacity", counters.over_capacity},
            {"handshake_failed", counters.handshake_failed},
            {"write_failed", counters.write_failed},
            {"open_connections", counters.open_connections},
            {"active_requests", counters.active_requests}};
}

json::object to_json(const peer_server_counters& counters) {
    return {{"accepted", counters.accepted},
            {"requests", counters.requests},
            {"malformed", counters.malformed},
            {"handshake_failed", counters.handshake_failed},
            {"over_capacity", counters.over_capacity}};
}

http_response json_body(const json::object& body) {
    http_response response;
    response.headers.add("Content-Type", "application/json");
    response.body = json::serialize(body);
    return response;
}

} // namespace

struct entry_node::impl : std::enable_shared_from_this<entry_node::impl> {
    explicit impl(entry_node_options node_options)
        : options(std::move(node_options)),
          threads(static_cast<int>(options.settings.worker_threads), "node_worker") {}

    ~impl() { this->threads.stop(); }
    impl(const impl&) = delete;
    impl& operator=(const impl&) = delete;

    result<void> start() {
        BOOST_LEAF_CHECK(this->load_identities());
        // The peer address is bound first, which proves to the fleet that an earlier process of this node has
        // ended.
        const std::weak_ptr<impl> weak = this->weak_from_this();
        BOOST_LEAF_ASSIGN(this->peers, peer_server::make(this->threads,
                                                         {.address = this->options.settings.peer_address,
                                                          .tls = this->peer_server_identity},
                                                         [weak](const wire::PeerRequest& request) {
                                                             const auto self = weak.lock();
                                                             const auto node =
                                                                 self ? self->runtime.load() : nullptr;
                                                             return node ? node->answer_peer(request)
                                                                         : wire::PeerResponse();
                                                         }));
        this->make_runtime();
        this->admin_documents = std::make_unique<admin_api>(*this->runtime.load());
        this->admin_documents->transport_counters = [this] {
            return json::value{{"cpu_time_us", this->threads.cpu_time().count()},
                               {"caller", to_json(this->callers->counters())},
                               {"admin", to_json(this->admin->counters())},
                               {"peer", to_json(this->peers->counters())}};
        };
        BOOST_LEAF_ASSIGN(this->admin,
                          http_server::make(this->threads,
                                            {.address = this->options.settings.admin_address,
                                             .max_body_bytes = 2 * max_fleet_config_bytes},
                                            [weak](const http_request& request, const http_reply& reply) {
                                                if (const auto self = weak.lock()) {
                                                    self->admin_documents->handle(request, reply);
                                                }
                                            }));
        BOOST_LEAF_ASSIGN(
            this->callers,
            http_server::make(
                this->threads,
                {.address = this->options.settings.caller_address,
                 .max_body_bytes = static_cast<std::uint64_t>(this->options.settings.max_body_bytes),
                 .tls = this->caller_identity,
                 .decorate_error =
                     [weak](http_response& response) {
                         if (const auto self = weak.lock()) {
                             self->runtime.load()->add_common_headers(response, "");
                         }
                     }},
                [weak](http_request request, const http_reply& reply) {
                    if (const auto self = weak.lock()) {
                        self->handle_caller(std::move(request), reply);
                    }
                }));
        this->runtime.load()->start();
        return {};
    }

    result<void> load_identities() {
        const auto& settings = this->options.settings;
        if (settings.caller_tls) {
            BOOST_LEAF_ASSIGN(this->caller_identity,
                              tls_settings::make(*settings.caller_tls, tls_role::server));
        }
        if (settings.peer_tls) {
            BOOST_LEAF_ASSIGN(this->peer_server_identity,
                              tls_settings::make(*settings.peer_tls, tls_role::mutual_server));
            BOOST_LEAF_ASSIGN(this->peer_client_identity,
                              tls_settings::make(*settings.peer_tls, tls_role::mutual_client));
        }
        return {};
    }

    void make_runtime() {
        const auto& settings = this->options.settings;
        const auto seed = this->options.seed != 0
                              ? this->options.seed
                              : (std::uint64_t{std::random_device()()} << 32U) | std::random_device()();
        this->runtime.store(
            std::make_shared<node_runtime>(this->threads,
                                           core_options{.node_id = settings.node_id,
                                                        .peer_address = this->peers->address(),
                                                        .zone = settings.zone,
                                                        .region = settings.region,
                                                        .peer_seeds = settings.peer_seeds,
                                                        .seed = seed,
                                                        .peer_address_bound = true,
                                                        .timings = this->options.timings},
                                           dispatcher_options{.zone = settings.zone, .seed = seed + 1},
                                           settings.platform, this->peer_client_identity));
    }

    void handle_caller(http_request request, const http_reply& reply) {
        const auto node = this->runtime.load();
        const auto path = parse_caller_route(request.target);
        if (path.route == caller_route::service_request && request.method == "POST") {
            this->submit(*node, path.name, std::move(request), reply);
            return;
        }
        if (this->handle_task(node, path, request, reply)) {
            return;
        }
        auto response = this->answer_directly(*node, path, request.method);
        node->add_common_headers(response, std::string(request.headers.value_or("Request-Id", "")));
        reply.send(std::move(response));
    }

    /// @return whether the request belongs to the task API
    bool handle_task(const std::shared_ptr<node_runtime>& node, const parsed_route& path,
                     const http_request& request, const http_reply& reply) {
        task_api tasks(this->threads, node);
        if (path.route == caller_route::tasks && request.method == "POST") {
            tasks.submit(request, reply);
        } else if (path.route == caller_route::task && request.method == "GET") {
            tasks.show(path.name, request, reply);
        } else if (path.route == caller_route::task && request.method == "DELETE") {
            tasks.cancel(path.name, request, reply);
        } else {
            return false;
        }
        return true;
    }

    http_response answer_directly(const node_runtime& node, const parsed_route& path,
                                  std::string_view method) const {
        const bool is_get = method == "GET";
        if (path.route == caller_route::epoch && is_get) {
            return json_body({{"epoch", node.epoch()}});
        }
        if (path.route == caller_route::health && is_get) {
            return this->health(node);
        }
        if (path.route != caller_route::unknown) {
            return make_error_response(405, "wrong_method", "the path does not support this method",
                                       "use POST for requests and GET for documents", "not_run");
        }
        return make_error_response(404, "unknown_path", "the path does not exist",
                                   "use a path of the request interface", "not_run");
    }

    http_response health(const node_runtime& node) const {
        if (node.stopping()) {
            return make_error_response(503, "stopping", "the node is stopping", "use another node",
                                       "not_run");
        }
        if (!node.is_serving()) {
            return make_error_response(503, "not_fresh", "the node has no fresh view of the fleet",
                                       "use another node", "not_run");
        }
        return json_body({{"healthy", true}});
    }

    void submit(node_runtime& node, std::string_view service, http_request request, const http_reply& reply) {
        const auto fallback_id =
            request.headers.find("Request-Id") != nullptr
                ? std::string()
                : this->options.settings.node_id + "-" +
                      std::to_string(this->next_request.fetch_add(1, std::memory_order_relaxed));
        auto parsed = read_incoming_request(service, request, fallback_id);
        if (const auto* rejection = std::get_if<refusal>(&parsed)) {
            auto response = to_response(*rejection);
            node.add_common_headers(response, std::string(request.headers.value_or("Request-Id", "")));
            reply.send(std::move(response));
            return;
        }
        node.submit(std::get<incoming_request>(parsed), std::move(request.body), reply);
    }

    // The graceful stop runs in steps on a timer.

    void begin_stop() {
        if (this->stop_begun.exchange(true)) {
            return;
        }
        write_log(severity::info, "stop_begun");
        this->runtime.load()->begin_stop();
        this->callers->begin_stop(this->options.stop_idle_grace);
        this->threads.repeat(std::chrono::milliseconds(20), [weak = this->weak_from_this()] {
            const auto self = weak.lock();
            return self && !self->stop_step();
        });
    }

    /// @return whether the stop is complete
    bool stop_step() {
        const auto node = this->runtime.load();
        if (!this->leaving) {
            const bool work_done = node->read(
                [](const node_core&, const dispatcher& dispatch, boot_time) { return dispatch.idle(); });
            if (!work_done || !this->callers->wait_stopped(std::chrono::milliseconds(0))) {
                return false;
            }
            this->leaving = true;
            this->leave_deadline = boot_clock::now() + this->options.leave_timeout;
            node->begin_leave();
        }
        const bool left_fleet =
            node->read([](const node_core& core, const dispatcher&, boot_time) { return core.is_stopped(); });
        if (!left_fleet && boot_clock::now() < this->leave_deadline) {
            return false;
        }
        write_log(severity::info, "stopped", {{"left_fleet", left_fleet}});
        this->peers->stop();
        this->admin->begin_stop(std::chrono::milliseconds(0));
        const std::lock_guard lock(this->stop_mutex);
        this->stop_done = true;
        this->stop_ended.notify_all();
        return true;
    }

    entry_node_options options;
    io_threads threads;
    std::shared_ptr<tls_settings> caller_identity;
    std::shared_ptr<tls_settings> peer_server_identity;
    std::shared_ptr<tls_settings> peer_client_identity;
    std::unique_ptr<peer_server> peers;
    published<node_runtime> runtime; ///< null until the peer address is bound
    std::unique_ptr<admin_api> admin_documents;
    std::unique_ptr<http_server> admin;
    std::unique_ptr<http_server> callers;
    std::atomic<std::uint64_t> next_request{1};
    std::atomic<bool> stop_begun{false};
    bool leaving = false; ///< used by `stop_step` only
    boot_time leave_deadline{};
    std::mutex stop_mutex; ///< guards `stop_done`; leaf lock
    std::condition_variable stop_ended;
    bool stop_done = false;
};

result<std::unique_ptr<entry_node>> entry_node::make(entry_node_options options) {
    auto state = std::make_shared<impl>(std::move(options));
    BOOST_LEAF_CHECK(state->start());
    return std::unique_ptr<entry_node>(new entry_node(std::move(state)));
}

entry_node::~entry_node() {
    // Worker threads briefly hold references to the state. They are stopped here, so that no worker drops the
    // last reference and destroys the state on its own thread.
    this->self->threads.stop();
}

endpoint entry_node::caller_address() const {
    return this->self->callers->address();
}

endpoint entry_node::admin_address() const {
    return this->self->admin->address();
}

endpoint entry_node::peer_address() const {
    return this->self->peers->address();
}

bool entry_node::healthy() const {
    const auto node = this->self->runtime.load();
    return node->is_serving() && !node->stopping();
}

void entry_node::begin_stop() {
    this->self->begin_stop();
}

bool entry_node::wait_stopped(std::chrono::milliseconds timeout) {
    std::unique_lock lock(this->self->stop_mutex);
    return this->self->stop_ended.wait_for(lock, timeout, [&] { return this->self->stop_done; });
}

result<void> entry_node::reload_certificates() {
    for (const auto& identity :
         {this->self->caller_identity, this->self->peer_server_identity, this->self->peer_client_identity}) {
        if (identity) {
            BOOST_LEAF_CHECK(identity->reload());
        }
    }
    return {};
}

std::chrono::microseconds entry_node::cpu_time() const {
    return this->self->threads.cpu_time();
}

json::value entry_node::status() const {
    return this->self->admin_documents->status();
}

json::value entry_node::dump() const {
    return this->self->admin_documents->dump();
}

json::value entry_node::metrics() const {
    return this->self->admin_documents->metrics();
}

} // namespace hornbeamrail
