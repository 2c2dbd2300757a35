#pragma once

#include <cstdint>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace hornbeamrail {

/// A decoder of bytes from outside the process, for robustness tests.
struct fuzz_target {
    std::string_view name;
    /// Decodes @p bytes. The decoder may reject them but must not throw or crash. When it accepts them, the
    /// value is encoded, decoded again and compared.
    /// @param accepted set to whether the decoder accepted the bytes
    /// @return empty, or a description of the fault
    std::string (*read)(std::string_view bytes, bool& accepted);
    /// @return valid inputs to mutate
    const std::vector<std::string>& (*seeds)();
};

/// @return the decoders of settings, fleet configurations, log records, request ids, peer messages, snapshots
/// and answers of the platform
std::span<const fuzz_target> fuzz_targets();

/// Changes @p bytes in one to eight places: flips bits, or deletes, repeats or inserts bytes or JSON tokens.
std::string mutate_bytes(std::string bytes, std::mt19937_64& generator);

/// Replaces, removes or repeats one random value of a JSON document.
/// @return the changed document, or @p bytes when they are not valid JSON
std::string mutate_json(const std::string& bytes, std::mt19937_64& generator);

/// @return up to @p max_size random bytes
std::string random_bytes(std::size_t max_size, std::mt19937_64& generator);

/// Runs one case with random bytes, mutated bytes or a mutated JSON document.
/// @param input set to the bytes that were decoded
/// @return empty, or a description of the fault
std::string run_fuzz_case(const fuzz_target& target, std::mt19937_64& generator, std::string& input);

} // namespace hornbeamrail
