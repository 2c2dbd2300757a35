#include "transport/peer_client.hpp"

#include "transport/call_pool.hpp"
#include "transport/frame_stream.hpp"
#include "transport/thrift_frame.hpp"

namespace hornbeamrail {

using boost::system::error_code;

namespace {

struct pending_peer_call {
    endpoint target;
    std::chrono::steady_clock::time_point deadline;
    std::string frame;
    peer_client::callback done;
    std::optional<wire::PeerResponse> answer;
    std::string failure;

    void fail_unsent(std::string reason) { this->failure = std::move(reason); }
    void complete() { this->done(std::move(this->answer), std::move(this->failure)); }

    io_task<bool> exchange(socket_stream& stream, boost::beast::flat_buffer&) {
        error_code write_error;
        co_await stream.write(boost::asio::buffer(this->frame), write_error);
        if (write_error) {
            this->failure = "cannot write: " + write_error.message();
            co_return false;
        }
        const auto body = co_await read_frame(stream, this->failure);
        if (body.empty()) {
            co_return false;
        }
        error decode_error;
        this->answer = value_or_error([&] { return decode_peer_response(body); }, decode_error);
        if (!this->answer) {
            this->failure = decode_error.message;
        }
        co_return this->answer.has_value();
    }
};

} // namespace

struct peer_client::impl {
    std::shared_ptr<detail::call_pool<pending_peer_call>> pool;
};

peer_client::peer_client(io_threads& threads, peer_client_options options) : self(std::make_shared<impl>()) {
    this->self->pool = std::make_shared<detail::call_pool<pending_peer_call>>(
        threads, detail::call_pool_options{.max_connections = options.max_connections,
                                           .max_waiting = options.max_waiting,
                                           .buffer_bytes = 1024,
                                           .idle_timeout = options.idle_timeout,
                                           .tls = std::move(options.tls)});
    this->self->pool->start();
}

peer_client::~peer_client() = default;

void peer_client::call(const endpoint& peer, const wire::PeerRequest& request,
                       std::chrono::milliseconds timeout, callback done) {
    error encode_error;
    auto frame = value_or_error([&] { return encode_frame(request); }, encode_error);
    if (!frame) {
        done(std::nullopt, encode_error.message);
        return;
    }
    auto pending = std::make_shared<pending_peer_call>();
    pending->target = peer;
    pending->deadline = std::chrono::steady_clock::now() + timeout;
    pending->frame = std::move(*frame);
    pending->done = std::move(done);
    this->self->pool->submit(std::move(pending));
}

} // namespace hornbeamrail
