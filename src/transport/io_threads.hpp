#pragma once

#include <chrono>
#include <functional>
#include <memory>

namespace boost::asio {
class io_context;
}

namespace hornbeamrail {

/// An Asio io_context and the worker threads that run it. Must outlive everything that was made with it; call
/// `stop()` before destroying what handlers refer to.
class io_threads {
public:
    /// @param count number of worker threads, at least 1
    /// @param name of the threads as tools show them; at most 15 characters
    explicit io_threads(int count, const char* name = "io_worker");
    ~io_threads();
    io_threads(const io_threads&) = delete;
    io_threads& operator=(const io_threads&) = delete;

    /// Ends the workers after the handlers that are running. Pending operations are dropped. Must not be
    /// called from a worker.
    void stop();

    /// Runs @p function at the end of `stop()`, when no handler runs any more.
    void at_stop(std::function<void()> function);

    /// Runs @p function on a worker.
    void post(std::function<void()> function);

    /// Runs @p function on a worker after each @p interval until it returns false. Runs do not overlap.
    void repeat(std::chrono::microseconds interval, std::function<bool()> function);

    /// Runs @p function on a worker once, after @p delay.
    void run_after(std::chrono::microseconds delay, std::function<void()> function);

    /// @return processor time that the workers have used; not after `stop()`
    [[nodiscard]] std::chrono::microseconds cpu_time() const;

    [[nodiscard]] boost::asio::io_context& context() noexcept;

private:
    struct impl;
    std::unique_ptr<impl> self;
};

} // namespace hornbeamrail
