#pragma once

// A TCP proxy on loopback that injects network faults.

#include "hornbeamrail/node_settings.hpp"
#include "transport/io_threads.hpp"
#include "transport/io_types.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <atomic>
#include <chrono>
#include <list>
#include <memory>
#include <mutex>

namespace hornbeamrail::test {

/// Network fault that a proxy injects into its connections.
enum class link_fault {
    none,
    delayed,       ///< data is forwarded after a delay
    cut_to_target, ///< data to the target is discarded; data from it is forwarded
    cut_to_source, ///< data to the source is discarded; data from it is forwarded
    silent,        ///< data is discarded in both directions; connections stay open
    reset,         ///< open and new connections are reset
};

/// Forwards connections to a target. A connection that has lost data forwards nothing more, even after the
/// fault has ended, as if the lost data were never retransmitted. Thread-safe.
class fault_proxy : public std::enable_shared_from_this<fault_proxy> {
public:
    static std::shared_ptr<fault_proxy> make(io_threads& threads, const endpoint& target) {
        std::shared_ptr<fault_proxy> proxy(new fault_proxy(threads, target));
        boost::asio::co_spawn(threads.context().get_executor(), accept(proxy), boost::asio::detached);
        return proxy;
    }

    [[nodiscard]] endpoint address() const {
        return {.address = "127.0.0.1", .port = this->acceptor.local_endpoint().port()};
    }

    /// Sets the fault for open and new connections.
    /// @param delay used by `link_fault::delayed`
    void set(link_fault new_fault, std::chrono::milliseconds delay = std::chrono::milliseconds(0)) {
        this->delay_ms = delay.count();
        this->fault = new_fault;
        if (new_fault == link_fault::reset) {
            this->reset_all();
        }
    }

    /// Makes the open connections lose all data from now on; new connections work.
    void silence_open_connections() {
        const std::lock_guard lock(this->mutex);
        for (const auto& weak : this->sessions) {
            if (const auto open = weak.lock()) {
                boost::asio::post(open->source.get_executor(), [open] { open->lost_data = true; });
            }
        }
    }

private:
    // Both directions of a connection run on one strand, because either may close both sockets.
    using session_executor = boost::asio::strand<io_executor>;
    using session_socket = boost::asio::basic_stream_socket<boost::asio::ip::tcp, session_executor>;
    using session_timer = boost::asio::basic_waitable_timer<
        std::chrono::steady_clock, boost::asio::wait_traits<std::chrono::steady_clock>, session_executor>;
    using session_task = boost::asio::awaitable<void, session_executor>;

    static auto session_with(boost::system::error_code& failure) {
        return boost::asio::redirect_error(boost::asio::use_awaitable_t<session_executor>(), failure);
    }

    struct session {
        explicit session(const session_executor& executor) : source(executor), target(executor) {}
        session_socket source;
        session_socket target;
        bool lost_data = false;
    };

    fault_proxy(io_threads& io, const endpoint& forward_to)
        : threads(io), acceptor(io.context().get_executor(), {boost::asio::ip::make_address("127.0.0.1"), 0}),
          target(boost::asio::ip::make_address(forward_to.address), forward_to.port) {}

    static void abort(session_socket& socket) {
        boost::system::error_code ignored; // the peer may have closed already
        socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
        socket.close(ignored);
    }

    static void abort(session& open) {
        abort(open.source);
        abort(open.target);
    }

    void reset_all() {
        const std::lock_guard lock(this->mutex);
        for (const auto& weak : this->sessions) {
            if (const auto open = weak.lock()) {
                boost::asio::post(open->source.get_executor(), [open] { abort(*open); });
            }
        }
        this->sessions.clear();
    }

    static io_task<> accept(std::shared_ptr<fault_proxy> self) {
        while (true) {
            const auto new_session =
                std::make_shared<session>(boost::asio::make_strand(self->threads.context().get_executor()));
            boost::system::error_code failure;
            co_await self->acceptor.async_accept(new_session->source, task_with(failure));
            if (failure) {
                co_return;
            }
            boost::asio::co_spawn(new_session->source.get_executor(), connect(self, new_session),
                                  boost::asio::detached);
        }
    }

    static session_task connect(std::shared_ptr<fault_proxy> self, std::shared_ptr<session> new_session) {
        boost::system::error_code failure;
        if (self->fault != link_fault::reset) {
            co_await new_session->target.async_connect(self->target, session_with(failure));
        }
        {
            const std::lock_guard lock(self->mutex);
            self->sessions.remove_if([](const auto& known) { return known.expired(); });
            self->sessions.push_back(new_session);
        }
        if (failure || self->fault == link_fault::reset) {
            abort(*new_session);
            co_return;
        }
        const auto executor = new_session->source.get_executor();
        boost::asio::co_spawn(executor, pump(self, new_session, true), boost::asio::detached);
        boost::asio::co_spawn(executor, pump(self, new_session, false), boost::asio::detached);
    }

    [[nodiscard]] bool forwards(bool to_target) const {
        const auto now = this->fault.load();
        return now != link_fault::silent &&
               now != (to_target ? link_fault::cut_to_target : link_fault::cut_to_source);
    }

    static session_task pump(std::shared_ptr<fault_proxy> self, std::shared_ptr<session> open,
                             bool to_target) {
        auto& from = to_target ? open->source : open->target;
        auto& to = to_target ? open->target : open->source;
        std::array<char, 16384> buffer{};
        while (true) {
            boost::system::error_code failure;
            const auto size =
                co_await from.async_read_some(boost::asio::buffer(buffer), session_with(failure));
            if (failure) {
                break;
            }
            if (self->fault == link_fault::delayed) {
                session_timer timer(open->source.get_executor(), std::chrono::milliseconds(self->delay_ms));
                co_await timer.async_wait(session_with(failure));
            }
            open->lost_data = open->lost_data || !self->forwards(to_target);
            if (open->lost_data) {
                continue;
            }
            co_await boost::asio::async_write(to, boost::asio::buffer(buffer, size), session_with(failure));
            if (failure) {
                break;
            }
        }
        if (!open->lost_data) {
            abort(*open);
        }
    }

    io_threads& threads;
    tcp_acceptor acceptor;
    boost::asio::ip::tcp::endpoint target;
    std::atomic<link_fault> fault = link_fault::none;
    std::atomic<std::int64_t> delay_ms = 0;
    std::mutex mutex; ///< guards `sessions`
    std::list<std::weak_ptr<session>> sessions;
};

} // namespace hornbeamrail::test
