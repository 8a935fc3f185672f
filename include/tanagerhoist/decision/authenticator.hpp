#ifndef TANAGERHOIST_DECISION_AUTHENTICATOR_HPP
#define TANAGERHOIST_DECISION_AUTHENTICATOR_HPP

#include "messages.pb.h"
#include "tanagerhoist/core/result_code.hpp"
#include "tanagerhoist/decision/settings_view.hpp"

#include <string>
#include <string_view>

namespace tanagerhoist
{

/// What a presented key proved. `principal` is set only when `code` is ok.
struct authentication
{
    result_code code = result_code::key_missing;
    proto::Principal principal;
};

/// Published hash of a secret: SHA-256 of the salt's bytes followed by the
/// secret, as lower-case hexadecimal digits.
/// @param salt raw bytes
std::string key_hash(std::string_view salt, std::string_view secret);

/// Checks a key of the form `KEYID.SECRET` against the published hashes. The
/// key itself is not kept; the principal holds only the hash that it matched.
///
/// An unknown id and a wrong secret give the same answer, key_unknown, so that
/// key ids cannot be probed. Only the holder of the secret learns that a key
/// was withdrawn.
authentication authenticate(const settings_view& view,
                            std::string_view presented);

/// Whether a principal found earlier would still be let in: its key is there,
/// acts for the same workspace, has the same hash and is not withdrawn. Run
/// again before dispatch, since settings may have changed while it waited.
bool still_valid(const settings_view& view, const proto::Principal& principal);

} // namespace tanagerhoist

#endif
