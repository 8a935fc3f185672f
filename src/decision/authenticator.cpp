#include "tanagerhoist/decision/authenticator.hpp"

#include "tanagerhoist/decision/hash.hpp"

namespace tanagerhoist
{
namespace
{

/// Placeholder for an unknown key, so that an unknown id costs a hash too.
const proto::KeySettings& unknown_key()
{
    static const proto::KeySettings key;
    return key;
}

/// Whether `secret` matches the published hash of `key`.
bool matches(const proto::KeySettings& key, std::string_view secret)
{
    const auto salt = from_hex(key.salt());
    const auto published = from_hex(key.hash());
    const std::string actual = sha256(salt.value_or("").append(secret));
    return salt.has_value() && published.has_value() &&
           equal_in_constant_time(*published, actual);
}

} // namespace

std::string key_hash(std::string_view salt, std::string_view secret)
{
    return to_hex(sha256(std::string(salt).append(secret)));
}

authentication authenticate(const settings_view& view,
                            std::string_view presented)
{
    if (presented.empty())
    {
        return {result_code::key_missing, {}};
    }
    const std::size_t dot = presented.find('.');
    if (dot == std::string_view::npos)
    {
        return {result_code::key_unknown, {}};
    }
    const auto* found = view.key(presented.substr(0, dot));
    const proto::KeySettings& key = found ? *found : unknown_key();
    if (!matches(key, presented.substr(dot + 1)))
    {
        return {result_code::key_unknown, {}};
    }
    if (is_yes(key.withdrawn()))
    {
        return {result_code::key_withdrawn, {}};
    }
    authentication result{result_code::ok, {}};
    result.principal.set_key_id(key.name());
    result.principal.set_workspace(key.workspace());
    result.principal.set_key_hash(key.hash());
    return result;
}

bool still_valid(const settings_view& view, const proto::Principal& principal)
{
    const auto* key = view.key(principal.key_id());
    return key != nullptr && !is_yes(key->withdrawn()) &&
           key->workspace() == principal.workspace() &&
           key->hash() == principal.key_hash();
}

} // namespace tanagerhoist
