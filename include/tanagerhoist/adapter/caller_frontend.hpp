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

/// The callers of one worker: reads requests, checks keys against the settings
/// snapshot, posts them to the decision layer and writes the answers back. An
/// idle connection costs a socket and a record; a fiber is bound only while a
/// request is read, decided or answered. All members run on the worker's
/// thread.
class caller_frontend
{
public:
    using input_sink = std::function<void(proto::Input)>;

    /// @param worker index of the worker, part of all handles given out
    caller_frontend(std::uint64_t worker, const settings_snapshot& settings,
                    metrics& counters, input_sink inputs);
    ~caller_frontend();

    /// Takes over a caller's new connection.
    void accept(boost::asio::ip::tcp::socket socket);

    /// Brings the answer of a call to its caller; late ones find none.
    void answer(std::uint64_t call, proto::CallerReply reply);

    /// Disconnects a caller once what it waits for is answered.
    void disconnect(std::uint64_t caller);

    /// Ends idle connections; those with a request end after its answer.
    void close_idle();

    /// Connections of callers.
    std::size_t size() const { return sessions_.size(); }

    /// Answers every waiting call with `outcome_unknown`: the decision layer
    /// has ended and its answers will not come.
    void fail_pending();

    /// Index of the worker that gave out a handle.
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
