#include "tanagerhoist/decision/hash.hpp"

#include <openssl/crypto.h>
#include <openssl/sha.h>

#include <array>

namespace tanagerhoist
{
namespace
{

constexpr std::string_view hex_digits = "0123456789abcdef";

/// Value of one hexadecimal digit, or -1.
int digit_value(char c) noexcept
{
    if (c >= '0' && c <= '9')
    {
        return c - '0';
    }
    if (c >= 'a' && c <= 'f')
    {
        return c - 'a' + 10;
    }
    return c >= 'A' && c <= 'F' ? c - 'A' + 10 : -1;
}

} // namespace

std::string sha256(std::string_view data)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
    SHA256(reinterpret_cast<const unsigned char*>(data.data()), data.size(),
           digest.data());
    return {digest.begin(), digest.end()};
}

std::string to_hex(std::string_view bytes)
{
    std::string digits;
    digits.reserve(bytes.size() * 2);
    for (const char c : bytes)
    {
        const auto byte = static_cast<unsigned char>(c);
        digits += hex_digits[byte >> 4U];
        digits += hex_digits[byte & 0x0fU];
    }
    return digits;
}

std::optional<std::string> from_hex(std::string_view digits)
{
    if (digits.size() % 2 != 0)
    {
        return std::nullopt;
    }
    std::string bytes;
    bytes.reserve(digits.size() / 2);
    for (std::size_t i = 0; i < digits.size(); i += 2)
    {
        const int high = digit_value(digits[i]);
        const int low = digit_value(digits[i + 1]);
        if (high < 0 || low < 0)
        {
            return std::nullopt;
        }
        bytes += static_cast<char>(high * 16 + low);
    }
    return bytes;
}

bool equal_in_constant_time(std::string_view a, std::string_view b) noexcept
{
    return a.size() == b.size() &&
           CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

} // namespace tanagerhoist
