#pragma once

#include <chrono>
#include <functional>
#include <memory>

namespace boost::asio {
class io_context;
}

namespace hornbeamrail {

/// An Asio io_context and the I/O threads that run it. Must outlive all objects created with it; call
/// `stop()` before destroying objects that handlers refer to.
class io_threads {
public:
    /// @param count number of threads, at least 1
    /// @param name thread name as the operating system shows it; at most 15 characters
    explicit io_threads(int count, const char* name = "io_worker");
    ~io_threads();
    io_threads(const io_threads&) = delete;
    io_threads& operator=(const io_threads&) = delete;

    /// Stops the threads after the handlers that are running. Pending operations are discarded. Must not be
    /// called from an I/O thread.
    void stop();

    /// Runs @p function at the end of `stop()`, when no handlers run any more.
    void at_stop(std::function<void()> function);

    /// Runs @p function on an I/O thread.
    void post(std::function<void()> function);

    /// Runs @p function on an I/O thread after each @p interval until it returns false. Runs do not overlap.
    void repeat(std::chrono::microseconds interval, std::function<bool()> function);

    /// Runs @p function once on an I/O thread, after @p delay.
    void run_after(std::chrono::microseconds delay, std::function<void()> function);

    /// @return CPU time used by the threads; zero after `stop()`
    [[nodiscard]] std::chrono::microseconds cpu_time() const;

    /// @return the context on which sockets and timers are created
    [[nodiscard]] boost::asio::io_context& context() noexcept;

private:
    struct impl;
    std::unique_ptr<impl> self;
};

} // namespace hornbeamrail
