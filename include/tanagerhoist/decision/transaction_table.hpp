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
    /// Maximum time between two statements of a transaction.
    milliseconds idle_timeout{5'000};

    /// Maximum time from the begin of a transaction to its last statement.
    milliseconds max_duration{60'000};

    /// Maximum number of open transactions per workspace and server.
    std::size_t workspace_capacity = 4;
};

/// User of a transaction. All fields must match those of its begin.
struct transaction_user
{
    std::uint64_t caller = 0; ///< handle of the caller's connection
    std::string workspace;
    std::string session;
};

/// An interactive transaction and its dedicated connection.
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

/// Interactive transactions open on this VM.
///
/// A transaction ends in one of four ways: `finish` after its commit or
/// rollback was answered, `expire`, `caller_gone` or `connection_lost`. In the
/// last three its connection must be released as not clean: closing it makes
/// the database roll back. The same happens when this VM terminates.
class transaction_table
{
public:
    /// @param self must outlive the table; its incarnation makes ids unique
    explicit transaction_table(const identity& self,
                               transaction_table_options options = {});

    /// Whether `workspace` may begin another transaction on `server`.
    bool may_begin(const std::string& workspace,
                   const std::string& server) const;

    /// Opens a transaction on a connection of its own.
    /// @return its id, unique over all incarnations of all VMs; empty if the
    ///   connection already carries a transaction
    std::string begin(moment now, const transaction_user& owner,
                      const std::string& database, const std::string& server,
                      std::uint64_t connection);

    /// Result of a lookup: `transaction` is set if and only if `code` is ok.
    struct found
    {
        result_code code;
        const open_transaction* transaction;
    };

    /// Looks up a transaction for `user`.
    /// @return unknown_transaction if none with this id is open on this VM, or
    ///   wrong_transaction_owner if it belongs to another user
    found find(const std::string& id, const transaction_user& user) const;

    /// Marks a statement as sent. The transaction must be open.
    /// @return false if its previous statement is still outstanding
    bool start_statement(const std::string& id);

    /// Marks the statement as answered.
    void finish_statement(moment now, const std::string& id);

    /// Closes a transaction after its commit or rollback.
    /// @return the closed transaction, or empty if it was not open
    std::optional<open_transaction> finish(const std::string& id);

    /// Closes transactions that exceed the idle timeout or the maximum
    /// duration, in order of id. Those with an outstanding statement are
    /// exempt from both limits.
    std::vector<open_transaction> expire(moment now);

    /// Closes the transactions of a disconnected caller, in order of id.
    std::vector<open_transaction> caller_gone(std::uint64_t caller);

    /// Closes the transaction on a connection that ended, if any.
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
