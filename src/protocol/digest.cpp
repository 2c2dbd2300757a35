#include "protocol/digest.hpp"

#include <openssl/evp.h>
#include <openssl/rand.h>

#include <boost/uuid/random_generator.hpp>
#include <boost/uuid/uuid_io.hpp>

#include <array>
#include <memory>
#include <vector>

namespace hornbeamrail {

namespace {

std::string to_hex(const unsigned char* bytes, std::size_t count) {
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    text.reserve(2 * count);
    for (std::size_t index = 0; index < count; ++index) {
        text.push_back(digits[bytes[index] >> 4]);
        text.push_back(digits[bytes[index] & 15]);
    }
    return text;
}

const unsigned char* as_bytes(std::string_view text) {
    return reinterpret_cast<const unsigned char*>(text.data());
}

} // namespace

std::string sha256_hex(std::string_view bytes) {
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int size = 0;
    // Fetching the algorithm and creating a context cost more than hashing a key, so both are cached.
    static EVP_MD* const algorithm = EVP_MD_fetch(nullptr, "SHA256", nullptr);
    thread_local const std::unique_ptr<EVP_MD_CTX, decltype(&EVP_MD_CTX_free)> context(EVP_MD_CTX_new(),
                                                                                       &EVP_MD_CTX_free);
    if (EVP_DigestInit_ex2(context.get(), algorithm, nullptr) != 1 ||
        EVP_DigestUpdate(context.get(), bytes.data(), bytes.size()) != 1 ||
        EVP_DigestFinal_ex(context.get(), digest.data(), &size) != 1) {
        return {};
    }
    return to_hex(digest.data(), size);
}

std::string random_hex(std::size_t count) {
    std::vector<unsigned char> bytes(count);
    if (RAND_bytes(bytes.data(), static_cast<int>(count)) != 1) {
        return {};
    }
    return to_hex(bytes.data(), count);
}

std::string random_uuid() {
    thread_local boost::uuids::random_generator generator;
    return boost::uuids::to_string(generator());
}

std::string base64_encode(std::string_view bytes) {
    std::string text(4 * ((bytes.size() + 2) / 3) + 1, '\0');
    const int size = EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()), as_bytes(bytes),
                                     static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(size));
    return text;
}

std::string base64_decode(std::string_view text) {
    if (text.size() % 4 != 0) {
        return {};
    }
    std::string bytes(3 * (text.size() / 4), '\0');
    const int size = EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()), as_bytes(text),
                                     static_cast<int>(text.size()));
    if (size < 0) {
        return {};
    }
    std::size_t padding = 0;
    while (padding < 2 && padding < text.size() && text[text.size() - 1 - padding] == '=') {
        ++padding;
    }
    bytes.resize(static_cast<std::size_t>(size) - padding);
    // EVP_DecodeBlock accepts misplaced '=' and whitespace, so the result is encoded again and compared.
    return base64_encode(bytes) == text ? bytes : std::string();
}

} // namespace hornbeamrail
