#include "tanagerhoist/fleet/deputy_handover.hpp"

#include "tanagerhoist/fleet/deputy_choice.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace tanagerhoist
{

class deputy_handover_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(deputy_handover_test);
    CPPUNIT_TEST(deputy_that_has_answered_is_handed_operations);
    CPPUNIT_TEST(nothing_is_handed_over_without_deputies);
    CPPUNIT_TEST(told_deputies_are_chosen_anew_after_a_second);
    CPPUNIT_TEST(operations_in_a_message_that_fails_are_counted);
    CPPUNIT_TEST(operations_in_an_answer_that_fails_are_counted);
    CPPUNIT_TEST(deputy_out_of_reach_is_handed_no_operations);
    CPPUNIT_TEST_SUITE_END();

public:
    /// A VM of a fleet that has deputies, whose coordinator is lost.
    void setUp() override
    {
        session_settings settings;
        settings.workspaces["w"] = {20, 20};
        limits_.use_settings(now_, settings);
        limits_.use_members(now_, small_fleet + 1);
        workspace_limits::grants given;
        auto& grant = *given.Add();
        grant.set_workspace("w");
        grant.set_standalone_per_1000s(10'000);
        grant.set_standalone_at_once(3);
        limits_.use_grants(now_, given);
        proto::FleetView view;
        view.add_deputies()->set_vm("vm1");
        view.add_deputies()->set_vm("vm2");
        handover_.use_deputies(view);
        now_ += std::chrono::seconds(2);
    }

    void deputy_that_has_answered_is_handed_operations()
    {
        CPPUNIT_ASSERT(handover_.is_due(now_, true));
        hand_over();
        CPPUNIT_ASSERT_EQUAL(std::string("vm1"), last_to_);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0},
                             last_.operations(0).millionths());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, last_.operations(0).missing());
        CPPUNIT_ASSERT_EQUAL(std::string(), handover_.answering_deputy());
        answer();
        CPPUNIT_ASSERT_EQUAL(std::string("vm1"), handover_.answering_deputy());
        CPPUNIT_ASSERT(handover_.is_due(now_, false));
        hand_over();
        CPPUNIT_ASSERT(last_.operations(0).millionths() >= 3 * token_unit);
    }

    void nothing_is_handed_over_without_deputies()
    {
        handover_.use_deputies({});
        CPPUNIT_ASSERT(!handover_.is_due(now_, true));
        CPPUNIT_ASSERT_EQUAL(std::string(), handover_.answering_deputy());
    }

    void told_deputies_are_chosen_anew_after_a_second()
    {
        fleet_members members;
        for (std::size_t i = 0; i <= small_fleet; ++i)
        {
            const auto vm = "vm" + std::to_string(i);
            members.rows[vm].row.set_vm(vm);
        }
        std::string silent;
        const auto reports = [&silent](const std::string& vm)
        { return vm != silent; };
        told_deputies told;
        told.update(now_, members, "vm0", reports);
        silent = first_of(told);
        now_ += told_deputies::choice_interval - milliseconds(1);
        told.update(now_, members, "vm0", reports);
        CPPUNIT_ASSERT_EQUAL(silent, first_of(told));
        told.update(now_ + milliseconds(1), members, "vm0", reports);
        CPPUNIT_ASSERT(silent != first_of(told));
    }

    /// They were debited and lost without a trace.
    void operations_in_a_message_that_fails_are_counted()
    {
        hand_over();
        answer();
        sends_ = false;
        hand_over();
        const auto lost = last_.operations(0).millionths() / token_unit;
        CPPUNIT_ASSERT(lost >= 3);
        CPPUNIT_ASSERT_EQUAL(lost, handover_.unsent_operations());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, handover_.unsent_messages());
    }

    void operations_in_an_answer_that_fails_are_counted()
    {
        proto::HandoverReply reply;
        reply.add_grants()->set_operations(2);
        reply.add_grants()->set_operations(5);
        handover_.note_unsent(reply);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, handover_.unsent_operations());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, handover_.unsent_messages());
    }

    /// As with an address that can't be read: the next deputy is asked.
    void deputy_out_of_reach_is_handed_no_operations()
    {
        sends_ = false;
        while (last_to_ != "vm2")
        {
            hand_over();
            CPPUNIT_ASSERT(handover_.unsent_messages() <= 3);
        }
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, handover_.unsent_messages());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, handover_.unsent_operations());
    }

private:
    void hand_over()
    {
        proto::OperationHandover message;
        message.set_sequence(++sequence_);
        handover_.hand_over(now_, std::move(message), {{"w", 1}},
                            [this](const proto::FleetDeputy& to,
                                   proto::OperationHandover handed)
                            {
                                last_to_ = to.vm();
                                last_ = std::move(handed);
                                return sends_;
                            });
    }

    void answer()
    {
        proto::HandoverReply reply;
        reply.set_sequence(sequence_);
        CPPUNIT_ASSERT(limits_.use_handover_reply(reply));
    }

    static std::string first_of(const told_deputies& told)
    {
        proto::FleetView view;
        told.add_to(view);
        return view.deputies(0).vm();
    }

    moment now_{std::chrono::hours(1)};
    workspace_limits limits_;
    deputy_handover handover_{limits_};
    std::uint64_t sequence_ = 0;
    bool sends_ = true;
    std::string last_to_;
    proto::OperationHandover last_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(deputy_handover_test);

} // namespace tanagerhoist
