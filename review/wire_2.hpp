#pragma once

// Small blocking HTTP/1.1 server and client on loopback for the stand-ins of this review.

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cctype>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <functional>
#include <map>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <thread>
#include <utility>

namespace review {

using std::chrono::milliseconds;

/// @return time on the clock that all processes of a case share
inline std::int64_t now_ms() {
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

inline void pause(milliseconds span) {
    std::this_thread::sleep_for(span);
}

struct http_request {
    std::string method;
    std::string target;                         ///< path and query
    std::map<std::string, std::string> headers; ///< names in lower case
    std::string body;

    [[nodiscard]] std::string path() const { return this->target.substr(0, this->target.find('?')); }

    [[nodiscard]] std::string header(const std::string& name) const {
        const auto found = this->headers.find(name);
        return found == this->headers.end() ? std::string() : found->second;
    }

    /// @return the value of a field of the query, or an empty text
    [[nodiscard]] std::string query(const std::string& name) const {
        const auto begin = this->target.find('?');
        if (begin == std::string::npos) {
            return {};
        }
        const auto text = "&" + this->target.substr(begin + 1);
        const auto found = text.find("&" + name + "=");
        if (found == std::string::npos) {
            return {};
        }
        const auto value = text.substr(found + name.size() + 2);
        return value.substr(0, value.find('&'));
    }

    [[nodiscard]] std::int64_t query_number(const std::string& name) const {
        return std::strtoll(this->query(name).c_str(), nullptr, 10);
    }
};

struct http_response {
    int status = 200;
    std::string body;
};

/// Reads one message from a socket; the first line is stored in `method`.
inline std::optional<http_request> read_message(int socket, std::string& buffer) {
    char chunk[16384];
    std::size_t head_end = 0;
    while ((head_end = buffer.find("\r\n\r\n")) == std::string::npos) {
        const auto size = ::recv(socket, chunk, sizeof chunk, 0);
        if (size <= 0) {
            return std::nullopt;
        }
        buffer.append(chunk, static_cast<std::size_t>(size));
    }
    http_request message;
    std::string_view head(buffer.data(), head_end);
    message.method = std::string(head.substr(0, head.find("\r\n")));
    while (head.find("\r\n") != std::string_view::npos) {
        head.remove_prefix(head.find("\r\n") + 2);
        const auto line = head.substr(0, head.find("\r\n"));
        const auto colon = line.find(':');
        if (colon != std::string_view::npos) {
            std::string name(line.substr(0, colon));
            std::transform(name.begin(), name.end(), name.begin(),
                           [](unsigned char letter) { return std::tolower(letter); });
            auto value = line.substr(colon + 1);
            value.remove_prefix(std::min(value.find_first_not_of(' '), value.size()));
            message.headers[name] = std::string(value);
        }
    }
    const auto length = std::strtoull(message.header("content-length").c_str(), nullptr, 10);
    buffer.erase(0, head_end + 4);
    while (buffer.size() < length) {
        const auto size = ::recv(socket, chunk, sizeof chunk, 0);
        if (size <= 0) {
            return std::nullopt;
        }
        buffer.append(chunk, static_cast<std::size_t>(size));
    }
    message.body = buffer.substr(0, length);
    buffer.erase(0, length);
    return message;
}

inline bool send_all(int socket, std::string_view bytes) {
    while (!bytes.empty()) {
        const auto sent = ::send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent <= 0) {
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
}

inline sockaddr_in loopback(int port) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

/// @return a loopback port that is free now and that the system gives to no outgoing connection
inline int free_port() {
    constexpr unsigned first = 10000;
    constexpr unsigned count = 20000;
    static std::atomic<unsigned> next{static_cast<unsigned>(::getpid()) * 257U}; // cases may run side by side
    while (true) {
        const int port = static_cast<int>(first + next++ % count);
        const int probe = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const auto address = loopback(port);
        const bool is_free = ::bind(probe, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
        ::close(probe);
        if (is_free) {
            return port;
        }
    }
}

/// Serves a handler on a loopback port, one thread a connection. It runs until the process ends.
class http_server {
public:
    /// An absent response closes the connection without an answer.
    using handler = std::function<std::optional<http_response>(const http_request&)>;

    http_server(int port, handler function) : serve(std::move(function)) {
        this->listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        ::setsockopt(this->listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        const auto address = loopback(port);
        if (::bind(this->listener, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 ||
            ::listen(this->listener, 256) != 0) {
            throw std::runtime_error("cannot listen on port " + std::to_string(port));
        }
        std::thread([this] { this->accept_all(); }).detach();
    }
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

private:
    void accept_all() {
        while (true) {
            const int socket = ::accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (socket >= 0) {
                std::thread([this, socket] { this->serve_connection(socket); }).detach();
            }
        }
    }

    void serve_connection(int socket) {
        const int on = 1;
        ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        std::string buffer;
        while (auto request = read_message(socket, buffer)) {
            const auto line = request->method;
            const auto space = line.find(' ');
            request->method = line.substr(0, space);
            request->target = line.substr(space + 1, line.rfind(' ') - space - 1);
            const auto response = this->serve(*request);
            if (!response ||
                !send_all(socket, "HTTP/1.1 " + std::to_string(response->status) +
                                      " -\r\nContent-Type: application/json\r\nContent-Length: " +
                                      std::to_string(response->body.size()) + "\r\n\r\n" + response->body)) {
                break;
            }
        }
        ::close(socket);
    }

    handler serve;
    int listener = -1;
};

/// Sends one request on a new connection.
/// @return the response; status 0 if there was none in time
inline http_response call(int port, const std::string& method, const std::string& target,
                          const std::map<std::string, std::string>& headers, const std::string& body,
                          milliseconds timeout) {
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const timeval limit{.tv_sec = timeout.count() / 1000, .tv_usec = timeout.count() % 1000 * 1000};
    ::setsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    ::setsockopt(socket, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
    const auto address = loopback(port);
    http_response response{.status = 0};
    if (::connect(socket, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0) {
        std::string text = method + " " + target + " HTTP/1.1\r\nContent-Type: application/json\r\n";
        for (const auto& [name, value] : headers) {
            text += name + ": " + value + "\r\n";
        }
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
        std::string buffer;
        if (send_all(socket, text)) {
            if (const auto answer = read_message(socket, buffer)) {
                const auto space = answer->method.find(' ');
                response = {.status = std::atoi(answer->method.c_str() + space + 1), .body = answer->body};
            }
        }
    }
    ::close(socket);
    return response;
}

} // namespace review
