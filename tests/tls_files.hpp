#pragma once

#include "hornbeamrail/node_settings.hpp"

#include <boost/test/unit_test.hpp>

#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/x509.h>

#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <memory>
#include <string>

namespace hornbeamrail {

/// A temporary folder, removed by the destructor.
class test_directory {
public:
    test_directory() {
        auto pattern = (std::filesystem::temp_directory_path() / "hornbeamrail-XXXXXX").string();
        BOOST_REQUIRE(::mkdtemp(pattern.data()) != nullptr);
        this->root = pattern;
    }
    ~test_directory() { std::filesystem::remove_all(this->root); }
    test_directory(const test_directory&) = delete;
    test_directory& operator=(const test_directory&) = delete;

    [[nodiscard]] std::string file(const std::string& name) const { return (this->root / name).string(); }

    /// Copies the files of an identity into this folder, replacing existing ones.
    /// @return the paths of the copies
    tls_files copy_files(const tls_files& from) const {
        const auto replace = std::filesystem::copy_options::overwrite_existing;
        tls_files copies{this->file("cert.pem"), this->file("key.pem"), this->file("ca.pem")};
        std::filesystem::copy_file(from.certificate, copies.certificate, replace);
        std::filesystem::copy_file(from.private_key, copies.private_key, replace);
        std::filesystem::copy_file(from.ca, copies.ca, replace);
        return copies;
    }

    /// Replaces the contents of a file by an invalid certificate.
    static void corrupt(const std::string& path) {
        std::ofstream(path, std::ios::trunc) << "not a certificate";
    }

private:
    std::filesystem::path root;
};

/// A self-signed certificate authority whose certificate is also the identity of every process of its site.
class test_authority {
public:
    explicit test_authority(const std::string& name) {
        const std::unique_ptr<EVP_PKEY, decltype(&EVP_PKEY_free)> key(EVP_EC_gen("P-256"), &EVP_PKEY_free);
        const std::unique_ptr<X509, decltype(&X509_free)> certificate(X509_new(), &X509_free);
        X509_set_version(certificate.get(), 2);
        ASN1_INTEGER_set(X509_get_serialNumber(certificate.get()), 1);
        X509_gmtime_adj(X509_getm_notBefore(certificate.get()), -3600);
        X509_gmtime_adj(X509_getm_notAfter(certificate.get()), 86400);
        X509_set_pubkey(certificate.get(), key.get());
        auto* subject = X509_get_subject_name(certificate.get());
        X509_NAME_add_entry_by_txt(subject, "CN", MBSTRING_ASC,
                                   reinterpret_cast<const unsigned char*>(name.c_str()), -1, -1, 0);
        X509_set_issuer_name(certificate.get(), subject);
        BOOST_REQUIRE(X509_sign(certificate.get(), key.get(), EVP_sha256()) > 0);
        this->write("cert.pem", [&](FILE* file) { PEM_write_X509(file, certificate.get()); });
        this->write("key.pem", [&](FILE* file) {
            PEM_write_PrivateKey(file, key.get(), nullptr, nullptr, 0, nullptr, nullptr);
        });
    }

    [[nodiscard]] tls_files files() const {
        return {this->directory.file("cert.pem"), this->directory.file("key.pem"),
                this->directory.file("cert.pem")};
    }

private:
    template <class Writer>
    void write(const std::string& name, Writer&& writer) {
        const std::unique_ptr<FILE, decltype(&std::fclose)> file(
            std::fopen(this->directory.file(name).c_str(), "w"), &std::fclose);
        BOOST_REQUIRE(file != nullptr);
        writer(file.get());
    }

    test_directory directory;
};

} // namespace hornbeamrail
