#ifndef TANAGERHOIST_ADAPTER_CALLER_FRONTEND_HPP
#define TANAGERHOIST_ADAPTER_CALLER_FRONTEND_HPP

#include "messages.pb.h"
#include "tanagerhoist/adapter/http_stream.hpp"
#include "tanagerhoist/adapter/metrics.hpp"
#include "tanagerhoist/adapter/settings_snapshot.hpp"

#include <boost/fiber/future.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>

namespace tanagerhoist
{

/// Caller connections of one worker thread: reads requests, authenticates their
/// keys against the settings snapshot, posts them to the decision layer and
/// writes the answers. An idle connection holds a socket and a session object
/// but no fiber; a fiber runs only while a request is read, decided or
/// answered. All members must be called on the worker's thread.
class caller_frontend
{
public:
    using input_sink = std::function<void(proto::Input)>;

    /// @param worker index of the worker, encoded in all handles
    caller_frontend(std::uint64_t worker, const settings_snapshot& settings,
                    metrics& counters, input_sink inputs);
    ~caller_frontend();

    /// Takes ownership of a new caller connection.
    void accept(boost::asio::ip::tcp::socket socket);

    /// Delivers the answer to a pending call; ignored if the call is no longer
    /// pending.
    void answer(std::uint64_t call, proto::CallerReply reply);

    /// Closes a caller's connection, after its request in progress has been
    /// answered.
    void disconnect(std::uint64_t caller);

    /// Closes idle connections now and busy ones after their answer.
    void close_idle();

    /// Number of open caller connections.
    std::size_t size() const { return sessions_.size(); }

    /// Answers every pending call with `outcome_unknown` and closes all
    /// connections. Called once the decision layer has stopped and will send no
    /// further answers.
    void fail_pending();

    /// Index of the worker that created a handle.
    static std::uint64_t worker_of(std::uint64_t handle);

private:
    struct session;
    using session_ptr = std::shared_ptr<session>;

    void wait_for_request(const session_ptr& s);
    void serve(const session_ptr& s);
    bool serve_request(session& s);
    http_answer dispatch(session& s, read_status status,
                         const http_request& request, bool& keep);
    http_answer submit(session& s, proto::CallerArrived arrived);
    void end_session(session& s);
    std::uint64_t next_handle();

    std::uint64_t worker_;
    std::uint64_t next_number_ = 1;
    bool closing_ = false;
    const settings_snapshot& settings_;
    metrics& metrics_;
    input_sink inputs_;
    std::map<std::uint64_t, session_ptr> sessions_;
    std::map<std::uint64_t, boost::fibers::promise<proto::CallerReply>*>
        pending_calls_;
};

} // namespace tanagerhoist

#endif
