#pragma once

// Internal to src/transport: includes Asio.

#include "hornbeamrail/node_settings.hpp"
#include "transport/io_threads.hpp"
#include "transport/io_types.hpp"
#include "transport/socket_stream.hpp"
#include "transport/tls_settings.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include <atomic>
#include <chrono>
#include <concepts>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_set>
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
        this->threads.repeat(sweep_interval, [weak = this->weak_from_this()] {
            const auto pool = weak.lock();
            if (pool) {
                pool->sweep();
            }
            return pool != nullptr;
        });
    }

    void submit(std::shared_ptr<Call> call) {
        std::shared_ptr<connection> reused;
        std::string refusal;
        std::vector<std::shared_ptr<connection>> dropped;
        const auto now = steady::now();
        {
            const std::lock_guard lock(this->mutex);
            auto& own = this->groups[call->target];
            while (!reused && !own.idle.empty()) {
                auto candidate = std::move(own.idle.back());
                own.idle.pop_back();
                // The check is a system call. A close within the last moments is not worth it: the same close
                // a little later could not be seen either.
                const bool just_used = candidate->deadline - this->options.idle_timeout + trusted_idle > now;
                if (just_used || candidate->stream.is_quiet()) {
                    reused = std::move(candidate);
                } else {
                    --own.open;
                    dropped.push_back(std::move(candidate));
                }
            }
            if (reused) {
                reused->deadline = call->deadline;
                own.busy.insert(reused.get());
            } else if (own.open < this->options.max_connections) {
                ++own.open;
            } else if (own.waiting.size() < this->options.max_waiting) {
                own.waiting.push_back(std::move(call));
                return;
            } else {
                refusal = "too many calls wait for a connection";
            }
        }
        if (!refusal.empty()) {
            call->fail_unsent(std::move(refusal));
            call->complete();
            return;
        }
        boost::asio::co_spawn(this->context.get_executor(), this->run(std::move(reused), std::move(call)),
                              boost::asio::detached);
    }

    [[nodiscard]] std::size_t open_connections(const endpoint& target) const {
        const std::lock_guard lock(this->mutex);
        const auto found = this->groups.find(target);
        return found == this->groups.end() ? 0 : found->second.open;
    }

private:
    /// Deadlines are checked this often: a timer for each call costs more than the check of all.
    static constexpr std::chrono::milliseconds sweep_interval{10};

    /// An idle connection is used without a check within this time after its last answer.
    static constexpr std::chrono::milliseconds trusted_idle{5};

    struct connection {
        connection(tcp_socket socket, std::shared_ptr<boost::asio::ssl::context> tls,
                   std::size_t buffer_bytes)
            : stream(std::move(socket), std::move(tls)), buffer(buffer_bytes) {}

        socket_stream stream;
        boost::beast::flat_buffer buffer;
        steady::time_point deadline; ///< of the call, or of the idle connection
    };

    struct group {
        std::size_t open = 0; ///< connections that exist or are being made
        std::vector<std::shared_ptr<connection>> idle;
        std::unordered_set<connection*> busy;
        std::deque<std::shared_ptr<Call>> waiting;
    };

    io_task<void> run(std::shared_ptr<connection> peer, std::shared_ptr<Call> call) {
        const auto self = this->shared_from_this();
        const endpoint target = call->target;
        while (call) {
            bool usable = false;
            try {
                if (!peer) {
                    peer = co_await this->connect(*call);
                }
                if (peer) {
                    usable = co_await call->exchange(peer->stream, peer->buffer);
                }
            } catch (const std::exception& failure) {
                call->fail_unsent(failure.what()); // without effect once bytes were written
            }
            const auto finished = std::move(call);
            call = this->release(target, peer, usable);
            finished->complete();
        }
    }

    /// Takes back the connection after a call.
    /// @param peer the connection; reset unless it carries the next call
    /// @return the next call that waits, or null when this coroutine is no longer needed
    std::shared_ptr<Call> release(const endpoint& target, std::shared_ptr<connection>& peer, bool usable) {
        std::shared_ptr<connection> dropped; // closed after the lock is released
        std::shared_ptr<Call> next;
        const std::lock_guard lock(this->mutex);
        auto& own = this->groups[target];
        if (peer) {
            own.busy.erase(peer.get());
        }
        if (!usable) {
            dropped = std::move(peer);
            peer = nullptr;
        }
        if (!own.waiting.empty()) {
            next = std::move(own.waiting.front());
            own.waiting.pop_front();
            if (peer) {
                peer->deadline = next->deadline;
                own.busy.insert(peer.get());
            }
            return next;
        }
        if (peer) {
            peer->deadline = steady::now() + this->options.idle_timeout;
            own.idle.push_back(std::move(peer));
            peer = nullptr;
        } else {
            --own.open;
        }
        return nullptr;
    }

    io_task<std::shared_ptr<connection>> connect(Call& call) {
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
            this->groups[call.target].busy.insert(made.get());
        }
        co_await made->stream.socket.async_connect(remote, task_with(failure));
        if (!failure) {
            made->stream.socket.set_option(boost::asio::ip::tcp::no_delay(true), failure);
        }
        if (!failure && made->stream.uses_tls()) {
            co_await made->stream.handshake(boost::asio::ssl::stream_base::client, failure);
        }
        if (failure) {
            call.fail_unsent("cannot connect to " + to_string(call.target) + ": " + failure.message());
            this->forget(call.target, made.get());
            co_return nullptr;
        }
        co_return made;
    }

    void forget(const endpoint& target, connection* peer) {
        const std::lock_guard lock(this->mutex);
        this->groups[target].busy.erase(peer);
    }

    void sweep() {
        std::vector<std::shared_ptr<Call>> late;
        std::vector<std::shared_ptr<connection>> dropped;
        {
            const std::lock_guard lock(this->mutex);
            const auto now = steady::now();
            for (auto& [target, own] : this->groups) {
                for (auto* peer : own.busy) {
                    if (peer->deadline <= now) {
                        peer->stream.interrupt(SHUT_RDWR); // its coroutine sees the end of the stream
                    }
                }
                while (!own.idle.empty() && own.idle.front()->deadline <= now) {
                    dropped.push_back(std::move(own.idle.front()));
                    own.idle.erase(own.idle.begin());
                    --own.open;
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
        for (const auto& call : late) {
            call->fail_unsent("the deadline passed while the call waited for a connection");
            call->complete();
        }
    }

    io_threads& threads;
    boost::asio::io_context& context;
    call_pool_options options;
    mutable std::mutex mutex; ///< guards `groups`; leaf lock
    std::map<endpoint, group> groups;
};

} // namespace hornbeamrail::detail
