#include "tanagerhoist/adapter/recorder.hpp"
#include "tanagerhoist/core/result_code.hpp"
#include "tanagerhoist/record/object_names.hpp"
#include "tests/fake_platform.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace tanagerhoist
{
namespace
{

constexpr std::size_t buffer_limit = 4096;
constexpr std::uint64_t start_wall_us = 77;

class fake_store : public platform_client
{
public:
    fake_platform platform;

    platform_answer call(const proto::PlatformCall& call) override
    {
        return {platform.handle(call), true};
    }
};

proto::Event make_event(std::uint64_t sequence, const char* kind,
                        result_code code = result_code::ok)
{
    proto::Event event;
    event.set_sequence(sequence);
    event.set_kind(kind);
    event.set_code(static_cast<std::uint32_t>(code));
    event.set_request_id("request");
    return event;
}

proto::Input make_input(std::uint64_t now_us)
{
    proto::Input input;
    input.set_now_us(now_us);
    input.mutable_tick();
    return input;
}

} // namespace

class recorder_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(recorder_test);
    CPPUNIT_TEST(full_event_buffer_drops_served_steps_first);
    CPPUNIT_TEST(full_event_buffer_of_refusals_drops_oldest);
    CPPUNIT_TEST(event_batches_keep_order_and_size);
    CPPUNIT_TEST(full_input_buffer_ends_batch_at_gap);
    CPPUNIT_TEST(outage_keeps_bound_and_counts_drops);
    CPPUNIT_TEST(lost_reply_repeats_same_batch);
    CPPUNIT_TEST(later_run_is_listed_after_earlier);
    CPPUNIT_TEST(record_switched_off_keeps_events_only);
    CPPUNIT_TEST_SUITE_END();

public:
    void full_event_buffer_drops_served_steps_first()
    {
        event_buffer buffer(buffer_limit);
        buffer.push(make_event(1, "primary_lost"));
        buffer.push(make_event(2, "answered", result_code::over_rate));
        std::uint64_t lost = 0;
        for (std::uint64_t i = 3; i < 1000; ++i)
        {
            lost += buffer.push(make_event(i, "answered"));
            CPPUNIT_ASSERT(buffer.bytes() <= buffer_limit);
        }
        const auto batch = buffer.take(buffer_limit);
        CPPUNIT_ASSERT(buffer.empty());
        CPPUNIT_ASSERT_EQUAL(lost, batch.dropped());
        CPPUNIT_ASSERT_EQUAL(
            std::uint64_t{999},
            lost + static_cast<std::uint64_t>(batch.event_size()));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, batch.event(0).sequence());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, batch.event(1).sequence());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{3} + lost,
                             batch.event(2).sequence());
    }

    void full_event_buffer_of_refusals_drops_oldest()
    {
        event_buffer buffer(buffer_limit);
        std::uint64_t lost = 0;
        for (std::uint64_t i = 0; i < 500; ++i)
        {
            lost +=
                buffer.push(make_event(i, "answered", result_code::queue_full));
        }
        CPPUNIT_ASSERT(lost > 0);
        CPPUNIT_ASSERT_EQUAL(lost, buffer.take(1).event(0).sequence());
    }

    void event_batches_keep_order_and_size()
    {
        event_buffer buffer(buffer_limit);
        buffer.push(make_event(1, "answered"));
        buffer.push(make_event(2, "isolated"));
        buffer.push(make_event(3, "answered"));
        for (std::uint64_t i = 1; i <= 3; ++i)
        {
            const auto batch = buffer.take(1);
            CPPUNIT_ASSERT_EQUAL(1, batch.event_size());
            CPPUNIT_ASSERT_EQUAL(i, batch.event(0).sequence());
        }
        CPPUNIT_ASSERT(buffer.empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, buffer.bytes());
    }

    void full_input_buffer_ends_batch_at_gap()
    {
        input_buffer buffer(buffer_limit);
        proto::RecordEntry entry;
        std::uint64_t kept = 0;
        while (buffer.push(entry) == 0)
        {
            ++kept;
        }
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, buffer.push(entry));
        const auto first = buffer.take(1);
        CPPUNIT_ASSERT_EQUAL(kept,
                             static_cast<std::uint64_t>(first.entry_size()));
        buffer.push(entry);
        const auto next = buffer.take(1);
        CPPUNIT_ASSERT_EQUAL(kept + 2, next.first_index());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, next.dropped());
    }

    void outage_keeps_bound_and_counts_drops()
    {
        make_recorder(buffer_limit);
        store_.platform.down = true;
        for (std::uint64_t i = 1; i <= 200; ++i)
        {
            recorder_->record_input(make_input(i), {});
            recorder_->record_events({make_event(i, "answered")});
            CPPUNIT_ASSERT(!recorder_->flush());
        }
        store_.platform.down = false;
        CPPUNIT_ASSERT(recorder_->flush());
        const auto stored = count_stored();
        CPPUNIT_ASSERT(stored.first < 200 && stored.second < 200);
        const auto lost = 400 - stored.first - stored.second;
        const auto shown =
            "tanagerhoist_records_dropped_total " + std::to_string(lost) + "\n";
        CPPUNIT_ASSERT(counters_.text().find(shown) != std::string::npos);
        CPPUNIT_ASSERT_EQUAL(200 - stored.first, dropped_events_);
    }

    void lost_reply_repeats_same_batch()
    {
        make_recorder(buffer_limit);
        CPPUNIT_ASSERT(recorder_->flush());
        recorder_->record_events({make_event(1, "answered")});
        store_.platform.lose_replies = 1;
        CPPUNIT_ASSERT(!recorder_->flush());
        recorder_->record_events({make_event(2, "answered")});
        CPPUNIT_ASSERT(recorder_->flush());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, count_stored().first);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, store_.platform.objects.size());
    }

    void later_run_is_listed_after_earlier()
    {
        make_recorder(buffer_limit);
        CPPUNIT_ASSERT(recorder_->flush());
        make_recorder(buffer_limit, true, start_wall_us + 1);
        CPPUNIT_ASSERT(recorder_->flush());
        proto::RecordIndex index;
        index.ParseFromString(store_.platform.objects[index_name("vm1")]);
        CPPUNIT_ASSERT_EQUAL(2, index.start_wall_us_size());
        CPPUNIT_ASSERT_EQUAL(start_wall_us + 1, index.start_wall_us(1));
    }

    void record_switched_off_keeps_events_only()
    {
        make_recorder(buffer_limit, false);
        recorder_->record_input(make_input(1), {});
        recorder_->record_events({make_event(1, "answered")});
        CPPUNIT_ASSERT(recorder_->flush());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, count_stored().first);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, count_stored().second);
    }

private:
    void make_recorder(std::size_t limit, bool inputs = true,
                       std::uint64_t wall = start_wall_us)
    {
        recorder_options options;
        options.event_bytes = limit;
        options.input_bytes = limit;
        options.inputs = inputs;
        proto::RecordStart start;
        start.set_vm("vm1");
        start.set_wall_us(wall);
        recorder_ =
            std::make_unique<recorder>(options, start, store_, counters_);
    }

    /// Numbers of events and inputs in the object store. Sets `dropped_events_`
    /// to the sum of the batches' drop counts.
    std::pair<std::uint64_t, std::uint64_t> count_stored()
    {
        std::pair<std::uint64_t, std::uint64_t> count;
        dropped_events_ = 0;
        const auto& objects = store_.platform.objects;
        for (std::uint64_t i = 0;; ++i)
        {
            const auto found =
                objects.find(event_batch_name("vm1", start_wall_us, i));
            if (found == objects.end())
            {
                break;
            }
            proto::EventBatch batch;
            batch.ParseFromString(found->second);
            count.first += static_cast<std::uint64_t>(batch.event_size());
            dropped_events_ += batch.dropped();
        }
        for (std::uint64_t i = 0;; ++i)
        {
            const auto found =
                objects.find(record_batch_name("vm1", start_wall_us, i));
            if (found == objects.end())
            {
                break;
            }
            proto::RecordBatch batch;
            batch.ParseFromString(found->second);
            count.second += static_cast<std::uint64_t>(batch.entry_size());
        }
        return count;
    }

    fake_store store_;
    metrics counters_;
    std::unique_ptr<recorder> recorder_;
    std::uint64_t dropped_events_ = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(recorder_test);

} // namespace tanagerhoist
