#ifndef TANAGERHOIST_DECISION_AUTHENTICATOR_HPP
#define TANAGERHOIST_DECISION_AUTHENTICATOR_HPP

#include "messages.pb.h"
#include "tanagerhoist/core/result_code.hpp"
#include "tanagerhoist/decision/settings_view.hpp"

#include <string>
#include <string_view>

namespace tanagerhoist
{

/// Result of checking a key. `principal` is set only when `code` is ok.
struct authentication
{
    result_code code = result_code::key_missing;
    proto::Principal principal;
};

/// Computes the published hash of a secret: SHA-256 of the salt followed by
/// the secret, in lower-case hexadecimal.
/// @param salt raw bytes
std::string key_hash(std::string_view salt, std::string_view secret);

/// Checks a key of the form `KEYID.SECRET` against the published hashes. The
/// secret is not stored; the principal holds only the hash that it matched.
///
/// An unknown id and a wrong secret both return key_unknown, so that key ids
/// cannot be enumerated. key_withdrawn is returned only for a correct secret.
authentication authenticate(const settings_view& view,
                            std::string_view presented);

/// Whether an authenticated principal is still valid: its key exists, belongs
/// to the same workspace, has the same hash and is not withdrawn. Checked again
/// before dispatch, since settings may change while a request is queued.
bool still_valid(const settings_view& view, const proto::Principal& principal);

} // namespace tanagerhoist

#endif
