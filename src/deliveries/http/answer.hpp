/// A target's answer to one call: bytes in, what they say out. Pure: no sockets, no clock.
///
/// Targets are other firms' systems: what they send may be noise, without end, or more than belongs to it.
#pragma once

#include <boost/beast/http/parser.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "cometspoke/sender.hpp"

namespace lockgw {

/// A body means nothing: it is counted, not kept.
struct DiscardedBody {
    struct value_type {};
    struct reader {
        template <bool isRequest, class Fields>
        reader(boost::beast::http::header<isRequest, Fields>&, value_type&) {}
        template <class Length>
        void init(const Length&, boost::beast::error_code& failed) {
            failed = {};
        }
        template <class Buffers>
        std::size_t put(const Buffers& bytes, boost::beast::error_code& failed) {
            failed = {};
            return boost::beast::buffer_bytes(bytes);
        }
        void finish(boost::beast::error_code& failed) { failed = {}; }
    };
};

class Answer {
public:
    enum class State {
        Open,    ///< more must come
        Whole,   ///< sound to its end
        Spoilt,  ///< cannot be read; nothing behind it can
    };

    Answer() { next(); }

    State feed(std::string_view bytes);
    /// The connection ended: the end of an answer that tells no length.
    State ended();

    /// Nothing of it has come; what stood ahead of it (1xx) does not count.
    bool empty() const { return empty_; }
    /// Its first line was read and says 200: the message is delivered, whatever becomes of the rest.
    bool says_delivered() const { return first_line_ == 200u; }
    /// Its first line was read and has another status of a final answer.
    bool says_otherwise() const { return first_line_ && *first_line_ / 100 != 1 && *first_line_ != 200; }
    bool head_read() const { return parser_->is_header_done(); }
    /// Whether the connection may carry another call: nothing came behind the answer.
    bool reusable() const { return state_ == State::Whole && bytes_.empty() && keep_alive(); }
    /// Its head, as far as it was read, does not end the connection.
    bool keep_alive() const { return parser_->get().keep_alive(); }
    /// What came behind the answer.
    std::string take_rest() { return std::exchange(bytes_, {}); }
    /// What the head says, by the protocol's table; `reports`: it may carry a load report.
    cometspoke::OutcomeEvent outcome(bool reports, cometspoke::Time longest_wait) const;

private:
    void next();
    void read_first_line();
    State spoilt() { return state_ = State::Spoilt; }

    // on the heap, for it can be neither copied nor assigned
    std::unique_ptr<boost::beast::http::response_parser<DiscardedBody>> parser_;
    std::string bytes_;  // come and not read yet
    std::optional<unsigned> first_line_;
    int interim_ = 0;  // answers with 1xx so far
    bool empty_ = true;
    State state_ = State::Open;
};

/// "x0=0.4,x1=25"; none where any part of it cannot be read: half a report would be a wrong one.
std::optional<cometspoke::LoadReport> load_report_of(std::string_view text);

}  // namespace lockgw
