#ifndef TANAGERHOIST_FLEET_ERA_ROW_STORE_HPP
#define TANAGERHOIST_FLEET_ERA_ROW_STORE_HPP

#include "tanagerhoist/fleet/row_store.hpp"

#include <string>

namespace tanagerhoist
{

/// A store whose versions never go back: joins each version with the era that
/// it belongs to, see numbered_in(). Calls with versions of an era that has
/// ended return `restored`.
class era_row_store : public row_store
{
public:
    /// @param store must outlive this object
    explicit era_row_store(row_store& store) : store_(store) {}

    store_answer read(const std::string& table,
                      const std::string& from) override;
    store_answer write(const store_transaction& transaction) override;
    store_answer watch(const std::string& table, std::uint64_t version,
                       milliseconds wait) override;

private:
    row_store& store_;
};

} // namespace tanagerhoist

#endif
