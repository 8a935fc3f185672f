#ifndef TANAGERHOIST_SETTINGS_READ_OR_PRINT_HPP
#define TANAGERHOIST_SETTINGS_READ_OR_PRINT_HPP

#include "tanagerhoist/settings/settings_error.hpp"

#include <boost/leaf.hpp>

#include <optional>
#include <ostream>
#include <utility>

namespace tanagerhoist
{

/// Reads settings, or prints all errors in them, a line each. What is done with
/// the settings afterwards is not part of the call, so that its errors are not
/// taken for those of the settings.
/// @param read returns boost::leaf::result<Settings>
template <class Settings, class Read>
std::optional<Settings> read_or_print(Read read, std::ostream& out)
{
    namespace leaf = boost::leaf;
    using outcome = std::optional<Settings>;
    return leaf::try_handle_all(
        [&]() -> leaf::result<outcome>
        {
            BOOST_LEAF_AUTO(settings, read());
            return outcome(std::move(settings));
        },
        [&out](const settings_errors& errors)
        {
            for (const auto& error : errors.all)
            {
                out << to_text(error) << '\n';
            }
            return outcome();
        },
        [&out]
        {
            out << "the settings can't be read\n";
            return outcome();
        });
}

} // namespace tanagerhoist

#endif
