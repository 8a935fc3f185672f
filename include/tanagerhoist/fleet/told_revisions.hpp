#ifndef TANAGERHOIST_FLEET_TOLD_REVISIONS_HPP
#define TANAGERHOIST_FLEET_TOLD_REVISIONS_HPP

#include <cstdint>
#include <map>
#include <string>

namespace tanagerhoist
{

/// Up to which revision of a table each VM is known to have it, so that a view
/// carries only what has changed since. Views may be lost: a revision counts as
/// known once the VM has named the view that told it in a report.
class told_revisions
{
public:
    /// Forgets all VMs; to be called when a term begins.
    void reset() { vms_.clear(); }

    /// Notes that a view tells a VM what has changed between the revision that
    /// it is known to have and the given one.
    void sent(const std::string& vm, std::uint64_t sequence,
              std::uint64_t revision);

    /// Notes the newest view that a VM has received in this term.
    /// @param life of the VM's process; another one knows nothing
    /// @param sequence of the view; 0: it has received none
    void acknowledged(const std::string& vm, std::uint64_t life,
                      std::uint64_t sequence);

    /// The revision that a VM is known to have; 0: none.
    std::uint64_t known(const std::string& vm) const;

private:
    struct vm_state
    {
        std::uint64_t life = 0;
        std::uint64_t known = 0;
        std::map<std::uint64_t, std::uint64_t> sent; ///< by view sequence
    };
    std::map<std::string, vm_state> vms_;
};

} // namespace tanagerhoist

#endif
