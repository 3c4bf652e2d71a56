/// HTTP client connection to the discovery agent, for one request.
///
/// It is closed after the answer. A second copy of an earlier answer, which is paired with a request by
/// nothing but its order on the connection, could otherwise acknowledge reports that the agent has not read,
/// or bring back an older list.
///
/// The class sets no time limits: the caller follows the phases of a request and cancels it when it takes too
/// long. Sizes are bounded: 8 KiB for the header (the default of Boost.Beast), `max_bytes` for the body, and
/// kMaxInterimAnswers 1xx answers before the final one. Pending handlers keep the connection alive; a handler
/// that comes after the end of the request does nothing.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "base/spare_descriptor.hpp"
#include "discovery/poll_schedule.hpp"

namespace lockgw {

class AgentConnection : public std::enable_shared_from_this<AgentConnection> {
public:
    struct Answer {
        unsigned status = 0;     ///< HTTP status; 0 if no answer came or it could not be read to its end
        std::string body;        ///< with status 0: the part that was received
        std::string error;       ///< set with status 0
        bool status_ok = false;  ///< the status line said 200, also if the answer was cut off after it
    };
    using OnPhase = std::function<void(PollSchedule::Phase)>;
    using OnProgress = std::function<void()>;
    using OnAnswer = std::function<void(Answer)>;

    /// `spare` must outlive the connection. Its descriptor is released when the process has none left to
    /// connect with.
    AgentConnection(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& address,
        SpareDescriptor& spare, std::size_t max_bytes)
        : address_(address), socket_(io), spare_(spare), max_bytes_(max_bytes) {}

    /// Connects and sends the request; called once. `on_phase` is called when the request enters a new
    /// phase, `on_progress` when more of its answer was received in the phase Reading. `on_answer` is called
    /// exactly once unless the request is cancelled, and never from within this call.
    void send_request(boost::beast::http::verb verb, const std::string& path, std::string body,
        OnPhase on_phase, OnProgress on_progress, OnAnswer on_answer);
    /// Aborts the current request and closes the connection; no handler is called afterwards. Returns the
    /// part of the answer that has arrived, also what was not read yet; perhaps the complete answer.
    Answer cancel();
    /// The part of the answer to the current request that was received so far. The request continues.
    Answer partial_answer() const;

private:
    template <class Handler>
    auto for_current_request(Handler handler) {
        return [self = shared_from_this(), generation = generation_, handler](auto error, auto&&...) {
            if (generation == self->generation_) handler(*self, error);
        };
    }
    void connect();
    void write();
    void read();
    void on_readable(boost::system::error_code error);
    bool receive_available(std::size_t max_reads, boost::system::error_code& error);
    void report_growth();
    void expect_answer();
    void finish_with_error(const std::string& error);
    void finish_answer();
    Answer complete_answer();
    Answer partial_answer_with(const std::string& error);
    void close();

    boost::asio::ip::tcp::endpoint address_;
    boost::asio::ip::tcp::socket socket_;
    SpareDescriptor& spare_;
    std::size_t max_bytes_;
    std::uint64_t generation_ = 0;  // changes when the request starts or ends; invalidates pending handlers
    bool connected_ = false;
    bool answer_started_ = false;
    int interim_answers_ = 0;
    boost::beast::flat_buffer buffer_;
    boost::beast::http::request<boost::beast::http::string_body> request_;
    std::optional<boost::beast::http::response_parser<boost::beast::http::string_body>> parser_;
    OnPhase on_phase_;
    OnProgress on_progress_;
    OnAnswer on_answer_;
};

}  // namespace lockgw
