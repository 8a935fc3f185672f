#ifndef TANAGERHOIST_STANDIN_BASE64_HPP
#define TANAGERHOIST_STANDIN_BASE64_HPP

#include <boost/beast/core/detail/base64.hpp>

#include <string>
#include <string_view>

namespace tanagerhoist::standin
{

/// Encodes the value of a row as the store's calls carry it.
inline std::string encode_bytes(const std::string& bytes)
{
    namespace base64 = boost::beast::detail::base64;
    std::string text(base64::encoded_size(bytes.size()), '\0');
    text.resize(base64::encode(text.data(), bytes.data(), bytes.size()));
    return text;
}

/// Decodes the value of a row.
inline std::string decode_bytes(std::string_view text)
{
    namespace base64 = boost::beast::detail::base64;
    std::string bytes(base64::decoded_size(text.size()), '\0');
    bytes.resize(base64::decode(bytes.data(), text.data(), text.size()).first);
    return bytes;
}

} // namespace tanagerhoist::standin

#endif
