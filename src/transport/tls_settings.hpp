#pragma once

#include "hornbeamrail/error.hpp"
#include "hornbeamrail/node_settings.hpp"

#include <memory>
#include <mutex>

namespace boost::asio::ssl {
class context;
}

namespace hornbeamrail {

/// Side of a TLS connection that an identity is used for, and whether the peer must present a certificate.
enum class tls_role {
    server,        ///< clients need no certificate
    mutual_server, ///< clients must present a certificate signed by the CA
    mutual_client, ///< presents its certificate and requires one signed by the CA
};

/// A TLS identity whose certificates can be reloaded while connections are open. Connections opened after
/// `reload()` use the new files; existing ones keep the old. Thread-safe.
class tls_settings {
public:
    /// @return the identity, or `errc::io_failed` when a file is unreadable or does not match the others
    static result<std::shared_ptr<tls_settings>> make(tls_files files, tls_role role);

    /// Reads the files again. On failure the current identity stays in use.
    /// @return `errc::io_failed` when a file is unreadable or does not match the others
    result<void> reload();

    /// @return the context for a new connection
    [[nodiscard]] std::shared_ptr<boost::asio::ssl::context> context() const;

private:
    tls_settings(tls_files paths, tls_role side) : files(std::move(paths)), role(side) {}

    tls_files files;
    tls_role role;
    mutable std::mutex mutex; ///< guards `current`; leaf lock
    std::shared_ptr<boost::asio::ssl::context> current;
};

} // namespace hornbeamrail
