#pragma once

// Internal to src/transport and bench: includes Asio.

#include <boost/asio/awaitable.hpp>
#include <boost/asio/basic_waitable_timer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <time.h>

#include <chrono>
#include <utility>

namespace hornbeamrail {

// A fixed executor type avoids the cost of the type-erased any_io_executor.
using io_executor = boost::asio::io_context::executor_type;
using tcp_socket = boost::asio::basic_stream_socket<boost::asio::ip::tcp, io_executor>;
using tcp_acceptor = boost::asio::basic_socket_acceptor<boost::asio::ip::tcp, io_executor>;
using io_timer =
    boost::asio::basic_waitable_timer<std::chrono::steady_clock,
                                      boost::asio::wait_traits<std::chrono::steady_clock>, io_executor>;

/// @return the steady clock at the resolution of the kernel's tick (about 4 ms), which is cheaper to read;
/// for deadlines that a periodic sweep checks
inline std::chrono::steady_clock::time_point coarse_now() noexcept {
    timespec value{};
    clock_gettime(CLOCK_MONOTONIC_COARSE, &value);
    return std::chrono::steady_clock::time_point(std::chrono::seconds(value.tv_sec) +
                                                 std::chrono::nanoseconds(value.tv_nsec));
}

/// Resumes a suspended coroutine. Destroying it without a call unwinds the coroutine.
using io_resume = boost::asio::async_result<boost::asio::use_awaitable_t<io_executor>, void()>::handler_type;
template <class T = void>
using io_task = boost::asio::awaitable<T, io_executor>;
inline constexpr boost::asio::use_awaitable_t<io_executor> use_task{};

/// Suspends the coroutine and passes the handler that resumes it to @p store_handler.
template <class StoreHandler>
io_task<void> suspend_with(StoreHandler store_handler) {
    return boost::asio::async_initiate<const boost::asio::use_awaitable_t<io_executor>, void()>(
        [store_handler = std::move(store_handler)](io_resume resume) mutable {
            store_handler(std::move(resume));
        },
        use_task);
}

/// Completion token: suspends the coroutine and stores the error in @p failure instead of throwing.
inline auto task_with(boost::system::error_code& failure) {
    return boost::asio::redirect_error(use_task, failure);
}

} // namespace hornbeamrail
