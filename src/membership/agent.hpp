/// One request at a time to the agent of discovery, over a connection that is kept for the next.
///
/// It has no time limits of its own: whoever asks watches the phases and gives it up. Bounded: a head of
/// 8 KiB, a body of `most_bytes`, kMostInterim answers of 1xx ahead of the answer. Handlers hold the
/// connection, and those of an earlier request touch nothing.
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
#include "membership/ask_plan.hpp"

namespace lockgw {

class AgentConnection : public std::enable_shared_from_this<AgentConnection> {
public:
    struct Answer {
        unsigned status = 0;   ///< 0: none came, or none that can be read to its end
        std::string body;      ///< with status 0 as much of it as came
        std::string why;       ///< with status 0
        bool success = false;  ///< status 200, or what came of a cut-off answer said 200
    };
    using Reached = std::function<void(AskPlan::Phase)>;
    using Answered = std::function<void(Answer)>;

    /// `spare` outlives it: given back where there is no descriptor left to connect with.
    AgentConnection(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& address,
        SpareDescriptor& spare, std::size_t most_bytes)
        : address_(address), socket_(io), spare_(spare), most_bytes_(most_bytes) {}

    /// `answered` comes once, never from within this call.
    void ask(boost::beast::http::verb verb, const std::string& path, std::string body, Reached reached,
        Answered answered);
    /// Ends the request that is out: nothing is told any more. Returns what had come of its answer.
    Answer give_up();
    /// What has come so far of the answer to the request that is out, which goes on.
    Answer peek() const;
    /// The last answer left it fit for another request.
    bool reusable() const { return reusable_; }

private:
    template <class Next>
    auto guarded(Next next) {
        return [self = shared_from_this(), turn = turn_, next](auto failed, auto&&...) {
            if (turn == self->turn_) next(*self, failed);
        };
    }
    void connect();
    void write();
    void read();
    void came(boost::system::error_code failed);
    void fail(const std::string& why);
    void finish();
    Answer so_far(const std::string& why);
    void close();

    boost::asio::ip::tcp::endpoint address_;
    boost::asio::ip::tcp::socket socket_;
    SpareDescriptor& spare_;
    std::size_t most_bytes_;
    std::uint64_t turn_ = 0;  // of the request that is out
    bool reusable_ = false, begun_ = false;
    int interim_ = 0;
    boost::beast::flat_buffer buffer_;
    boost::beast::http::request<boost::beast::http::string_body> request_;
    std::optional<boost::beast::http::response_parser<boost::beast::http::string_body>> parser_;
    Reached reached_;
    Answered answered_;
};

}  // namespace lockgw
