#include "state/byte_codec.hpp"

#include <array>
#include <cstring>
#include <optional>

namespace hornbeamrail {

namespace {

// Tag before a text. Larger values refer to an earlier text.
constexpr std::uint64_t literal_tag = 0;
constexpr std::uint64_t uuid_tag = 1;
constexpr std::uint64_t first_reference = 2;

// Longer texts rarely repeat. Excluding them limits the size of the table of known texts.
constexpr std::size_t longest_known_text = 32;

constexpr std::size_t uuid_text_size = 36;
constexpr std::size_t uuid_size = 16;

int hex_digit(char digit) {
    if (digit >= '0' && digit <= '9') {
        return digit - '0';
    }
    return digit >= 'a' && digit <= 'f' ? digit - 'a' + 10 : -1;
}

bool is_dash_position(std::size_t index) {
    return index == 8 || index == 13 || index == 18 || index == 23;
}

/// @return the 16 bytes of a UUID in lower-case canonical form, or nothing for any other text
std::optional<std::string> pack_uuid(std::string_view text) {
    if (text.size() != uuid_text_size) {
        return std::nullopt;
    }
    std::string packed;
    int high_digit = -1;
    for (std::size_t index = 0; index < text.size(); ++index) {
        if (is_dash_position(index)) {
            if (text[index] != '-') {
                return std::nullopt;
            }
            continue;
        }
        const int digit = hex_digit(text[index]);
        if (digit < 0) {
            return std::nullopt;
        }
        if (high_digit < 0) {
            high_digit = digit;
            continue;
        }
        packed.push_back(static_cast<char>(high_digit * 16 + digit));
        high_digit = -1;
    }
    return packed;
}

std::string unpack_uuid(std::string_view packed) {
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    for (const char byte : packed) {
        if (is_dash_position(text.size())) {
            text.push_back('-');
        }
        const auto value = static_cast<unsigned char>(byte);
        text.push_back(digits[value >> 4U]);
        text.push_back(digits[value & 15U]);
    }
    return text;
}

} // namespace

void byte_writer::unsigned_integer(std::uint64_t value) {
    while (value >= 0x80U) {
        this->output.push_back(static_cast<char>(value | 0x80U));
        value >>= 7U;
    }
    this->output.push_back(static_cast<char>(value));
}

void byte_writer::integer(std::int64_t value) {
    const auto bits = static_cast<std::uint64_t>(value);
    this->unsigned_integer((bits << 1U) ^ static_cast<std::uint64_t>(value >> 63));
}

void byte_writer::number(double value) {
    const auto bits = std::bit_cast<std::uint64_t>(value);
    for (unsigned shift = 0; shift < 64; shift += 8) {
        this->output.push_back(static_cast<char>(bits >> shift));
    }
}

void byte_writer::text(std::string_view value) {
    if (const auto known = this->known_texts.find(value); known != this->known_texts.end()) {
        this->unsigned_integer(known->second + first_reference);
        return;
    }
    if (const auto packed = pack_uuid(value)) {
        this->unsigned_integer(uuid_tag);
        this->output += *packed;
        return;
    }
    this->unsigned_integer(literal_tag);
    this->unsigned_integer(value.size());
    this->output += value;
    if (value.size() <= longest_known_text) {
        this->known_texts.emplace(value, this->known_texts.size());
    }
}

std::string_view byte_reader::take(std::size_t size) {
    if (this->fault || size > this->input.size() - this->position) {
        this->fault = true;
        return {};
    }
    const auto part = this->input.substr(this->position, size);
    this->position += size;
    return part;
}

std::uint64_t byte_reader::unsigned_integer() {
    std::uint64_t value = 0;
    for (unsigned shift = 0; shift < 64; shift += 7) {
        const auto part = this->take(1);
        if (part.empty()) {
            return 0;
        }
        const auto byte = static_cast<unsigned char>(part.front());
        value |= static_cast<std::uint64_t>(byte & 0x7FU) << shift;
        if (byte < 0x80U) {
            return value;
        }
    }
    this->fault = true;
    return 0;
}

std::int64_t byte_reader::integer() {
    const auto value = this->unsigned_integer();
    return static_cast<std::int64_t>((value >> 1U) ^ (~(value & 1U) + 1U));
}

double byte_reader::number() {
    const auto part = this->take(sizeof(std::uint64_t));
    std::uint64_t bits = 0;
    for (std::size_t index = 0; index < part.size(); ++index) {
        bits |= static_cast<std::uint64_t>(static_cast<unsigned char>(part[index])) << (8 * index);
    }
    return std::bit_cast<double>(bits);
}

std::size_t byte_reader::count() {
    const auto value = this->integer();
    if (value < 0 || static_cast<std::uint64_t>(value) > this->input.size() - this->position) {
        this->fault = true;
        return 0;
    }
    return static_cast<std::size_t>(value);
}

std::string byte_reader::text() {
    const auto tag = this->unsigned_integer();
    if (tag == uuid_tag) {
        return unpack_uuid(this->take(uuid_size));
    }
    if (tag >= first_reference) {
        const auto index = tag - first_reference;
        if (index >= this->known_texts.size()) {
            this->fault = true;
            return {};
        }
        return this->known_texts[index];
    }
    std::string value(this->take(this->unsigned_integer()));
    if (!this->fault && value.size() <= longest_known_text) {
        this->known_texts.push_back(value);
    }
    return value;
}

} // namespace hornbeamrail
