#ifndef TANAGERHOIST_STANDIN_PLATFORM_HPP
#define TANAGERHOIST_STANDIN_PLATFORM_HPP

#include "messages.pb.h"
#include "standin.pb.h"
#include "tanagerhoist/core/time.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace tanagerhoist::standin
{

/// The platform's table service, object store and list of VMs, as a state
/// machine without sockets or clock.
class platform
{
public:
    /// Performs a call and returns the reply. Empty if the service is down, in
    /// which case nothing changes, or if the reply is lost after the change.
    std::optional<proto::PlatformReply> handle(moment now,
                                               const proto::PlatformCall& call);

    /// While the service is down, calls have no effect and get no reply.
    void set_down(bool down) { down_ = down; }

    /// Delay that users of this class should add before they deliver a reply.
    void set_delay(milliseconds delay) { delay_ = delay; }
    milliseconds delay() const { return delay_; }

    /// Drops the next `count` replies after their calls have taken effect.
    void lose_replies(std::uint64_t count) { replies_to_lose_ = count; }

    /// Sets the delay after which changes of the list become visible.
    void set_list_lag(milliseconds lag) { list_lag_ = lag; }

    /// Adds `vm` to the list or replaces its row. It stays listed until `drop`.
    void list(moment now, proto::ListedVm vm);

    /// Marks a listed VM as leaving.
    void mark_leaving(moment now, const std::string& vm);

    /// Removes a VM from the list.
    void drop(moment now, const std::string& vm);

    /// Applies the fields that are present in `fault`.
    void apply(moment now, const proto::standin::PlatformFault& fault);

    /// Returns all stored data, regardless of faults.
    proto::standin::PlatformDump dump() const;

private:
    using vm_list = std::map<std::string, proto::ListedVm>;

    /// A change of the list that is not visible yet.
    struct pending_change
    {
        moment visible;
        std::function<void(vm_list&)> make;
    };

    proto::PlatformReply read_row(const proto::TableRead& call) const;
    proto::PlatformReply write_row(const proto::TableWrite& call);
    proto::PlatformReply read_object(const proto::ObjectRead& call) const;
    proto::PlatformReply write_object(const proto::ObjectWrite& call);
    proto::PlatformReply read_list(moment now);
    proto::PlatformReply run(moment now, const proto::PlatformCall& call);
    void change_list(moment now, std::function<void(vm_list&)> make);
    void apply_visible_changes(moment now);

    std::map<std::string, proto::standin::PlatformRow> rows_;
    std::map<std::string, std::string> objects_;
    vm_list listed_;
    std::deque<pending_change> changes_;
    bool down_ = false;
    milliseconds delay_{0};
    milliseconds list_lag_{0};
    std::uint64_t replies_to_lose_ = 0;
};

} // namespace tanagerhoist::standin

#endif
