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
#include "deliveries/http/answer_kind.hpp"

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
    /// The status of its first line; 0 where none was read.
    unsigned status() const { return first_line_.value_or(0); }
    /// What its first line says, as far as it was read.
    ObservedAnswer observed() const;
    /// Its first line says 200: the call is delivered, whatever becomes of the rest.
    bool says_delivered() const { return kind() == AnswerKind::Delivered; }
    bool head_read() const { return parser_->is_header_done(); }
    /// Whether the connection may carry another call: nothing came behind the answer.
    bool reusable() const { return state_ == State::Whole && bytes_.empty() && keep_alive(); }
    /// Its head, as far as it was read, does not end the connection.
    bool keep_alive() const { return parser_->get().keep_alive(); }
    /// What came behind the answer.
    std::string take_rest() { return std::exchange(bytes_, {}); }
    /// The retry-after wait, 0 where its head tells none.
    cometspoke::Time told_wait(cometspoke::Time longest_wait) const;
    /// The load report of its head.
    std::optional<cometspoke::LoadReport> load_report() const;

private:
    AnswerKind kind() const;
    const boost::beast::http::header<false>& head() const { return parser_->get().base(); }
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
