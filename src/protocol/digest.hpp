#pragma once

#include <string>
#include <string_view>

namespace hornbeamrail {

/// @return the SHA-256 of @p bytes as 64 lower-case hexadecimal digits; empty when OpenSSL reports an error
std::string sha256_hex(std::string_view bytes);

/// @param count number of random bytes
/// @return random bytes from OpenSSL as lower-case hexadecimal digits; empty when the generator failed
std::string random_hex(std::size_t count);

/// @return a random UUID (version 4) in its canonical text form
std::string random_uuid();

/// @return @p bytes in padded base64 on one line
std::string base64_encode(std::string_view bytes);

/// @return the decoded bytes, or an empty string when @p text is not canonical padded base64
std::string base64_decode(std::string_view text);

} // namespace hornbeamrail
