#include "transport/io_threads.hpp"

#include "protocol/json_log.hpp"
#include "transport/io_types.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>

#include <pthread.h>
#include <time.h>

#include <exception>
#include <mutex>
#include <thread>
#include <vector>

namespace hornbeamrail {

namespace asio = boost::asio;

namespace {

/// Calls @p function and logs an exception that it throws.
/// @return whether it returned normally
template <class Function>
bool run_guarded(Function function) {
    try {
        function();
        return true;
    } catch (const std::exception& failure) {
        write_log(severity::error, "handler_failed", {{"reason", failure.what()}});
        return false;
    }
}

} // namespace

struct io_threads::impl {
    impl(int count, const char* name) : context(count), work(context.get_executor()) {
        for (int index = 0; index < count; ++index) {
            this->threads.emplace_back([this] { this->run(); });
            pthread_setname_np(this->threads.back().native_handle(), name);
        }
    }

    /// Runs handlers until the context is stopped. An exception ends only the handler that threw it.
    void run() {
        while (!this->context.stopped()) {
            if (run_guarded([this] { this->context.run(); })) {
                return;
            }
        }
    }

    /// Schedules @p function after @p interval, and again after each run that returns true.
    void arm(const std::shared_ptr<io_timer>& timer, std::chrono::microseconds interval,
             std::function<bool()> function) {
        timer->expires_after(interval);
        timer->async_wait([this, timer, interval,
                           function = std::move(function)](const boost::system::error_code& failure) mutable {
            bool again = !failure;
            if (again) {
                // A periodic function keeps its period if one of its runs throws.
                run_guarded([&] { again = function(); });
            }
            if (again) {
                this->arm(timer, interval, std::move(function));
            }
        });
    }

    std::mutex mutex; ///< guards `cleanups`; leaf lock
    std::vector<std::function<void()>> cleanups;
    asio::io_context context;
    asio::executor_work_guard<io_executor> work;
    std::vector<std::thread> threads;
};

io_threads::io_threads(int count, const char* name) : self(std::make_unique<impl>(count, name)) {}

io_threads::~io_threads() {
    this->stop();
}

void io_threads::stop() {
    this->self->work.reset();
    this->self->context.stop();
    for (auto& thread : this->self->threads) {
        if (thread.joinable()) {
            thread.join();
        }
    }
    std::vector<std::function<void()>> pending_cleanups;
    {
        const std::lock_guard lock(this->self->mutex);
        pending_cleanups.swap(this->self->cleanups);
    }
    for (const auto& function : pending_cleanups) {
        function();
    }
}

void io_threads::at_stop(std::function<void()> function) {
    const std::lock_guard lock(this->self->mutex);
    this->self->cleanups.push_back(std::move(function));
}

void io_threads::post(std::function<void()> function) {
    asio::post(this->self->context, std::move(function));
}

void io_threads::repeat(std::chrono::microseconds interval, std::function<bool()> function) {
    this->self->arm(std::make_shared<io_timer>(this->self->context), interval, std::move(function));
}

void io_threads::run_after(std::chrono::microseconds delay, std::function<void()> function) {
    this->repeat(delay, [function = std::move(function)] {
        function();
        return false;
    });
}

std::chrono::microseconds io_threads::cpu_time() const {
    std::chrono::nanoseconds total{0};
    for (auto& thread : this->self->threads) {
        clockid_t clock{};
        timespec cpu_used{};
        if (thread.joinable() && pthread_getcpuclockid(thread.native_handle(), &clock) == 0 &&
            clock_gettime(clock, &cpu_used) == 0) {
            total += std::chrono::seconds(cpu_used.tv_sec) + std::chrono::nanoseconds(cpu_used.tv_nsec);
        }
    }
    return std::chrono::duration_cast<std::chrono::microseconds>(total);
}

asio::io_context& io_threads::context() noexcept {
    return this->self->context;
}

} // namespace hornbeamrail
