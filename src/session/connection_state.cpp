#include "tanagerhoist/session/connection_state.hpp"

namespace tanagerhoist
{

std::size_t size_of_entry(const std::string& name, const std::string& text)
{
    constexpr std::size_t entry_size = 128; // bytes besides the texts
    return entry_size + name.size() + text.size();
}

void connection_state::set_value(const std::string& name,
                                 const std::string& value)
{
    const auto it = values_.find(name);
    if (it != values_.end())
    {
        size_ -= size_of_entry(name, it->second);
        values_.erase(it); // an assignment would keep the old text's memory
    }
    values_.emplace(name, value);
    size_ += size_of_entry(name, value);
}

void connection_state::add_prepared(const std::string& name)
{
    if (prepared_.insert(name).second)
    {
        size_ += size_of_entry(name, {});
    }
}

void connection_state::clear_prepared()
{
    for (const auto& name : prepared_)
    {
        size_ -= size_of_entry(name, {});
    }
    prepared_.clear();
}

void connection_state::clear()
{
    *this = connection_state();
}

void connection_state::forget()
{
    clear();
    forgotten_ = true;
}

} // namespace tanagerhoist
