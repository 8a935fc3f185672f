#include "tanagerhoist/decision/bundle.hpp"
#include "tanagerhoist/settings/ini_reader.hpp"

#include <boost/leaf/handle_errors.hpp>

#include <cstdlib>

namespace
{

namespace leaf = boost::leaf;
using namespace tanagerhoist;

/// Parses `text` and checks that valid settings survive a round trip as a
/// bundle.
leaf::result<void> read(const settings_text& text)
{
    BOOST_LEAF_AUTO(settings, read_settings_texts({text}));
    const auto bundle = make_bundle(std::move(settings));
    if (!open_bundle(bundle.name, bundle.content))
    {
        std::abort();
    }
    return {};
}

} // namespace

/// Fuzzes the parsers of operators' and daemons' settings files. Rejected files
/// must report at least one error.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size)
{
    const settings_text text{
        "fuzz.ini", std::string(reinterpret_cast<const char*>(data), size)};
    leaf::try_handle_all([&] { return read(text); },
                         [](const settings_errors& errors)
                         {
                             if (errors.all.empty())
                             {
                                 std::abort();
                             }
                         },
                         [] { std::abort(); });
    leaf::try_handle_all(
        [&]() -> leaf::result<void>
        {
            BOOST_LEAF_CHECK(read_daemon_settings_text(text));
            return {};
        },
        [] {});
    return 0;
}
