#pragma once

#include <cstdint>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace hornbeamrail {

/// A reader of bytes from outside the process, for robustness tests.
struct fuzz_target {
    std::string_view name;
    /// Reads @p bytes; may reject them but must not throw or crash. When it accepts them, the encoded form of
    /// the value is decoded again and compared.
    /// @param accepted receives whether the reader took the bytes
    /// @return empty, or what was wrong
    std::string (*read)(std::string_view bytes, bool& accepted);
    /// @return valid inputs to mutate
    const std::vector<std::string>& (*seeds)();
};

/// @return the readers of settings, fleet texts, log records, request ids, peer messages, snapshots and
/// answers of the platform
std::span<const fuzz_target> fuzz_targets();

/// Changes @p bytes in one to eight places: flips, deletes, repeats, or inserts bytes or JSON tokens.
std::string mutate_bytes(std::string bytes, std::mt19937_64& generator);

/// Replaces or removes one value at a random place of a JSON document; other bytes are returned unchanged.
std::string mutate_json(const std::string& bytes, std::mt19937_64& generator);

/// @return up to @p max_size random bytes
std::string random_bytes(std::size_t max_size, std::mt19937_64& generator);

/// Runs one case: random bytes, mutated bytes or a mutated document.
/// @param input receives the bytes that were read
/// @return empty, or what was wrong
std::string run_fuzz_case(const fuzz_target& target, std::mt19937_64& generator, std::string& input);

} // namespace hornbeamrail
