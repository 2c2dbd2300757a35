// Compares throughput and added latency of an entry node with a minimal Beast forwarder: same callers, same
// executors, same run. The forwarder has no policy, no timeouts and no limits. Throughput is measured per
// core-second of the threads of the node or the forwarder, which excludes the callers and executors in the
// same process. Usage: forwarder_bench [--rounds N] [--seconds S] [--connections C]

#include "fakes/platform_server.hpp"
#include "node/entry_node.hpp"
#include "protocol/platform_json.hpp"
#include "transport/http_client_pool.hpp"
#include "transport/io_threads.hpp"
#include "transport/io_types.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <fmt/format.h>
#include <gflags/gflags.h>

#include <algorithm>
#include <atomic>
#include <mutex>
#include <numeric>
#include <thread>

DEFINE_int32(rounds, 5, "number of rounds; each measures the forwarder and the node once");
DEFINE_double(seconds, 2, "duration of one measurement in seconds");
DEFINE_int32(connections, 32, "number of concurrent calls under load");
DEFINE_int32(body_bytes, 200, "size of the body of each request in bytes");
DEFINE_string(only, "", "\"node\" or \"forwarder\": measure one of them, for profiling");

using namespace hornbeamrail;
using namespace std::chrono_literals;
using steady = std::chrono::steady_clock;
namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

constexpr std::string_view key = "bench-key";
constexpr std::int64_t executors = 12;

fleet_config bench_fleet() {
    return {.site = "bench",
            .zones = {{.name = "a", .region = "r"}},
            .pools = {{.name = "p", .vms = executors}, {.name = "spare", .vms = 1, .spare = true}},
            .services = {{.name = "s", .pool = "p"}},
            .teams = {{.name = "t", .share = 100, .upper_limit = 8 * executors, .services = {"s"}}}};
}

/// An executor with the lease token that the forwarder sends to it.
struct upstream {
    endpoint address;
    std::string token;
};

/// Forwards requests to executors. Opens one executor connection per caller connection.
class bare_forwarder {
public:
    bare_forwarder(io_threads& workers, std::vector<upstream> targets)
        : context(workers.context()), upstreams(std::move(targets)),
          acceptor(context, {asio::ip::make_address("127.0.0.1"), 0}) {
        asio::co_spawn(this->context.get_executor(), this->accept(), asio::detached);
    }

    [[nodiscard]] endpoint address() const { return {"127.0.0.1", this->acceptor.local_endpoint().port()}; }

private:
    io_task<void> accept() {
        for (std::size_t number = 0;; ++number) {
            tcp_socket caller(this->context);
            co_await this->acceptor.async_accept(caller, use_task);
            caller.set_option(asio::ip::tcp::no_delay(true));
            asio::co_spawn(this->context.get_executor(),
                           this->forward(std::move(caller), this->upstreams[number % this->upstreams.size()]),
                           asio::detached);
        }
    }

    io_task<void> forward(tcp_socket caller, upstream target) {
        tcp_socket executor(this->context);
        boost::beast::flat_buffer from_caller;
        boost::beast::flat_buffer from_executor;
        boost::system::error_code failure;
        co_await executor.async_connect({asio::ip::make_address(target.address.address), target.address.port},
                                        use_task);
        executor.set_option(asio::ip::tcp::no_delay(true));
        while (true) {
            http::request<http::string_body> request;
            co_await http::async_read(caller, from_caller, request, task_with(failure));
            if (failure) {
                co_return;
            }
            request.target("/run");
            request.set("Lease-Token", target.token);
            request.set("Deadline-Ms", "10000");
            co_await http::async_write(executor, request, task_with(failure));
            http::response<http::string_body> response;
            co_await http::async_read(executor, from_executor, response, task_with(failure));
            if (failure) {
                co_return;
            }
            co_await http::async_write(caller, response, task_with(failure));
        }
    }

    asio::io_context& context;
    std::vector<upstream> upstreams;
    tcp_acceptor acceptor;
};

struct measurement {
    double per_core_second = 0;
    double per_second = 0;
    std::chrono::microseconds p50{0};
    std::chrono::microseconds p99{0};
    std::int64_t failed = 0;
};

/// Keeps a constant number of calls to one address in progress.
class load : public std::enable_shared_from_this<load> {
public:
    load(http_client_pool& clients, endpoint address) : pool(clients), target(std::move(address)) {}

    void start_call() {
        const auto begin = steady::now();
        http_call call{.target = this->target,
                       .request = {.method = "POST",
                                   .target = "/v1/services/s/requests",
                                   .headers = {},
                                   .body = std::string(static_cast<std::size_t>(FLAGS_body_bytes), 'x')},
                       .timeout = 10s,
                       .correlation_id = {}};
        call.request.headers.add("Authorization", "Bearer " + std::string(key));
        call.request.headers.add("Content-Type", "application/octet-stream");
        this->pool.call(std::move(call),
                        [self = this->shared_from_this(), begin](const http_call_result& result) {
                            self->finish(begin, result);
                        });
    }

    void finish(steady::time_point begin, const http_call_result& result) {
        {
            const std::lock_guard lock(this->mutex);
            const bool succeeded = result.status == call_status::answered && result.response.status == 200;
            this->failures += succeeded ? 0 : 1;
            if (!succeeded && this->first_failure.empty()) {
                this->first_failure = result.failure + result.response.body;
            }
            this->latencies.push_back(
                std::chrono::duration_cast<std::chrono::microseconds>(steady::now() - begin));
        }
        if (!this->stopping) {
            this->start_call();
        } else {
            --this->running;
        }
    }

    http_client_pool& pool;
    endpoint target;
    std::atomic<bool> stopping{false};
    std::atomic<int> running{0};
    std::mutex mutex;
    std::vector<std::chrono::microseconds> latencies;
    std::int64_t failures = 0;
    std::string first_failure;
};

template <class CpuTime>
measurement measure(http_client_pool& clients, const endpoint& target, int connections, CpuTime&& cpu_time) {
    const auto calls = std::make_shared<load>(clients, target);
    calls->running = connections;
    for (int number = 0; number < connections; ++number) {
        calls->start_call();
    }
    std::this_thread::sleep_for(200ms); // warm-up: opens the connections and fills the caches
    std::size_t before = 0;
    {
        const std::lock_guard lock(calls->mutex);
        calls->latencies.clear();
        before = calls->latencies.size();
    }
    const auto cpu_before = cpu_time();
    const auto begin = steady::now();
    std::this_thread::sleep_for(std::chrono::duration<double>(FLAGS_seconds));
    const auto cpu = cpu_time() - cpu_before;
    const std::chrono::duration<double> length = steady::now() - begin;
    std::vector<std::chrono::microseconds> latencies;
    {
        const std::lock_guard lock(calls->mutex);
        latencies = calls->latencies;
    }
    calls->stopping = true;
    while (calls->running > 0) {
        std::this_thread::sleep_for(1ms);
    }
    if (calls->failures > 0) {
        fmt::print(stderr, "first failure: {}\n", calls->first_failure);
    }
    std::sort(latencies.begin(), latencies.end());
    const auto count = static_cast<double>(latencies.size() - before);
    return {.per_core_second = count / std::chrono::duration<double>(cpu).count(),
            .per_second = count / length.count(),
            .p50 = latencies[latencies.size() / 2],
            .p99 = latencies[latencies.size() * 99 / 100],
            .failed = calls->failures};
}

void print(std::string_view name, int round, int connections, const measurement& value) {
    fmt::print("{{\"measured\":\"{}\",\"round\":{},\"connections\":{},\"requests_per_core_second\":{:.0f},"
               "\"requests_per_second\":{:.0f},\"p50_us\":{},\"p99_us\":{},\"failed\":{}}}\n",
               name, round, connections, value.per_core_second, value.per_second, value.p50.count(),
               value.p99.count(), value.failed);
    std::fflush(stdout);
}

double median(std::vector<double> values) {
    std::sort(values.begin(), values.end());
    return values[values.size() / 2];
}

/// Acquires one lease per executor for the forwarder. The leases last longer than the run.
std::vector<upstream> lease_all(http_client_pool& clients, const vm_list& list) {
    std::vector<upstream> upstreams;
    std::atomic<int> pending{0};
    std::mutex mutex;
    for (const auto& entry : list.vms) {
        if (entry.vm.pool != "p") {
            continue;
        }
        ++pending;
        http_call call{.target = entry.vm.address,
                       .request = {.method = "POST",
                                   .target = "/lease",
                                   .headers = {},
                                   .body = R"({"holder":"forwarder","incarnation":1})"},
                       .timeout = 5s,
                       .correlation_id = {}};
        clients.call(std::move(call), [&, address = entry.vm.address](const http_call_result& result) {
            const std::lock_guard lock(mutex);
            if (const auto lease = decode_lease(result.response.body)) {
                upstreams.push_back({address, lease->token});
            }
            --pending;
        });
    }
    while (pending > 0) {
        std::this_thread::sleep_for(1ms);
    }
    return upstreams;
}

result<int> run() {
    io_threads platform_threads(3);
    io_threads caller_threads(3);
    io_threads forwarder_threads(2);
    BOOST_LEAF_AUTO(
        platform,
        platform_server::make(platform_threads, {.fleet = std::make_shared<const fleet_config>(bench_fleet()),
                                                 .run_time = 0us,
                                                 .executor = {.slots = 64, .lease_ttl = 1h}}));
    platform->publish_fleet(bench_fleet(), std::string(key));
    http_client_pool clients(caller_threads, {.max_connections = 1024});
    vm_list list;
    platform->with_vm_list([&](fake_vm_list& vms) {
        list = vms.truth();
        vms.set_reboot_hook({}); // a reboot for maintenance would drop the leases of the forwarder
    });
    bare_forwarder forwarder(forwarder_threads, lease_all(clients, list));
    BOOST_LEAF_AUTO(node, entry_node::make({.settings = {.node_id = "bench",
                                                         .zone = "a",
                                                         .region = "r",
                                                         .caller_address = {"127.0.0.1", 0},
                                                         .peer_address = {"127.0.0.1", 0},
                                                         .admin_address = {"127.0.0.1", 0},
                                                         .platform = platform->address(),
                                                         .worker_threads = 2}}));
    while (!node->healthy()) {
        std::this_thread::sleep_for(10ms);
    }
    std::this_thread::sleep_for(2s); // time for the node to receive grants and leases

    const auto forwarder_cpu = [&] {
        return forwarder_threads.cpu_time();
    };
    const auto node_cpu = [&] {
        return node->cpu_time();
    };
    std::int64_t failed = 0;
    std::vector<double> ratios;
    std::vector<double> added_p50;
    std::vector<double> added_p99;
    for (int round = 1; round <= FLAGS_rounds; ++round) {
        measurement bare;
        measurement own;
        if (FLAGS_only != "node") {
            bare = measure(clients, forwarder.address(), FLAGS_connections, forwarder_cpu);
            print("forwarder", round, FLAGS_connections, bare);
        }
        if (FLAGS_only != "forwarder") {
            own = measure(clients, node->caller_address(), FLAGS_connections, node_cpu);
            print("node", round, FLAGS_connections, own);
        }
        failed += bare.failed + own.failed;
        if (!FLAGS_only.empty()) {
            continue;
        }
        ratios.push_back(own.per_core_second / bare.per_core_second);
        // Latency is measured under light load, because under full load it only reflects the length of the
        // queue.
        const auto bare_light = measure(clients, forwarder.address(), 2, forwarder_cpu);
        const auto own_light = measure(clients, node->caller_address(), 2, node_cpu);
        print("forwarder", round, 2, bare_light);
        print("node", round, 2, own_light);
        failed += bare_light.failed + own_light.failed;
        added_p50.push_back(static_cast<double>((own_light.p50 - bare_light.p50).count()));
        added_p99.push_back(static_cast<double>((own_light.p99 - bare_light.p99).count()));
    }
    int code = 0;
    if (FLAGS_only.empty()) {
        const auto ratio = median(ratios);
        const auto p99 = median(added_p99);
        code = ratio >= 0.8 && p99 < 1000 && failed == 0 ? 0 : 1;
        fmt::print("{{\"summary\":\"median of {} "
                   "rounds\",\"ratio\":{:.3f},\"ratio_target\":0.8,\"added_p50_us\":{:.0f},"
                   "\"added_p99_us\":{:.0f},\"added_p99_target_us\":1000,\"failed\":{},\"met\":{}}}\n",
                   FLAGS_rounds, ratio, median(added_p50), p99, failed, code == 0);
    }
    node.reset();
    caller_threads.stop();
    forwarder_threads.stop();
    platform_threads.stop();
    return code;
}

} // namespace

int main(int argc, char** argv) {
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    error failure;
    const auto code = value_or_error([] { return run(); }, failure);
    if (!code) {
        fmt::print(stderr, "{}\n", failure.message);
        return 2;
    }
    return *code;
}
