#pragma once

// Internal to src/transport: includes Asio.

#include "hornbeamrail/node_settings.hpp"
#include "transport/io_threads.hpp"
#include "transport/io_types.hpp"
#include "transport/socket_stream.hpp"
#include "transport/tls_settings.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/core/flat_buffer.hpp>

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

/// One question and answer on a connection that it has for itself.
template <class Call>
concept pooled_call = requires(Call call, socket_stream& stream, boost::beast::flat_buffer& buffer) {
    { call.target } -> std::convertible_to<endpoint>;
    { call.deadline } -> std::convertible_to<std::chrono::steady_clock::time_point>;
    /// Exchanges the messages and stores the result; true if the connection can be used again.
    { call.exchange(stream, buffer) } -> std::same_as<io_task<bool>>;
    /// Stores a failure before any byte was written.
    call.fail_unsent(std::string());
    /// Gives the stored result to the caller.
    call.complete();
};

struct call_pool_options {
    std::size_t max_connections = 64; ///< per endpoint
    std::size_t max_waiting = 1024;   ///< calls per endpoint that wait for a connection
    std::size_t buffer_bytes = 64 * 1024;
    std::chrono::milliseconds idle_timeout{20000};
    /// Deadlines are checked this often: a timer for each call costs more than the check of all.
    std::chrono::milliseconds sweep_interval{10};
    std::shared_ptr<tls_settings> tls;
};

/// Keep-alive connections by endpoint. A call has a connection for itself, so answers cannot change places.
template <pooled_call Call>
class call_pool : public std::enable_shared_from_this<call_pool<Call>> {
public:
    using steady = std::chrono::steady_clock;

    call_pool(io_threads& workers, call_pool_options settings)
        : threads(workers), context(workers.context()), options(std::move(settings)) {}

    /// Begins the sweep that ends late calls and idle connections. Call once after construction.
    void start() {
        this->threads.at_stop([weak = this->weak_from_this()] {
            if (const auto pool = weak.lock()) {
                pool->drop_idle();
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

    ~call_pool() { this->drop_idle(); }

    void submit(std::shared_ptr<Call> call) {
        std::string refusal;
        std::optional<io_resume> resume;
        std::vector<std::shared_ptr<connection>> stale;
        group* own = nullptr;
        {
            const std::lock_guard lock(this->mutex);
            own = &this->groups[call->target];
            if (auto peer = this->take_idle(*own, stale)) {
                peer->deadline = call->deadline;
                peer->busy = true;
                peer->next = std::exchange(call, nullptr); // null tells below that the call is placed
                // Empty while the coroutine still completes its last call; it then finds the next one itself.
                if (peer->waiter) {
                    resume.emplace(std::move(*peer->waiter));
                    peer->waiter.reset();
                }
            } else if (own->open < this->options.max_connections) {
                ++own->open;
            } else if (own->waiting.size() < this->options.max_waiting) {
                own->waiting.push_back(std::move(call));
                return;
            } else {
                refusal = "too many calls wait for a connection";
            }
        }
        unwind(stale);
        if (resume) {
            // On a worker this writes the call at once, inside this function.
            boost::asio::dispatch(this->context, std::move(*resume));
        } else if (!refusal.empty()) {
            call->fail_unsent(std::move(refusal));
            call->complete();
        } else if (call) {
            boost::asio::co_spawn(this->context.get_executor(),
                                  run(this->weak_from_this(), *own, std::move(call)), boost::asio::detached);
        }
    }

    /// Closes the idle connections.
    void drop_idle() {
        std::vector<std::shared_ptr<connection>> dropped;
        {
            const std::lock_guard lock(this->mutex);
            for (auto& [target, own] : this->groups) {
                for (auto& peer : own.idle) {
                    drop(own, std::move(peer), dropped);
                }
                own.idle.clear();
            }
        }
        unwind(dropped);
    }

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
        bool busy = true;
        bool dropped = false;            ///< the pool will give it no call any more
        bool connecting = true;          ///< a shutdown does not end the attempt, only a cancellation does
        std::shared_ptr<Call> next;      ///< call that an idle connection was given
        std::optional<io_resume> waiter; ///< coroutine of an idle connection; owns a reference to this object
    };

    struct group {
        std::size_t open = 0; ///< connections that exist or are being made
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

    /// The coroutine of one connection: carries calls until the connection fails or is dropped. It holds the
    /// pool only while a call is in progress, so that idle connections do not keep the pool alive.
    static io_task<void> run(std::weak_ptr<call_pool> owner, group& own, std::shared_ptr<Call> call) {
        std::shared_ptr<connection> peer;
        while (call) {
            auto pool = owner.lock();
            if (!pool) {
                co_return;
            }
            bool usable = false;
            try {
                if (!peer) {
                    peer = co_await pool->connect(own, *call);
                }
                if (peer) {
                    usable = co_await call->exchange(peer->stream, peer->buffer);
                }
            } catch (const std::exception& failure) {
                call->fail_unsent(failure.what()); // without effect once bytes were written
            }
            const auto finished = std::move(call);
            call = pool->release(own, peer, usable);
            const bool idle = !call && peer;
            finished->complete();
            if (!idle) {
                continue;
            }
            call = pool->take_next(*peer);
            if (call) {
                continue;
            }
            pool.reset();
            co_await suspend_with([&owner, target = peer.get()](io_resume resume) {
                if (const auto still = owner.lock()) {
                    still->wait_for_next(*target, std::move(resume));
                }
            });
            pool = owner.lock();
            call = pool ? pool->take_next(*peer) : nullptr;
        }
    }

    /// @return the call that an idle connection was given, if any
    std::shared_ptr<Call> take_next(connection& peer) {
        const std::lock_guard lock(this->mutex);
        return std::move(peer.next);
    }

    void wait_for_next(connection& peer, io_resume resume) {
        {
            const std::lock_guard lock(this->mutex);
            if (!peer.next && !peer.dropped) {
                peer.waiter.emplace(std::move(resume));
                return;
            }
        }
        boost::asio::post(this->context, std::move(resume));
    }

    /// @param stale receives idle connections that the other side has closed
    /// @return an idle connection, or null
    std::shared_ptr<connection> take_idle(group& own, std::vector<std::shared_ptr<connection>>& stale) {
        while (!own.idle.empty()) {
            auto candidate = std::move(own.idle.back());
            own.idle.pop_back();
            if (candidate->stream.is_quiet()) {
                return candidate;
            }
            drop(own, std::move(candidate), stale);
        }
        return nullptr;
    }

    /// Takes back the connection after a call.
    /// @param peer the connection; reset when it cannot be used again
    /// @return the next call that waits; null when the connection is idle now or the coroutine not needed
    std::shared_ptr<Call> release(group& own, std::shared_ptr<connection>& peer, bool usable) {
        std::shared_ptr<connection> dropped; // closed after the lock is released
        std::shared_ptr<Call> next;
        const std::lock_guard lock(this->mutex);
        if (!usable && peer) {
            own.all.erase(peer.get());
            dropped = std::move(peer);
            peer = nullptr;
        }
        if (!own.waiting.empty()) {
            next = std::move(own.waiting.front());
            own.waiting.pop_front();
            if (peer) {
                peer->deadline = next->deadline;
            }
            return next;
        }
        if (peer) {
            peer->deadline = coarse_now() + this->options.idle_timeout;
            peer->busy = false;
            own.idle.push_back(peer);
        } else {
            --own.open;
        }
        return nullptr;
    }

    io_task<std::shared_ptr<connection>> connect(group& own, Call& call) {
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
        auto made = std::make_shared<connection>(std::move(socket),
                                                 this->options.tls ? this->options.tls->context() : nullptr,
                                                 this->options.buffer_bytes);
        made->deadline = call.deadline;
        {
            const std::lock_guard lock(this->mutex);
            own.all.insert(made.get());
        }
        co_await made->stream.socket.async_connect(remote, task_with(failure));
        {
            const std::lock_guard lock(this->mutex);
            made->connecting = false; // from here on the sweep leaves the socket object alone
        }
        if (!failure) {
            made->stream.socket.set_option(boost::asio::ip::tcp::no_delay(true), failure);
        }
        if (!failure && made->stream.uses_tls()) {
            co_await made->stream.handshake(boost::asio::ssl::stream_base::client, failure);
        }
        if (failure) {
            call.fail_unsent("cannot connect to " + to_string(call.target) + ": " + failure.message());
            const std::lock_guard lock(this->mutex);
            own.all.erase(made.get());
            co_return nullptr;
        }
        co_return made;
    }

    /// Takes an idle connection out of the books; the pool's mutex is held. Its coroutine may not wait yet.
    /// @param to_unwind receives the connection
    static void drop(group& own, std::shared_ptr<connection> peer,
                     std::vector<std::shared_ptr<connection>>& to_unwind) {
        --own.open;
        own.all.erase(peer.get());
        peer->dropped = true;
        to_unwind.push_back(std::move(peer));
    }

    static void unwind(const std::vector<std::shared_ptr<connection>>& dropped) {
        for (const auto& peer : dropped) {
            peer->waiter.reset();
        }
    }

    void sweep() {
        std::vector<std::shared_ptr<Call>> late;
        std::vector<std::shared_ptr<connection>> dropped;
        {
            const std::lock_guard lock(this->mutex);
            const auto now = coarse_now();
            for (auto& [target, own] : this->groups) {
                for (auto* peer : own.all) {
                    if (!peer->busy || peer->deadline > now) {
                        continue;
                    }
                    if (peer->connecting) {
                        boost::system::error_code ignored;
                        peer->stream.socket.cancel(ignored);
                    } else {
                        peer->stream.interrupt(SHUT_RDWR); // its coroutine sees the end of the stream
                    }
                }
                while (!own.idle.empty() && own.idle.front()->deadline <= now) {
                    drop(own, std::move(own.idle.front()), dropped);
                    own.idle.erase(own.idle.begin());
                }
                for (auto at = own.waiting.begin(); at != own.waiting.end();) {
                    if ((*at)->deadline <= now) {
                        late.push_back(std::move(*at));
                        at = own.waiting.erase(at);
                    } else {
                        ++at;
                    }
                }
            }
        }
        unwind(dropped);
        for (const auto& call : late) {
            call->fail_unsent("the deadline passed while the call waited for a connection");
            call->complete();
        }
    }

    io_threads& threads;
    boost::asio::io_context& context;
    call_pool_options options;
    mutable std::mutex mutex; ///< guards `groups`; leaf lock
    /// Groups are never removed, so references to them stay valid as long as the pool.
    std::unordered_map<endpoint, group, endpoint_hash> groups;
};

} // namespace hornbeamrail::detail
