#include "transport/peer_server.hpp"

#include "protocol/json_log.hpp"
#include "transport/frame_stream.hpp"
#include "transport/io_types.hpp"
#include "transport/thrift_frame.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <atomic>
#include <mutex>
#include <unordered_set>
#include <vector>

namespace hornbeamrail {

namespace asio = boost::asio;
using boost::system::error_code;
using steady = std::chrono::steady_clock;

namespace {

struct peer_connection {
    peer_connection(tcp_socket socket, std::shared_ptr<asio::ssl::context> context)
        : stream(std::move(socket), std::move(context)) {}

    void expire_after(steady::duration limit) {
        this->deadline.store((steady::now() + limit).time_since_epoch().count(), std::memory_order_relaxed);
    }

    socket_stream stream;
    std::atomic<steady::rep> deadline{0};
};

} // namespace

struct peer_server::impl : std::enable_shared_from_this<peer_server::impl> {
    impl(io_threads& io, peer_server_options settings, peer_handler function)
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
        // SO_REUSEADDR allows a bind while connections of an ended process are in TIME_WAIT. The address
        // stays exclusive: even with the option, Linux rejects a second bind while a socket listens on it.
        this->acceptor.set_option(asio::socket_base::reuse_address(true), failure);
        if (this->acceptor.bind(local, failure); failure) {
            return failure;
        }
        this->acceptor.listen(asio::socket_base::max_listen_connections, failure);
        this->bound = {this->options.address.address, this->acceptor.local_endpoint().port()};
        return failure;
    }

    void accept_next() {
        const std::lock_guard lock(this->mutex);
        if (this->stopping) {
            error_code ignored;
            this->acceptor.close(ignored);
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
            this->accept_next();
            return;
        }
        const auto pause = std::make_shared<io_timer>(this->context, std::chrono::milliseconds(50));
        pause->async_wait(
            [self = this->shared_from_this(), pause](const error_code&) { self->accept_next(); });
    }

    void admit(tcp_socket socket) {
        error_code ignored;
        socket.set_option(asio::ip::tcp::no_delay(true), ignored);
        this->accepted.fetch_add(1);
        const auto admitted = std::make_shared<peer_connection>(
            std::move(socket), this->options.tls ? this->options.tls->context() : nullptr);
        admitted->expire_after(this->options.idle_timeout);
        {
            const std::lock_guard lock(this->mutex);
            if (this->stopping || this->connections.size() >= this->options.max_connections) {
                this->over_capacity.fetch_add(1);
                return;
            }
            this->connections.insert(admitted);
        }
        asio::co_spawn(this->context.get_executor(), this->serve(admitted), asio::detached);
    }

    io_task<void> serve(std::shared_ptr<peer_connection> peer) {
        const auto self = this->shared_from_this();
        try {
            if (co_await this->handshake(*peer)) {
                while (co_await this->serve_one(*peer)) {
                }
            }
        } catch (const std::exception& failure) {
            write_log(severity::error, "peer_connection_failed", {{"reason", failure.what()}});
        }
        const std::lock_guard lock(this->mutex);
        this->connections.erase(peer);
        error_code ignored;
        peer->stream.socket.close(ignored); // under the mutex: the sweep uses the descriptor
    }

    io_task<bool> handshake(peer_connection& peer) {
        if (!peer.stream.uses_tls()) {
            co_return true;
        }
        peer.expire_after(this->options.frame_timeout);
        error_code failure;
        co_await peer.stream.handshake(asio::ssl::stream_base::server, failure);
        if (failure) {
            this->handshake_failed.fetch_add(1);
            write_log(severity::warning, "peer_handshake_failed", {{"reason", failure.message()}});
        }
        co_return !failure;
    }

    io_task<bool> serve_one(peer_connection& peer) {
        peer.expire_after(this->options.idle_timeout);
        std::string read_failure;
        const auto body = co_await read_frame(peer.stream, read_failure);
        if (body.empty()) {
            this->malformed.fetch_add(read_failure.empty() ? 0 : 1);
            co_return false;
        }
        const auto frame = this->handle_frame(body);
        if (frame.empty()) {
            co_return false;
        }
        peer.expire_after(this->options.frame_timeout);
        error_code failure;
        co_await peer.stream.write(asio::buffer(frame), failure);
        co_return !failure;
    }

    /// @return the frame of the response, or "" when there is none: the connection is then closed
    std::string handle_frame(const std::string& body) {
        error message_error;
        const auto request = value_or_error([&] { return decode_peer_request(body); }, message_error);
        if (!request) {
            this->malformed.fetch_add(1);
            write_log(severity::warning, "malformed_peer_request", {{"reason", message_error.message}});
            return "";
        }
        this->requests.fetch_add(1);
        auto frame = value_or_error([&] { return encode_frame(this->handler(*request)); }, message_error);
        if (!frame) {
            write_log(severity::error, "peer_answer_failed", {{"reason", message_error.message}});
            return "";
        }
        return std::move(*frame);
    }

    /// Interrupts connections that are past their deadline.
    /// @return false when the server has stopped
    bool sweep() {
        const std::lock_guard lock(this->mutex);
        const auto now = steady::now().time_since_epoch().count();
        for (const auto& peer : this->connections) {
            if (peer->deadline.load(std::memory_order_relaxed) < now) {
                peer->stream.interrupt(SHUT_RDWR);
            }
        }
        return !this->stopping || !this->connections.empty();
    }

    void stop() {
        const std::lock_guard lock(this->mutex);
        this->stopping = true;
        error_code ignored;
        this->acceptor.cancel(ignored);
        for (const auto& peer : this->connections) {
            peer->stream.interrupt(SHUT_RD); // a response in progress can still be written
        }
    }

    asio::io_context& context;
    peer_server_options options;
    peer_handler handler;
    tcp_acceptor acceptor;
    endpoint bound;
    std::atomic<std::int64_t> accepted{0}, requests{0}, malformed{0}, handshake_failed{0}, over_capacity{0};
    std::mutex mutex; ///< guards the members below and `acceptor`; leaf lock
    std::unordered_set<std::shared_ptr<peer_connection>> connections;
    bool stopping = false;
};

result<std::unique_ptr<peer_server>> peer_server::make(io_threads& threads, peer_server_options options,
                                                       peer_handler handler) {
    const auto address = to_string(options.address);
    auto state = std::make_shared<impl>(threads, std::move(options), std::move(handler));
    if (const auto failure = state->listen()) {
        return make_error(errc::io_failed, "cannot listen on " + address + ": " + failure.message(),
                          "choose an address of this VM with a free port");
    }
    state->accept_next();
    threads.repeat(std::chrono::milliseconds(100), [weak = std::weak_ptr(state)] {
        const auto server = weak.lock();
        return server && server->sweep();
    });
    return std::unique_ptr<peer_server>(new peer_server(std::move(state)));
}

peer_server::~peer_server() {
    this->stop();
}

endpoint peer_server::address() const {
    return this->self->bound;
}

void peer_server::stop() {
    this->self->stop();
}

peer_server_counters peer_server::counters() const {
    return {.accepted = this->self->accepted.load(),
            .requests = this->self->requests.load(),
            .malformed = this->self->malformed.load(),
            .handshake_failed = this->self->handshake_failed.load(),
            .over_capacity = this->self->over_capacity.load()};
}

} // namespace hornbeamrail
