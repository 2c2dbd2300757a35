#pragma once

// Internal to src/transport: includes Asio.

#include "transport/io_types.hpp"

#include <boost/asio/ssl/context.hpp>
#include <boost/asio/ssl/stream.hpp>
#include <boost/asio/write.hpp>

#include <sys/socket.h>

#include <memory>
#include <optional>
#include <string_view>

namespace hornbeamrail {

/// A TCP socket with or without TLS.
class socket_stream {
public:
    /// @param raw an open or closed socket
    /// @param context TLS context, or null for plain TCP
    socket_stream(tcp_socket raw, std::shared_ptr<boost::asio::ssl::context> context)
        : socket(std::move(raw)), tls_context(std::move(context)) {
        if (this->tls_context) {
            this->tls.emplace(this->socket, *this->tls_context);
        }
    }
    socket_stream(const socket_stream&) = delete;
    socket_stream& operator=(const socket_stream&) = delete;

    [[nodiscard]] bool uses_tls() const noexcept { return this->tls.has_value(); }

    io_task<void> handshake(boost::asio::ssl::stream_base::handshake_type side,
                            boost::system::error_code& failure) {
        return this->tls->async_handshake(side, task_with(failure));
    }

    template <class Buffer>
    io_task<std::size_t> read_some(const Buffer& buffer, boost::system::error_code& failure) {
        if (this->tls) {
            return this->tls->async_read_some(buffer, task_with(failure));
        }
        return this->socket.async_read_some(buffer, task_with(failure));
    }

    /// Writes what the socket accepts without blocking, without a pass through the event loop.
    /// @return the number of bytes written; 0 with TLS and on errors, which the next write reports
    std::size_t write_now(std::string_view bytes) noexcept {
        if (this->tls) {
            return 0;
        }
        const auto sent =
            ::send(this->socket.native_handle(), bytes.data(), bytes.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
        return sent > 0 ? static_cast<std::size_t>(sent) : 0;
    }

    /// Writes all bytes of @p buffers.
    /// @return the number of bytes accepted by the operating system or, with TLS, by the TLS layer
    template <class Buffers>
    io_task<std::size_t> write(const Buffers& buffers, boost::system::error_code& failure) {
        if (this->tls) {
            return boost::asio::async_write(*this->tls, buffers, task_with(failure));
        }
        return boost::asio::async_write(this->socket, buffers, task_with(failure));
    }

    /// Ends pending and later operations in the given directions. Safe from another thread while the socket
    /// is open: it uses only the descriptor and does not access the Asio object.
    /// @param direction SHUT_RD, SHUT_WR or SHUT_RDWR
    void interrupt(int direction) noexcept { ::shutdown(this->socket.native_handle(), direction); }

    /// Ends all operations like `interrupt`, and makes the close of the socket discard what was written and
    /// not delivered. Otherwise the system delivers it when the link works again, which may be seconds later.
    void abort() noexcept {
        const linger discard{.l_onoff = 1, .l_linger = 0};
        ::setsockopt(this->socket.native_handle(), SOL_SOCKET, SO_LINGER, &discard, sizeof discard);
        this->interrupt(SHUT_RDWR);
    }

    /// @return whether an idle connection can be reused: it is not closed and has no unread data
    [[nodiscard]] bool is_reusable() noexcept {
        char byte = 0;
        const auto bytes_read = ::recv(this->socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return bytes_read < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
    }

    tcp_socket socket;

private:
    std::shared_ptr<boost::asio::ssl::context> tls_context;
    std::optional<boost::asio::ssl::stream<tcp_socket&>> tls;
};

} // namespace hornbeamrail
