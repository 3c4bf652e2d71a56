/// One connection to a target, which carries one call at a time.
///
/// Owned by Targets and by its pending handlers. What its answers prove is decided by ConnectionHistory.
#pragma once

#include <boost/beast/http.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "base/timer.hpp"
#include "core/delivery.hpp"
#include "deliveries/http/answer.hpp"
#include "deliveries/http/answer_meaning.hpp"
#include "deliveries/http/connection_history.hpp"

namespace lockgw {

class Targets;

class TargetConnection : public std::enable_shared_from_this<TargetConnection> {
public:
    using Clock = std::chrono::steady_clock;

    TargetConnection(Targets& owner, EndpointId endpoint, const Tcp::endpoint& address);

    EndpointId endpoint() const { return endpoint_; }
    const Tcp::endpoint& address() const { return address_; }
    /// For the log.
    std::string address_text() const;
    const ConnectionHistory& history() const { return history_; }

    /// Writes the call, connecting first if it is new.
    void start(Call call);
    void cancel() { end(cometspoke::Outcome::CalledOff); }
    /// Its call, if it has one, has not begun to be written.
    bool connecting() const { return call_ && !begun_writing_; }
    /// Ends a call that has not begun to be written.
    void withdraw() { not_sent(); }

    /// Rests for `span` at most, until the next call.
    void rest_for(Clock::duration span);
    /// Gives up a call that may still be out, and reads for `span` at most what its target had written by
    /// then: a wait that it tells holds.
    void linger(Clock::duration span);
    /// Whether nothing has arrived at a resting connection: a close or an answer that the event loop has not
    /// reported yet.
    bool silent();
    /// Reads what has arrived at a resting connection.
    void read_surplus();
    void close();

private:
    /// Handlers of an earlier call or of a closed connection must not touch the present one.
    template <class Handler>
    auto guarded(Handler handler) {
        return [self = shared_from_this(), turn = turn_, handler](auto failed, auto&&...) {
            if (turn == self->turn_) handler(failed);
        };
    }
    void wait_until(Clock::time_point when);
    void expire();
    bool open();
    void write();
    void not_sent();
    void read();
    void take();
    void ended();
    void finish();
    void end(cometspoke::Outcome otherwise);
    ObservedAnswer observed() const;
    void judge();
    /// `otherwise`: the outcome of a call without a whole answer.
    void report(const Call& call, cometspoke::Outcome otherwise);
    void log_doubt(const Call& call, const CallEnd& end) const;
    void watch();
    bool only_copies(std::string_view bytes) const;
    void heed_waits(std::string_view bytes);
    void take_surplus(std::string_view bytes);

    Targets& owner_;
    EndpointId endpoint_;
    Tcp::endpoint address_;
    Tcp::socket socket_;
    Timer timer_;
    std::uint64_t turn_ = 0;
    std::optional<Call> call_;    // until its outcome is told
    bool begun_writing_ = false;  // the send gate has let it through
    bool written_ = false;        // the call's last byte
    Clock::time_point begun_{};
    boost::beast::http::request<boost::beast::http::string_body> request_;
    Answer answer_;
    ConnectionHistory history_;
    Certainty certainty_ = Certainty::Certain;  // of the answer to the present call
    bool resting_ = false;                      // until the next call
    bool lingering_ = false;                    // there is none
    bool unanswered_ = false;                   // the last call was given up, and its answer may still come
    Answer surplus_;                            // to which there is no call
};

}  // namespace lockgw
