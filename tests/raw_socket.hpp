#pragma once

#include "hornbeamrail/node_settings.hpp"

#include <boost/test/unit_test.hpp>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <chrono>
#include <condition_variable>
#include <cstdlib>
#include <functional>
#include <mutex>
#include <stdexcept>
#include <string>
#include <string_view>
#include <thread>

namespace hornbeamrail {

using namespace std::chrono_literals;

/// Timeout for events that must happen. A passing test does not wait this long, so the length does not affect
/// its result.
inline constexpr std::chrono::seconds test_timeout{30};

/// A blocking TCP socket that sends and receives raw bytes.
class raw_socket {
public:
    explicit raw_socket(int descriptor) : handle(descriptor) {
        const timeval limit{.tv_sec = test_timeout.count(), .tv_usec = 0};
        ::setsockopt(this->handle, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    }
    raw_socket(raw_socket&& other) noexcept : handle(std::exchange(other.handle, -1)) {}
    raw_socket(const raw_socket&) = delete;
    raw_socket& operator=(const raw_socket&) = delete;
    ~raw_socket() { this->close(); }

    static raw_socket connect(const endpoint& target) {
        const int descriptor = ::socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(target.port);
        inet_pton(AF_INET, target.address.c_str(), &address.sin_addr);
        raw_socket connected(descriptor);
        // No Boost.Test assertion here: they are not safe on other threads, from which callers may call this.
        if (::connect(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) {
            throw std::runtime_error("cannot connect to " + to_string(target));
        }
        return connected;
    }

    void send(std::string_view bytes) {
        while (!bytes.empty()) {
            const auto sent = ::send(this->handle, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            if (sent <= 0) {
                return; // the peer may have closed already; tests check the response
            }
            bytes.remove_prefix(static_cast<std::size_t>(sent));
        }
    }

    void end_sending() { ::shutdown(this->handle, SHUT_WR); }

    /// @return the received bytes up to and including @p mark, or up to the end of the stream
    std::string receive_until(std::string_view mark) {
        char chunk[4096];
        while (this->received.find(mark) == std::string::npos) {
            const auto bytes_read = ::recv(this->handle, chunk, sizeof chunk, 0);
            if (bytes_read <= 0) {
                return std::exchange(this->received, {});
            }
            this->received.append(chunk, static_cast<std::size_t>(bytes_read));
        }
        const auto end = this->received.find(mark) + mark.size();
        auto text = this->received.substr(0, end);
        this->received.erase(0, end);
        return text;
    }

    /// @return the next @p count bytes, or fewer at the end of the stream
    std::string receive_bytes(std::size_t count) {
        char chunk[4096];
        while (this->received.size() < count) {
            const auto bytes_read = ::recv(this->handle, chunk, sizeof chunk, 0);
            if (bytes_read <= 0) {
                return std::exchange(this->received, {});
            }
            this->received.append(chunk, static_cast<std::size_t>(bytes_read));
        }
        auto text = this->received.substr(0, count);
        this->received.erase(0, count);
        return text;
    }

    /// Waits for the end of the stream.
    /// @return whether the peer reset the connection instead of closing it in order
    bool ends_with_reset() {
        char chunk[4096];
        ssize_t bytes_read = 0;
        do {
            bytes_read = ::recv(this->handle, chunk, sizeof chunk, 0);
        } while (bytes_read > 0);
        if (bytes_read < 0) {
            return errno == ECONNRESET;
        }
        // A reset that follows the end of the stream shows as an error of the socket.
        pollfd state{.fd = this->handle, .events = 0, .revents = 0};
        constexpr int reset_timeout_ms = 2000;
        return ::poll(&state, 1, reset_timeout_ms) > 0 && (state.revents & POLLERR) != 0;
    }

    /// @return the received bytes until the peer closes the connection
    std::string receive_all() { return this->receive_until(std::string_view("\0no such text\0", 14)); }

    /// Ends pending and later operations. Safe from another thread.
    void interrupt() { ::shutdown(this->handle, SHUT_RDWR); }

    void close() {
        if (this->handle >= 0) {
            ::close(std::exchange(this->handle, -1));
        }
    }

private:
    int handle;
    std::string received;
};

/// One HTTP response; `complete` is false when the connection ended before its last byte.
struct http_answer {
    int status = 0;
    std::string head;
    std::string body;
    bool complete = false;

    [[nodiscard]] bool closes() const { return this->head.find("Connection: close") != std::string::npos; }
};

/// Reads one response with a `Content-Length`.
inline http_answer read_answer(raw_socket& from) {
    http_answer answer{.head = from.receive_until("\r\n\r\n")};
    const auto length_at = answer.head.find("Content-Length: ");
    if (!answer.head.ends_with("\r\n\r\n") || length_at == std::string::npos) {
        return answer;
    }
    answer.status = std::atoi(answer.head.c_str() + std::string_view("HTTP/1.1 ").size());
    const auto length = std::strtoul(answer.head.c_str() + length_at + 16, nullptr, 10);
    answer.body = from.receive_bytes(length);
    answer.complete = answer.body.size() == length;
    return answer;
}

/// Accepts connections sequentially on its own thread and runs a script on each.
class raw_server {
public:
    explicit raw_server(std::function<void(raw_socket&, int number)> on_connection)
        : script(std::move(on_connection)), listener(::socket(AF_INET, SOCK_STREAM, 0)) {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
        BOOST_REQUIRE_EQUAL(::bind(this->listener, reinterpret_cast<sockaddr*>(&address), sizeof address), 0);
        BOOST_REQUIRE_EQUAL(::listen(this->listener, 16), 0);
        socklen_t size = sizeof address;
        ::getsockname(this->listener, reinterpret_cast<sockaddr*>(&address), &size);
        this->bound = {"127.0.0.1", ntohs(address.sin_port)};
        this->worker = std::thread([this] { this->run(); });
    }
    ~raw_server() {
        ::shutdown(this->listener, SHUT_RDWR);
        {
            const std::lock_guard lock(this->mutex);
            if (this->current != nullptr) {
                this->current->interrupt();
            }
            this->ending = true;
        }
        this->worker.join();
        ::close(this->listener);
    }
    raw_server(const raw_server&) = delete;
    raw_server& operator=(const raw_server&) = delete;

    [[nodiscard]] const endpoint& address() const { return this->bound; }

private:
    void run() {
        for (int number = 0;; ++number) {
            const int accepted = ::accept(this->listener, nullptr, nullptr);
            if (accepted < 0) {
                return;
            }
            raw_socket connection(accepted);
            this->set_current(&connection);
            this->script(connection, number);
            this->set_current(nullptr);
        }
    }

    void set_current(raw_socket* connection) {
        const std::lock_guard lock(this->mutex);
        this->current = connection;
        if (connection != nullptr && this->ending) {
            connection->interrupt();
        }
    }

    std::function<void(raw_socket&, int)> script;
    std::mutex mutex;
    raw_socket* current = nullptr;
    bool ending = false;
    int listener;
    endpoint bound;
    std::thread worker;
};

/// A value that one thread sets and another thread waits for.
template <class Value>
class async_result {
public:
    void set(Value new_value) {
        const std::lock_guard lock(this->mutex);
        this->value = std::move(new_value);
        this->is_set = true;
        this->changed.notify_all();
    }

    Value get() {
        std::unique_lock lock(this->mutex);
        if (!this->changed.wait_for(lock, test_timeout, [this] { return this->is_set; })) {
            throw std::runtime_error("the value was not set within the time limit");
        }
        return std::move(this->value);
    }

private:
    std::mutex mutex;
    std::condition_variable changed;
    Value value{};
    bool is_set = false;
};

/// Waits until @p condition is true, at most `test_timeout`.
/// @return false on timeout
inline bool eventually(const std::function<bool()>& condition) {
    const auto limit = std::chrono::steady_clock::now() + test_timeout;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > limit) {
            return false;
        }
        std::this_thread::sleep_for(2ms);
    }
    return true;
}

/// @return the value; fails the test on an error
template <class Function>
auto require_value(Function&& function) {
    error failure;
    auto value = value_or_error(std::forward<Function>(function), failure);
    BOOST_REQUIRE_MESSAGE(value.has_value(), failure.message);
    return std::move(*value);
}

} // namespace hornbeamrail
