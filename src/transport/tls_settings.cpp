#include "transport/tls_settings.hpp"

#include <boost/asio/ssl/context.hpp>

namespace hornbeamrail {

namespace ssl = boost::asio::ssl;

namespace {

result<std::shared_ptr<ssl::context>> load(const tls_files& files, tls_role role) {
    auto context = std::make_shared<ssl::context>(ssl::context::tls);
    boost::system::error_code failure;
    std::string failed_path;
    const auto run_step = [&](const std::string& path, auto&& action) {
        if (!failure) {
            action();
            if (failure) {
                failed_path = path;
            }
        }
    };
    run_step("options", [&] {
        context->set_options(ssl::context::default_workarounds | ssl::context::no_sslv2 |
                                 ssl::context::no_sslv3 | ssl::context::no_tlsv1 | ssl::context::no_tlsv1_1,
                             failure);
    });
    run_step(files.certificate, [&] { context->use_certificate_chain_file(files.certificate, failure); });
    run_step(files.private_key,
             [&] { context->use_private_key_file(files.private_key, ssl::context::pem, failure); });
    run_step(files.ca, [&] { context->load_verify_file(files.ca, failure); });
    run_step("verify mode", [&] {
        const auto mode =
            role == tls_role::server ? ssl::verify_none : ssl::verify_peer | ssl::verify_fail_if_no_peer_cert;
        context->set_verify_mode(mode, failure);
    });
    if (failure) {
        return make_error(
            errc::io_failed, "cannot load TLS file " + failed_path + ": " + failure.message(),
            "check that the file is readable PEM and that the private key matches the certificate");
    }
    return context;
}

} // namespace

result<std::shared_ptr<tls_settings>> tls_settings::make(tls_files files, tls_role role) {
    std::shared_ptr<tls_settings> settings(new tls_settings(std::move(files), role));
    BOOST_LEAF_CHECK(settings->reload());
    return settings;
}

result<void> tls_settings::reload() {
    BOOST_LEAF_AUTO(loaded, load(this->files, this->role));
    const std::lock_guard lock(this->mutex);
    this->current = std::move(loaded);
    return {};
}

std::shared_ptr<ssl::context> tls_settings::context() const {
    const std::lock_guard lock(this->mutex);
    return this->current;
}

} // namespace hornbeamrail
