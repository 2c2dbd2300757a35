#include "transport/http_server.hpp"

#include "protocol/json_log.hpp"
#include "transport/http_parser.hpp"
#include "transport/io_types.hpp"
#include "transport/socket_stream.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/error.hpp>

#include <atomic>
#include <condition_variable>
#include <mutex>
#include <optional>
#include <unordered_map>

namespace hornbeamrail {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;
using steady = std::chrono::steady_clock;

/// Internal status: close the connection without a response.
constexpr int abandoned_status = 0;

namespace detail {

/// Passes one response from the handler, on any thread, to the coroutine of the connection.
struct http_exchange {
    enum phase { open, waiting, answered };

    explicit http_exchange(asio::io_context& io) : context(io) {}

    void send(http_response value) {
        if (this->sent.exchange(true)) {
            return;
        }
        this->response = std::move(value);
        if (this->current.exchange(answered) == waiting) {
            // On an I/O thread this writes the response immediately, inside the call.
            asio::dispatch(this->context, std::move(*this->resume));
        }
    }

    io_task<void> wait_answer() {
        return suspend_with([this](io_resume handler) {
            this->resume.emplace(std::move(handler));
            phase expected = open;
            if (!this->current.compare_exchange_strong(expected, waiting)) {
                asio::post(this->context, std::move(*this->resume));
            }
        });
    }

    asio::io_context& context;
    std::atomic<phase> current = open;
    std::atomic<bool> sent{false};
    http_response response;
    std::optional<io_resume> resume;
    std::function<void()> caller_gone;
};

} // namespace detail

void http_reply::send(http_response response) const {
    this->exchange->send(std::move(response));
}

void http_reply::abandon() const {
    this->exchange->send(http_response{.status = abandoned_status});
}

void http_reply::on_caller_gone(std::function<void()> function) const {
    this->exchange->caller_gone = std::move(function);
}

namespace {

constexpr std::chrono::milliseconds sweep_interval{100};
/// Time during which the rest of a request is read and discarded after an error response: closing a socket
/// with unread data resets the connection, and the caller may lose the response.
constexpr std::chrono::milliseconds linger_time{2000};

enum class connection_phase { handshake, idle, reading, handling, writing, lingering };

struct connection {
    connection(tcp_socket socket, std::shared_ptr<asio::ssl::context> context,
               std::uint64_t connection_number, std::size_t buffer_bytes)
        : stream(std::move(socket), std::move(context)), buffer(buffer_bytes), number(connection_number) {}

    void enter(connection_phase next, steady::duration limit) {
        this->phase.store(next, std::memory_order_relaxed);
        this->deadline.store((coarse_now() + limit).time_since_epoch().count(), std::memory_order_relaxed);
    }

    /// @param direction SHUT_RD, SHUT_WR or SHUT_RDWR
    void interrupt(int direction) {
        const std::lock_guard lock(this->descriptor_mutex);
        if (this->is_open) {
            this->stream.interrupt(direction);
        }
    }

    /// Sets the exchange whose handler is notified when the caller closes its connection; null for none.
    void watch(std::shared_ptr<detail::http_exchange> exchange) {
        const std::lock_guard lock(this->descriptor_mutex);
        this->watched.swap(exchange);
    }

    /// Notifies the handler of the watched exchange, once, if the caller has closed its side.
    void check_caller() {
        std::shared_ptr<detail::http_exchange> disconnected;
        {
            const std::lock_guard lock(this->descriptor_mutex);
            char byte = 0;
            if (!this->is_open || !this->watched ||
                ::recv(this->stream.socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) != 0) {
                return;
            }
            disconnected.swap(this->watched);
        }
        if (!disconnected->sent.load()) {
            disconnected->caller_gone();
        }
    }

    void close() {
        const std::lock_guard lock(this->descriptor_mutex);
        this->is_open = false;
        error_code ignored;
        this->stream.socket.close(ignored);
    }

    socket_stream stream;
    boost::beast::flat_buffer buffer;
    std::uint64_t number;
    std::atomic<connection_phase> phase = connection_phase::idle;
    std::atomic<steady::rep> deadline{0};
    std::atomic<bool> expired{false};
    std::mutex descriptor_mutex; ///< leaf lock: the descriptor stays open while another thread uses it
    bool is_open = true;         ///< guarded by `descriptor_mutex`
    std::shared_ptr<detail::http_exchange> watched; ///< guarded by `descriptor_mutex`
};

struct atomic_counters {
    using counter = std::atomic<std::int64_t>;
    counter accepted{0}, requests{0}, bad_request{0}, wrong_method{0}, slow_sender{0}, body_too_large{0},
        head_too_large{0}, over_capacity{0}, handshake_failed{0}, write_failed{0}, active_requests{0};
};

/// Result of reading one request.
enum class read_outcome {
    complete,
    closed,
    bad_request,
    wrong_method,
    slow_sender,
    body_too_large,
    head_too_large
};

http_response refusal_for(read_outcome outcome) {
    switch (outcome) {
    case read_outcome::wrong_method: {
        auto response = make_error_response(405, "wrong_method", "the method is not supported",
                                            "use GET, POST or DELETE as documented for the path", "not_run");
        response.headers.add("Allow", "GET, POST, DELETE");
        return response;
    }
    case read_outcome::slow_sender:
        return make_error_response(408, "slow_sender",
                                   "the request did not arrive completely within the time limit",
                                   "send the whole request without delay", "not_run");
    case read_outcome::body_too_large:
        return make_error_response(413, "body_too_large", "the body is longer than the limit",
                                   "send a shorter body", "not_run");
    case read_outcome::head_too_large:
        return make_error_response(431, "head_too_large", "the request head is longer than the limit",
                                   "send fewer or shorter headers", "not_run");
    default:
        return make_error_response(400, "bad_request", "the request is not valid HTTP/1.1",
                                   "check the request line, the headers and the lengths", "not_run");
    }
}

bool is_supported_method(std::string_view method) {
    return method == "GET" || method == "POST" || method == "DELETE";
}

read_outcome classify(const error_code& failure) {
    if (failure == http::error::header_limit) {
        return read_outcome::head_too_large;
    }
    if (failure == http::error::body_limit) {
        return read_outcome::body_too_large;
    }
    return read_outcome::bad_request;
}

} // namespace

struct http_server::impl : std::enable_shared_from_this<http_server::impl> {
    impl(io_threads& io, http_server_options settings, http_handler function)
        : context(io.context()), options(std::move(settings)), handler(std::move(function)),
          acceptor(io.context()) {}

    error_code listen() {
        error_code failure;
        const auto address = asio::ip::make_address(this->options.address.address, failure);
        if (failure) {
            return failure;
        }
        const asio::ip::tcp::endpoint local(address, this->options.address.port);
        if (this->acceptor.open(local.protocol(), failure); failure) {
            return failure;
        }
        this->acceptor.set_option(asio::socket_base::reuse_address(true), failure);
        if (this->acceptor.bind(local, failure); failure) {
            return failure;
        }
        this->acceptor.listen(asio::socket_base::max_listen_connections, failure);
        this->bound = {this->options.address.address, this->acceptor.local_endpoint().port()};
        return failure;
    }

    void accept_next() {
        const std::lock_guard lock(this->accept_mutex);
        if (this->stopping.load()) {
            this->end_accepting();
            return;
        }
        this->acceptor.async_accept(
            [self = this->shared_from_this()](const error_code& failure, tcp_socket socket) {
                self->on_accept(failure, std::move(socket));
            });
    }

    void on_accept(const error_code& failure, tcp_socket socket) {
        if (!failure) {
            this->admit(std::move(socket));
        } else if (!this->stopping.load()) {
            // Usually out of descriptors. The pause keeps the loop from spinning until some are free.
            write_log(severity::warning, "accept_failed", {{"reason", failure.message()}});
            const auto pause = std::make_shared<io_timer>(this->context, std::chrono::milliseconds(50));
            pause->async_wait(
                [self = this->shared_from_this(), pause](const error_code&) { self->accept_next(); });
            return;
        }
        this->accept_next();
    }

    /// Accepts the connections that the operating system has already established, then closes the listener:
    /// closing it resets the connections that remain in its queue.
    void end_accepting() {
        error_code failure;
        this->acceptor.non_blocking(true, failure);
        while (!failure) {
            tcp_socket socket(this->context);
            this->acceptor.accept(socket, failure);
            if (!failure) {
                this->admit(std::move(socket));
            }
        }
        this->acceptor.close(failure);
        const std::lock_guard lock(this->mutex);
        this->accepting = false;
        this->all_closed.notify_all();
    }

    void admit(tcp_socket socket) {
        error_code ignored;
        socket.set_option(asio::ip::tcp::no_delay(true), ignored);
        this->counters.accepted.fetch_add(1, std::memory_order_relaxed);
        std::shared_ptr<connection> admitted;
        {
            const std::lock_guard lock(this->mutex);
            if (this->connections.size() >= this->options.max_connections) {
                this->counters.over_capacity.fetch_add(1, std::memory_order_relaxed);
                return; // a load balancer then tries another node
            }
            const auto number = this->next_number++;
            admitted = std::make_shared<connection>(
                std::move(socket), this->options.tls ? this->options.tls->context() : nullptr, number,
                this->options.max_head_bytes + 2 * read_chunk_bytes);
            // The sweep may examine the connection before `serve` runs.
            admitted->enter(connection_phase::idle, this->idle_limit());
            this->connections.emplace(number, admitted);
        }
        asio::co_spawn(this->context.get_executor(), this->serve(std::move(admitted)), asio::detached);
    }

    io_task<void> serve(std::shared_ptr<connection> conn) {
        const auto self = this->shared_from_this();
        try {
            if (co_await this->handshake(*conn)) {
                while (co_await this->serve_one(conn)) {
                }
            }
        } catch (const std::exception& failure) {
            write_log(severity::error, "connection_failed", {{"reason", failure.what()}});
        }
        conn->close();
        const std::lock_guard lock(this->mutex);
        this->connections.erase(conn->number);
        this->all_closed.notify_all();
    }

    io_task<bool> handshake(connection& conn) {
        if (!conn.stream.uses_tls()) {
            co_return true;
        }
        conn.enter(connection_phase::handshake, this->options.request_timeout);
        error_code failure;
        co_await conn.stream.handshake(asio::ssl::stream_base::server, failure);
        if (failure) {
            this->counters.handshake_failed.fetch_add(1, std::memory_order_relaxed);
        }
        co_return !failure;
    }

    /// Reads and handles one request and writes its response.
    /// @return whether the connection can be used for another request
    io_task<bool> serve_one(const std::shared_ptr<connection>& conn) {
        http_parser<true> parser(this->options.max_head_bytes, this->options.max_body_bytes);
        const auto outcome = co_await this->read(*conn, parser);
        if (outcome == read_outcome::closed) {
            co_return false;
        }
        if (outcome != read_outcome::complete) {
            this->count(outcome);
            auto refusal = refusal_for(outcome);
            if (this->options.decorate_error) {
                this->options.decorate_error(refusal);
            }
            const auto answer = this->begin_write(*conn, refusal, true);
            if (answer.is_written() || co_await this->write_rest(*conn, answer)) {
                co_await this->linger(*conn);
            }
            co_return false;
        }
        this->counters.requests.fetch_add(1, std::memory_order_relaxed);
        this->counters.active_requests.fetch_add(1, std::memory_order_relaxed);
        conn->enter(connection_phase::handling, std::chrono::hours(24));
        const auto exchange = std::make_shared<detail::http_exchange>(this->context);
        const bool keep_alive = parser.keep_alive();
        this->call_handler(std::move(parser.message), exchange);
        if (exchange->current.load() != detail::http_exchange::answered) {
            if (exchange->caller_gone) {
                conn->watch(exchange);
            }
            co_await exchange->wait_answer();
            conn->watch(nullptr);
        }
        const bool close = !keep_alive || this->stopping.load();
        if (exchange->response.status == abandoned_status) {
            this->counters.active_requests.fetch_sub(1, std::memory_order_relaxed);
            co_return false;
        }
        const auto answer = this->begin_write(*conn, exchange->response, close);
        const bool written = answer.is_written() || co_await this->write_rest(*conn, answer);
        this->counters.active_requests.fetch_sub(1, std::memory_order_relaxed);
        if (written && close) {
            co_await this->linger(*conn);
        }
        co_return written && !close;
    }

    void call_handler(http_request request, const std::shared_ptr<detail::http_exchange>& exchange) {
        // The deleter runs when the handler's last copy of the reply is destroyed.
        http_reply reply(std::shared_ptr<detail::http_exchange>(exchange.get(), [exchange](auto*) {
            if (!exchange->sent.load()) {
                exchange->send(make_error_response(500, "internal_error", "the handler sent no response",
                                                   "repeat the request if it is idempotent", "unknown"));
            }
        }));
        try {
            this->handler(std::move(request), std::move(reply));
        } catch (const std::exception& failure) {
            write_log(severity::error, "handler_failed", {{"reason", failure.what()}});
        }
    }

    io_task<read_outcome> read(connection& conn, http_parser<true>& parser) {
        auto& buffer = conn.buffer;
        const bool pipelined = buffer.size() > 0;
        conn.enter(pipelined ? connection_phase::reading : connection_phase::idle,
                   pipelined ? this->options.request_timeout : this->idle_limit());
        bool head_checked = false;
        error_code failure;
        while (true) {
            while (buffer.size() > 0 && !parser.is_done()) {
                const auto bytes_parsed = parser.put(buffer.data(), failure);
                buffer.consume(bytes_parsed);
                if (failure == http::error::need_more) {
                    failure = {};
                    break;
                }
                if (failure) {
                    co_return classify(failure);
                }
                if (parser.is_header_done() && !head_checked) {
                    head_checked = true;
                    if (!is_supported_method(parser.message.method)) {
                        co_return read_outcome::wrong_method;
                    }
                    if (!parser.is_done() &&
                        equal_names(parser.message.headers.value_or("Expect", ""), "100-continue")) {
                        static constexpr std::string_view continue_response = "HTTP/1.1 100 Continue\r\n\r\n";
                        co_await conn.stream.write(asio::buffer(continue_response), failure);
                        if (failure) {
                            co_return read_outcome::closed;
                        }
                    }
                }
            }
            if (parser.is_done()) {
                co_return read_outcome::complete;
            }
            if (buffer.size() + read_chunk_bytes > buffer.max_size()) {
                co_return read_outcome::bad_request; // an overlong chunk header
            }
            const auto bytes_read = co_await conn.stream.read_some(buffer.prepare(read_chunk_bytes), failure);
            const bool started = conn.phase.load(std::memory_order_relaxed) == connection_phase::reading;
            if (conn.expired.load()) {
                co_return started ? read_outcome::slow_sender : read_outcome::closed;
            }
            if (failure) {
                co_return read_outcome::closed;
            }
            buffer.commit(bytes_read);
            if (!started) {
                conn.enter(connection_phase::reading, this->options.request_timeout);
            }
        }
    }

    /// A response that is being written.
    struct outgoing_response {
        std::string head;                  ///< includes the body if that is short
        const std::string* body = nullptr; ///< null when it is in `head`
        std::size_t written = 0;           ///< bytes of `head` already written

        [[nodiscard]] bool is_written() const {
            return this->body == nullptr && this->written == this->head.size();
        }
    };

    /// Writes what the socket accepts without blocking: usually the whole response.
    outgoing_response begin_write(connection& conn, const http_response& response, bool close) {
        conn.enter(connection_phase::writing, this->options.write_timeout);
        outgoing_response answer;
        const bool includes_body = response.body.size() <= 4096;
        answer.head.reserve(256 + (includes_body ? response.body.size() : 0));
        if (!append_response_head(answer.head, response, close)) {
            answer.head.clear();
            append_response_head(answer.head, http_response{.status = 500}, true);
            write_log(severity::error, "invalid_response_header");
            return answer;
        }
        if (includes_body) {
            answer.head.append(response.body);
        } else {
            answer.body = &response.body;
        }
        answer.written = includes_body ? conn.stream.write_now(answer.head) : 0;
        return answer;
    }

    io_task<bool> write_rest(connection& conn, const outgoing_response& answer) {
        error_code failure;
        const auto head = asio::buffer(answer.head) + answer.written;
        if (answer.body == nullptr) {
            co_await conn.stream.write(head, failure);
        } else {
            const std::array<asio::const_buffer, 2> parts{head, asio::buffer(*answer.body)};
            co_await conn.stream.write(parts, failure);
        }
        if (failure) {
            this->counters.write_failed.fetch_add(1, std::memory_order_relaxed);
        }
        co_return !failure;
    }

    /// Shuts down the sending direction and discards what the caller still sends, until it closes the
    /// connection or `linger_time` has passed.
    io_task<void> linger(connection& conn) {
        conn.enter(connection_phase::lingering, linger_time);
        conn.expired.store(false);
        conn.interrupt(SHUT_WR);
        error_code failure;
        conn.buffer.clear();
        while (!failure && !conn.expired.load()) {
            co_await conn.stream.read_some(conn.buffer.prepare(read_chunk_bytes), failure);
        }
    }

    void count(read_outcome outcome) {
        auto& counter = outcome == read_outcome::wrong_method     ? this->counters.wrong_method
                        : outcome == read_outcome::slow_sender    ? this->counters.slow_sender
                        : outcome == read_outcome::body_too_large ? this->counters.body_too_large
                        : outcome == read_outcome::head_too_large ? this->counters.head_too_large
                                                                  : this->counters.bad_request;
        counter.fetch_add(1, std::memory_order_relaxed);
    }

    [[nodiscard]] steady::duration idle_limit() const {
        return this->stopping.load() ? steady::duration(this->idle_grace.load())
                                     : steady::duration(this->options.idle_timeout);
    }

    /// Ends connection phases that are past their deadline.
    /// @return false when the server has stopped
    bool sweep() {
        std::vector<std::shared_ptr<connection>> overdue;
        std::vector<std::shared_ptr<connection>> handling;
        {
            const std::lock_guard lock(this->mutex);
            const auto now = steady::now().time_since_epoch().count();
            for (const auto& [number, conn] : this->connections) {
                if (conn->deadline.load(std::memory_order_relaxed) < now) {
                    overdue.push_back(conn);
                }
                if (conn->phase.load(std::memory_order_relaxed) == connection_phase::handling) {
                    handling.push_back(conn);
                }
            }
            if (!this->accepting && this->connections.empty()) {
                return false;
            }
        }
        // Polled, because a pending wait on each socket costs a system call and a wake-up per request.
        for (const auto& conn : handling) {
            conn->check_caller();
        }
        for (const auto& conn : overdue) {
            const auto phase = conn->phase.load(std::memory_order_relaxed);
            if (phase == connection_phase::handling) {
                continue;
            }
            conn->expired.store(true);
            // The sending direction stays open while an error response may still follow.
            const bool may_answer = phase == connection_phase::idle || phase == connection_phase::reading;
            conn->interrupt(may_answer ? SHUT_RD : SHUT_RDWR);
        }
        return true;
    }

    void begin_stop(std::chrono::milliseconds grace) {
        this->idle_grace.store(steady::duration(grace).count());
        {
            // Under the mutex: an accept either starts before the cancellation below or reads the flag.
            const std::lock_guard lock(this->accept_mutex);
            if (this->stopping.exchange(true)) {
                return;
            }
            error_code ignored;
            this->acceptor.cancel(ignored);
        }
        const auto limit = (steady::now() + grace).time_since_epoch().count();
        {
            const std::lock_guard lock(this->mutex);
            for (const auto& [number, conn] : this->connections) {
                if (conn->phase.load(std::memory_order_relaxed) == connection_phase::idle) {
                    conn->deadline.store(limit, std::memory_order_relaxed);
                }
            }
        }
    }

    asio::io_context& context;
    http_server_options options;
    http_handler handler;
    tcp_acceptor acceptor;
    endpoint bound;
    atomic_counters counters;
    std::atomic<bool> stopping{false};
    std::atomic<steady::rep> idle_grace{0};
    std::mutex accept_mutex; ///< guards `acceptor`; taken before `mutex`
    std::mutex mutex; ///< guards the members below; a connection's descriptor_mutex may be taken inside
    std::condition_variable all_closed;
    std::unordered_map<std::uint64_t, std::shared_ptr<connection>> connections;
    std::uint64_t next_number = 0;
    bool accepting = true;
};

result<std::unique_ptr<http_server>> http_server::make(io_threads& threads, http_server_options options,
                                                       http_handler handler) {
    const auto address = to_string(options.address);
    auto state = std::make_shared<impl>(threads, std::move(options), std::move(handler));
    if (const auto failure = state->listen()) {
        return make_error(errc::io_failed, "cannot listen on " + address + ": " + failure.message(),
                          "choose an address of this VM with a free port");
    }
    state->accept_next();
    threads.repeat(sweep_interval, [weak = std::weak_ptr(state)] {
        const auto server = weak.lock();
        return server && server->sweep();
    });
    return std::unique_ptr<http_server>(new http_server(std::move(state)));
}

http_server::~http_server() {
    this->self->begin_stop(std::chrono::milliseconds(0));
}

endpoint http_server::address() const {
    return this->self->bound;
}

void http_server::begin_stop(std::chrono::milliseconds idle_grace) {
    this->self->begin_stop(idle_grace);
}

bool http_server::wait_stopped(std::chrono::milliseconds timeout) {
    std::unique_lock lock(this->self->mutex);
    return this->self->all_closed.wait_for(
        lock, timeout, [&] { return !this->self->accepting && this->self->connections.empty(); });
}

http_server_counters http_server::counters() const {
    const auto& from = this->self->counters;
    http_server_counters copy{.accepted = from.accepted.load(),
                              .requests = from.requests.load(),
                              .bad_request = from.bad_request.load(),
                              .wrong_method = from.wrong_method.load(),
                              .slow_sender = from.slow_sender.load(),
                              .body_too_large = from.body_too_large.load(),
                              .head_too_large = from.head_too_large.load(),
                              .over_capacity = from.over_capacity.load(),
                              .handshake_failed = from.handshake_failed.load(),
                              .write_failed = from.write_failed.load(),
                              .active_requests = from.active_requests.load()};
    const std::lock_guard lock(this->self->mutex);
    copy.open_connections = static_cast<std::int64_t>(this->self->connections.size());
    return copy;
}

} // namespace hornbeamrail
