#pragma once

// Internal to src/transport: includes Asio.

#include "hornbeamrail/node_settings.hpp"
#include "protocol/json_log.hpp"
#include "transport/io_threads.hpp"
#include "transport/io_types.hpp"
#include "transport/socket_stream.hpp"
#include "transport/tls_settings.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <concepts>
#include <deque>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

namespace hornbeamrail::detail {

/// One request and its response; a call has exclusive use of its connection while it runs.
template <class Call>
concept pooled_call = requires(Call call, socket_stream& stream, boost::beast::flat_buffer& buffer) {
    { call.target } -> std::convertible_to<endpoint>;
    { call.deadline } -> std::convertible_to<std::chrono::steady_clock::time_point>;
    /// Sends the request, reads the response and stores the result; true if the connection can be reused.
    { call.exchange(stream, buffer) } -> std::same_as<io_task<bool>>;
    /// Stores a failure that occurred before any byte was written.
    call.fail_unsent(std::string());
    /// Passes the stored result to the caller.
    call.complete();
};

struct call_pool_options {
    std::size_t max_connections = 64; ///< per endpoint
    std::size_t max_waiting = 1024;   ///< calls per endpoint that wait for a connection
    std::size_t buffer_bytes = 64 * 1024;
    std::chrono::milliseconds idle_timeout{20000};
    /// Interval between deadline checks: one timer per call costs more than checking all calls.
    std::chrono::milliseconds sweep_interval{10};
    std::shared_ptr<tls_settings> tls;
};

/// Pool of keep-alive connections by endpoint. A call has exclusive use of its connection, so responses
/// cannot be mixed up. Thread-safe.
template <pooled_call Call>
class call_pool : public std::enable_shared_from_this<call_pool<Call>> {
public:
    using steady = std::chrono::steady_clock;

    call_pool(io_threads& io, call_pool_options settings)
        : threads(io), context(io.context()), options(std::move(settings)) {}

    /// Starts the periodic sweep that ends calls past their deadline and closes idle connections. Call once
    /// after construction.
    void start() {
        this->threads.at_stop([weak = this->weak_from_this()] {
            if (const auto pool = weak.lock()) {
                pool->close_idle();
            }
        });
        this->threads.repeat(this->options.sweep_interval, [weak = this->weak_from_this()] {
            const auto pool = weak.lock();
            if (pool) {
                pool->sweep();
            }
            return pool != nullptr;
        });
    }

    ~call_pool() { this->close_idle(); }

    /// Runs a call on an idle or a new connection, or queues it. The call fails unsent when the queue is
    /// full.
    void submit(std::shared_ptr<Call> call) {
        std::string refusal;
        std::optional<io_resume> resume;
        std::vector<std::shared_ptr<connection>> stale;
        endpoint_group* group = nullptr;
        {
            const std::lock_guard lock(this->mutex);
            group = &this->groups[call->target];
            if (auto conn = this->take_idle(*group, stale)) {
                conn->deadline = call->deadline;
                conn->since = coarse_now();
                conn->busy = true;
                conn->next = std::exchange(call, nullptr); // null below if it was assigned to a connection
                // `waiter` is empty while the coroutine still completes its last call; it then takes the next
                // one itself.
                if (conn->waiter) {
                    resume.emplace(std::move(*conn->waiter));
                    conn->waiter.reset();
                }
            } else if (group->open < this->options.max_connections) {
                ++group->open;
            } else if (group->waiting.size() < this->options.max_waiting) {
                group->waiting.push_back(std::move(call));
                return;
            } else {
                refusal = "the queue of calls waiting for a connection is full";
            }
        }
        unwind_coroutines(stale);
        if (resume) {
            // On an I/O thread this writes the request immediately, inside this function.
            boost::asio::dispatch(this->context, std::move(*resume));
        } else if (!refusal.empty()) {
            call->fail_unsent(std::move(refusal));
            complete(*call);
        } else if (call) {
            boost::asio::co_spawn(this->context.get_executor(),
                                  run(this->weak_from_this(), *group, std::move(call)),
                                  boost::asio::detached);
        }
    }

    /// Closes all idle connections.
    void close_idle() {
        std::vector<std::shared_ptr<connection>> removed;
        {
            const std::lock_guard lock(this->mutex);
            for (auto& [target, group] : this->groups) {
                for (auto& conn : group.idle) {
                    remove_idle(group, std::move(conn), removed);
                }
                group.idle.clear();
            }
        }
        unwind_coroutines(removed);
    }

    /// @return connections to @p target that are open or being opened
    [[nodiscard]] std::size_t open_connections(const endpoint& target) const {
        const std::lock_guard lock(this->mutex);
        const auto found = this->groups.find(target);
        return found == this->groups.end() ? 0 : found->second.open;
    }

private:
    struct connection {
        connection(tcp_socket socket, std::shared_ptr<boost::asio::ssl::context> tls,
                   std::size_t buffer_bytes)
            : stream(std::move(socket), std::move(tls)), buffer(buffer_bytes) {}

        socket_stream stream;
        boost::beast::flat_buffer buffer;
        // Guarded by the pool's mutex:
        steady::time_point deadline; ///< of the call, or of the idle connection
        steady::time_point since;    ///< when the call was assigned, or the connection became idle
        bool busy = true;
        bool removed = false;            ///< the pool assigns no further call to it
        bool connecting = true;          ///< shutdown() does not end a connection attempt; cancel() does
        std::shared_ptr<Call> next;      ///< call assigned to an idle connection
        std::optional<io_resume> waiter; ///< coroutine of an idle connection; keeps this object alive
    };

    struct endpoint_group {
        std::size_t open = 0; ///< connections that are open or being opened
        std::vector<std::shared_ptr<connection>> idle;
        std::unordered_set<connection*> all; ///< connections with a socket
        std::deque<std::shared_ptr<Call>> waiting;
    };

    struct endpoint_hash {
        std::size_t operator()(const endpoint& value) const noexcept {
            return std::hash<std::string_view>()(value.address) ^
                   (std::size_t{value.port} * 0x9e3779b97f4a7c15U);
        }
    };

    /// Passes the result to the caller. An exception of the caller's code must not end the connection's
    /// coroutine, which has to give the connection back.
    static void complete(Call& call) {
        try {
            call.complete();
        } catch (const std::exception& failure) {
            write_log(severity::error, "handler_failed", {{"reason", failure.what()}});
        }
    }

    /// Coroutine of one connection: runs calls until the connection fails or is closed. It holds a reference
    /// to the pool only while a call is in progress, so that idle connections do not keep the pool alive.
    static io_task<void> run(std::weak_ptr<call_pool> owner, endpoint_group& group,
                             std::shared_ptr<Call> call) {
        std::shared_ptr<connection> conn;
        while (call) {
            auto pool = owner.lock();
            if (!pool) {
                co_return;
            }
            bool usable = false;
            try {
                if (!conn) {
                    conn = co_await pool->connect(group, *call);
                }
                if (conn) {
                    usable = co_await call->exchange(conn->stream, conn->buffer);
                }
            } catch (const std::exception& failure) {
                call->fail_unsent(failure.what()); // no effect after bytes were written
            }
            const auto finished = std::move(call);
            call = pool->release(group, conn, usable);
            const bool idle = !call && conn;
            complete(*finished);
            if (!idle) {
                continue;
            }
            call = pool->take_next(*conn);
            if (call) {
                continue;
            }
            pool.reset();
            co_await suspend_with([&owner, target = conn.get()](io_resume resume) {
                if (const auto live_pool = owner.lock()) {
                    live_pool->wait_for_next(*target, std::move(resume));
                }
            });
            pool = owner.lock();
            call = pool ? pool->take_next(*conn) : nullptr;
        }
    }

    /// @return the call assigned to an idle connection, or null
    std::shared_ptr<Call> take_next(connection& conn) {
        const std::lock_guard lock(this->mutex);
        return std::move(conn.next);
    }

    /// Stores @p resume until a call is assigned; resumes immediately if one is or the connection was closed.
    void wait_for_next(connection& conn, io_resume resume) {
        {
            const std::lock_guard lock(this->mutex);
            if (!conn.next && !conn.removed) {
                conn.waiter.emplace(std::move(resume));
                return;
            }
        }
        boost::asio::post(this->context, std::move(resume));
    }

    /// @param stale receives idle connections that the peer has closed
    /// @return an idle connection, or null
    std::shared_ptr<connection> take_idle(endpoint_group& group,
                                          std::vector<std::shared_ptr<connection>>& stale) {
        while (!group.idle.empty()) {
            auto candidate = std::move(group.idle.back());
            group.idle.pop_back();
            if (candidate->stream.is_reusable()) {
                return candidate;
            }
            remove_idle(group, std::move(candidate), stale);
        }
        return nullptr;
    }

    /// Returns the connection to the pool after a call.
    /// @param conn the connection; reset when it cannot be reused
    /// @return the next waiting call; null when the connection is now idle or the coroutine is no longer
    /// needed
    std::shared_ptr<Call> release(endpoint_group& group, std::shared_ptr<connection>& conn, bool usable) {
        std::shared_ptr<connection> removed; // closed after the lock is released
        std::shared_ptr<Call> next;
        const std::lock_guard lock(this->mutex);
        if (!usable && conn) {
            group.all.erase(conn.get());
            removed = std::move(conn);
            conn = nullptr;
        }
        if (!group.waiting.empty()) {
            next = std::move(group.waiting.front());
            group.waiting.pop_front();
            if (conn) {
                conn->deadline = next->deadline;
                conn->since = coarse_now();
            }
            return next;
        }
        if (conn) {
            conn->since = coarse_now();
            conn->deadline = conn->since + this->options.idle_timeout;
            conn->busy = false;
            group.idle.push_back(conn);
        } else {
            --group.open;
        }
        return nullptr;
    }

    io_task<std::shared_ptr<connection>> connect(endpoint_group& group, Call& call) {
        boost::system::error_code failure;
        const auto address = boost::asio::ip::make_address(call.target.address, failure);
        if (failure) {
            call.fail_unsent("invalid address " + call.target.address);
            co_return nullptr;
        }
        const boost::asio::ip::tcp::endpoint remote(address, call.target.port);
        tcp_socket socket(this->context);
        socket.open(remote.protocol(), failure);
        if (failure) {
            call.fail_unsent("cannot open a socket: " + failure.message());
            co_return nullptr;
        }
        auto new_connection = std::make_shared<connection>(
            std::move(socket), this->options.tls ? this->options.tls->context() : nullptr,
            this->options.buffer_bytes);
        new_connection->deadline = call.deadline;
        new_connection->since = coarse_now();
        {
            const std::lock_guard lock(this->mutex);
            group.all.insert(new_connection.get());
        }
        co_await new_connection->stream.socket.async_connect(remote, task_with(failure));
        {
            const std::lock_guard lock(this->mutex);
            new_connection->connecting = false; // after this the sweep does not access the socket object
        }
        if (!failure) {
            new_connection->stream.socket.set_option(boost::asio::ip::tcp::no_delay(true), failure);
        }
        if (!failure && new_connection->stream.uses_tls()) {
            co_await new_connection->stream.handshake(boost::asio::ssl::stream_base::client, failure);
        }
        if (failure) {
            call.fail_unsent("cannot connect to " + to_string(call.target) + ": " + failure.message());
            const std::lock_guard lock(this->mutex);
            group.all.erase(new_connection.get());
            co_return nullptr;
        }
        co_return new_connection;
    }

    /// Removes an idle connection from its group; the pool's mutex must be held. Its coroutine may
    /// not be suspended yet.
    /// @param removed receives the connection
    static void remove_idle(endpoint_group& group, std::shared_ptr<connection> conn,
                            std::vector<std::shared_ptr<connection>>& removed) {
        --group.open;
        group.all.erase(conn.get());
        conn->removed = true;
        removed.push_back(std::move(conn));
    }

    /// Destroys the suspended coroutines of removed connections. Must be called without the pool's mutex.
    static void unwind_coroutines(const std::vector<std::shared_ptr<connection>>& removed) {
        for (const auto& conn : removed) {
            conn->waiter.reset();
        }
    }

    /// Ends the calls of a group that are past their deadline; the pool's mutex must be held.
    /// @return when the latest call among them was sent that has no response. Connections that have been idle
    /// since before may have fallen silent like that of the call, and would cost one call each.
    static std::optional<steady::time_point> end_overdue_calls(endpoint_group& group,
                                                               steady::time_point now) {
        std::optional<steady::time_point> silent_since;
        for (auto* conn : group.all) {
            if (!conn->busy || conn->deadline > now) {
                continue;
            }
            if (conn->connecting) {
                boost::system::error_code ignored;
                conn->stream.socket.cancel(ignored);
            } else {
                conn->stream.abort(); // its coroutine reads the end of the stream
                silent_since = std::max(silent_since.value_or(conn->since), conn->since);
            }
        }
        return silent_since;
    }

    /// Ends calls and idle connections that are past their deadline, and idle connections that may be silent.
    void sweep() {
        std::vector<std::shared_ptr<Call>> expired;
        std::vector<std::shared_ptr<connection>> removed;
        {
            const std::lock_guard lock(this->mutex);
            const auto now = coarse_now();
            for (auto& [target, group] : this->groups) {
                const auto silent_since = end_overdue_calls(group, now);
                const auto is_stale = [&](const connection& idle) {
                    return idle.deadline <= now || (silent_since && idle.since <= *silent_since);
                };
                while (!group.idle.empty() && is_stale(*group.idle.front())) {
                    remove_idle(group, std::move(group.idle.front()), removed);
                    group.idle.erase(group.idle.begin());
                }
                for (auto at = group.waiting.begin(); at != group.waiting.end();) {
                    if ((*at)->deadline <= now) {
                        expired.push_back(std::move(*at));
                        at = group.waiting.erase(at);
                    } else {
                        ++at;
                    }
                }
            }
        }
        unwind_coroutines(removed);
        for (const auto& call : expired) {
            call->fail_unsent("the deadline passed while the call was waiting for a connection");
            complete(*call);
        }
    }

    io_threads& threads;
    boost::asio::io_context& context;
    call_pool_options options;
    mutable std::mutex mutex; ///< guards `groups`; leaf lock
    /// Groups are never removed, so references to them stay valid for the lifetime of the pool.
    std::unordered_map<endpoint, endpoint_group, endpoint_hash> groups;
};

} // namespace hornbeamrail::detail
