#pragma once

#include "hornbeamrail/error.hpp"
#include "hornbeamrail/node_settings.hpp"

#include <memory>
#include <mutex>

namespace boost::asio::ssl {
class context;
}

namespace hornbeamrail {

/// Which side of a TLS connection an identity is for, and whether the other side must show a certificate.
enum class tls_role {
    server,        ///< clients need no certificate
    mutual_server, ///< clients must show a certificate signed by the CA
    mutual_client, ///< shows its certificate and requires one signed by the CA
};

/// A TLS identity whose certificates can be re-read while connections are open. Connections made after
/// `reload()` use the new files; open ones keep the old. Thread-safe.
class tls_settings {
public:
    /// @return the identity, or `errc::io_failed` when a file is unreadable or does not match the others
    static result<std::shared_ptr<tls_settings>> make(tls_files files, tls_role role);

    /// Reads the files again. On failure the identity in use stays.
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
