#pragma once

#include <string>
#include <string_view>

namespace hornbeamrail {

/// @return SHA-256 of @p bytes in lower-case hex (64 characters)
std::string sha256_hex(std::string_view bytes);

/// @return @p count random bytes from OpenSSL in lower-case hex; empty when the generator failed
std::string random_hex(std::size_t count);

/// @return a random UUID (version 4) in its usual text form
std::string random_uuid();

std::string base64_encode(std::string_view bytes);

/// @return the bytes, or an empty string when @p text is not base64
std::string base64_decode(std::string_view text);

} // namespace hornbeamrail
