#pragma once

#include <bit>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace hornbeamrail {

/// Encodes values in a compact byte string: integers with a variable length, repeated short texts as
/// references to their first occurrence, UUIDs in 16 bytes.
class byte_writer {
public:
    void integer(std::int64_t value);
    void number(double value);
    void text(std::string_view value);

    [[nodiscard]] const std::string& bytes() const noexcept { return this->output; }

private:
    void unsigned_integer(std::uint64_t value);

    std::string output;
    std::map<std::string, std::uint64_t, std::less<>> known_texts;
};

/// Decodes the output of `byte_writer`. After an error `failed()` is true and every value is zero or empty.
class byte_reader {
public:
    /// @param bytes must outlive the reader
    explicit byte_reader(std::string_view bytes) : input(bytes) {}

    std::int64_t integer();
    double number();
    std::string text();
    /// @return a number of elements; an error when it exceeds the remaining bytes, so that a corrupt count
    ///     cannot cause a large allocation
    std::size_t count();

    [[nodiscard]] bool failed() const noexcept { return this->fault; }
    [[nodiscard]] bool at_end() const noexcept { return this->position == this->input.size(); }

private:
    std::uint64_t unsigned_integer();
    std::string_view take(std::size_t size);

    std::string_view input;
    std::size_t position = 0;
    bool fault = false;
    std::vector<std::string> known_texts;
};

} // namespace hornbeamrail
