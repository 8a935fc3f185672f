#include "tanagerhoist/decision/authenticator.hpp"

#include "tanagerhoist/decision/hash.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace tanagerhoist
{
namespace
{

constexpr char salt[] = "00ff10";

/// Settings with one workspace and one key "k1" with secret `secret`.
proto::Settings one_key(const std::string& secret,
                        const std::string& withdrawn = "no")
{
    proto::Settings settings;
    settings.add_workspace()->set_name("murphy");
    auto& key = *settings.add_key();
    key.set_name("k1");
    key.set_workspace("murphy");
    key.set_salt(salt);
    key.set_hash(key_hash(*from_hex(salt), secret));
    key.set_withdrawn(withdrawn);
    return settings;
}

result_code code_of(const proto::Settings& settings, std::string_view key)
{
    const settings_view view(settings);
    return authenticate(view, key).code;
}

} // namespace

class authenticator_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(authenticator_test);
    CPPUNIT_TEST(sha256_matches_test_vector);
    CPPUNIT_TEST(from_hex_invalid_digits_returns_empty);
    CPPUNIT_TEST(authenticate_right_key_gives_principal_without_secret);
    CPPUNIT_TEST(authenticate_wrong_keys_are_unknown);
    CPPUNIT_TEST(authenticate_withdrawn_key_requires_correct_secret);
    CPPUNIT_TEST(authenticate_key_with_empty_hash_is_unknown);
    CPPUNIT_TEST(still_valid_follows_withdrawal_and_replacement);
    CPPUNIT_TEST(view_absent_names_give_null);
    CPPUNIT_TEST(view_servers_of_sorted_by_name);
    CPPUNIT_TEST_SUITE_END();

public:
    void sha256_matches_test_vector()
    {
        // Test vector of FIPS 180-2 for "abc".
        CPPUNIT_ASSERT_EQUAL(std::string("ba7816bf8f01cfea414140de5dae2223"
                                         "b00361a396177a9cb410ff61f20015ad"),
                             to_hex(sha256("abc")));
    }

    void from_hex_invalid_digits_returns_empty()
    {
        CPPUNIT_ASSERT(!from_hex("abc"));
        CPPUNIT_ASSERT(!from_hex("zz"));
        CPPUNIT_ASSERT_EQUAL(std::string("\xab\x0f"), *from_hex("aB0F"));
    }

    void authenticate_right_key_gives_principal_without_secret()
    {
        const settings_view view(one_key("s.1"));
        const auto result = authenticate(view, "k1.s.1");
        CPPUNIT_ASSERT(result.code == result_code::ok);
        CPPUNIT_ASSERT_EQUAL(std::string("murphy"),
                             result.principal.workspace());
        CPPUNIT_ASSERT(result.principal.SerializeAsString().find("s.1") ==
                       std::string::npos);
    }

    void authenticate_wrong_keys_are_unknown()
    {
        const auto settings = one_key("s1");
        CPPUNIT_ASSERT(code_of(settings, "") == result_code::key_missing);
        for (const char* key : {"k1", "k1.", "k1.s", "k1.s11", "k2.s1", "."})
        {
            CPPUNIT_ASSERT_MESSAGE(key, code_of(settings, key) ==
                                            result_code::key_unknown);
        }
    }

    void authenticate_withdrawn_key_requires_correct_secret()
    {
        const auto settings = one_key("s1", "yes");
        CPPUNIT_ASSERT(code_of(settings, "k1.s1") ==
                       result_code::key_withdrawn);
        CPPUNIT_ASSERT(code_of(settings, "k1.s2") == result_code::key_unknown);
    }

    void authenticate_key_with_empty_hash_is_unknown()
    {
        auto settings = one_key("s1");
        settings.mutable_key(0)->clear_hash();
        CPPUNIT_ASSERT(code_of(settings, "k1.") == result_code::key_unknown);
    }

    void still_valid_follows_withdrawal_and_replacement()
    {
        const settings_view first(one_key("s1"));
        const auto principal = authenticate(first, "k1.s1").principal;
        CPPUNIT_ASSERT(still_valid(first, principal));
        const settings_view withdrawn(one_key("s1", "yes"));
        CPPUNIT_ASSERT(!still_valid(withdrawn, principal));
        const settings_view replaced(one_key("s2"));
        CPPUNIT_ASSERT(!still_valid(replaced, principal));
        const settings_view removed{proto::Settings()};
        CPPUNIT_ASSERT(!still_valid(removed, principal));
        auto moved = one_key("s1");
        moved.mutable_key(0)->set_workspace("other");
        const settings_view other(moved);
        CPPUNIT_ASSERT(!still_valid(other, principal));
    }

    void view_absent_names_give_null()
    {
        const settings_view view(one_key("s1"));
        CPPUNIT_ASSERT(view.key("k1") != nullptr);
        CPPUNIT_ASSERT(view.workspace("murphy") != nullptr);
        CPPUNIT_ASSERT(view.key("k2") == nullptr);
        CPPUNIT_ASSERT(view.route("k1") == nullptr);
        CPPUNIT_ASSERT(view.database("k1") == nullptr);
        CPPUNIT_ASSERT(view.server("k1") == nullptr);
        CPPUNIT_ASSERT(view.servers_of("k1").empty());
    }

    void view_servers_of_sorted_by_name()
    {
        proto::Settings settings;
        for (const char* name : {"c", "a", "b"})
        {
            auto& server = *settings.add_server();
            server.set_name(name);
            server.set_database(server.name() == "b" ? "d2" : "d1");
        }
        const settings_view view(settings);
        const auto& servers = view.servers_of("d1");
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), servers.size());
        CPPUNIT_ASSERT_EQUAL(std::string("a"), servers.front()->name());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(authenticator_test);

} // namespace tanagerhoist
