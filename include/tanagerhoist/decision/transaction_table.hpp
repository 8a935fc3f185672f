#ifndef TANAGERHOIST_DECISION_TRANSACTION_TABLE_HPP
#define TANAGERHOIST_DECISION_TRANSACTION_TABLE_HPP

#include "tanagerhoist/core/identity.hpp"
#include "tanagerhoist/core/result_code.hpp"
#include "tanagerhoist/core/time.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace tanagerhoist
{

struct transaction_table_options
{
    /// Longest time between two statements of a transaction.
    milliseconds idle_timeout{5'000};

    /// Longest time from the beginning of a transaction to its last statement.
    milliseconds max_duration{60'000};

    /// Transactions that one workspace may have open on one server.
    std::size_t workspace_capacity = 4;
};

/// Who uses a transaction. All three must match those that began it.
struct transaction_user
{
    std::uint64_t caller = 0; ///< handle of the caller's connection
    std::string workspace;
    std::string session;
};

/// An interactive transaction and the connection that it alone uses.
struct open_transaction
{
    std::string id;
    transaction_user owner;
    std::string database;
    std::string server;
    std::uint64_t connection = 0;
    moment begun;
    moment last_used;
    bool statement_outstanding = false;
};

/// The interactive transactions that are open through this VM.
///
/// A transaction ends in one of four ways: `finish` after its commit or
/// rollback was answered, `expire`, `caller_gone` or `connection_lost`. In the
/// last three its connection must be released as not clean: closing it makes
/// the database roll back, as does the end of this VM.
class transaction_table
{
public:
    /// @param self must outlive the table; its number makes ids unique
    explicit transaction_table(const identity& self,
                               transaction_table_options options = {});

    /// Whether `workspace` may begin one more on `server`.
    bool may_begin(const std::string& workspace,
                   const std::string& server) const;

    /// Opens a transaction. Its connection must be used by no other.
    /// @return its id, unique over all incarnations of all VMs; empty if the
    ///   connection already carries a transaction
    std::string begin(moment now, const transaction_user& owner,
                      const std::string& database, const std::string& server,
                      std::uint64_t connection);

    /// Result of a look-up: `transaction` is set exactly if `code` is ok.
    struct found
    {
        result_code code;
        const open_transaction* transaction;
    };

    /// Looks up a transaction for `user`.
    /// @return unknown_transaction if none with this id is open here, or
    ///   wrong_transaction_owner if it is another's
    found find(const std::string& id, const transaction_user& user) const;

    /// Marks that a statement goes out. The transaction must be open.
    /// @return false if the answer to its last one is still outstanding
    bool start_statement(const std::string& id);

    /// Marks that the statement was answered.
    void finish_statement(moment now, const std::string& id);

    /// Closes a transaction after its commit or rollback.
    /// @return what it was, or empty if it is not open
    std::optional<open_transaction> finish(const std::string& id);

    /// Closes those that were idle or open for too long, in order of id. One
    /// with a statement outstanding is not idle.
    std::vector<open_transaction> expire(moment now);

    /// Closes all of a caller whose connection ended, in order of id.
    std::vector<open_transaction> caller_gone(std::uint64_t caller);

    /// Closes the one on a connection that ended.
    std::optional<open_transaction> connection_lost(std::uint64_t connection);

    std::size_t size() const { return open_.size(); }

private:
    template <typename Predicate>
    std::vector<open_transaction> take_if(Predicate matches);

    const identity& self_;
    transaction_table_options options_;
    std::uint64_t next_ = 1;
    std::map<std::string, open_transaction> open_;
    std::map<std::uint64_t, std::string> by_connection_;
};

} // namespace tanagerhoist

#endif
