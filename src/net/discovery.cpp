#include "discovery.hpp"

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <iostream>
#include <utility>

namespace lockgw {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using cometspoke::Condition;
using namespace std::chrono_literals;
using cometspoke::settings::BadInput;
using cometspoke::settings::field;
using cometspoke::settings::need;
using cometspoke::settings::value_or;

namespace {

constexpr auto kHold = 10000ms;         // of a watch that has nothing to tell
constexpr auto kAnswerWithin = 1500ms;  // beyond what it may hold: after that it counts as down
constexpr auto kRetry = 100ms;
constexpr std::uint64_t kMostBody = 4 * 1024 * 1024;
constexpr std::size_t kMostTargets = 20'000;
constexpr std::size_t kMostNotices = 256;  // in one request

Condition condition_of(const std::string& phase) {
    if (phase == "in_service") return Condition::Ready;
    return phase == "terminating" ? Condition::Draining : Condition::Gone;
}

Target target_of(const Json& member) {
    Target target;
    target.id = field<std::string>(member, "id");
    target.condition = condition_of(field<std::string>(member, "phase"));
    // that a target goes must be heeded even where its address makes no sense any more
    if (target.condition == Condition::Ready)
        target.address = tcp_endpoint(field<std::string>(member, "host_port"), "host_port");
    target.zone = value_or<std::string>(member, "locality", "");
    target.kind = value_or<std::string>(member, "flavor", "");
    target.destination = field<std::int64_t>(member, "cell");
    target.rate = value_or(member, "size", 0.0);
    return target;
}

}  // namespace

TargetList list_of(const Json& body) {
    TargetList list;
    list.revision = field<std::int64_t>(body, "revision");
    list.complete = field<bool>(body, "complete");
    const Json& members = need(body, "members");
    if (!members.is_array() || members.size() > kMostTargets) throw BadInput("members is not a list");
    for (const Json& member : members) try {
            list.targets.push_back(target_of(member));
        } catch (const std::exception& bad) {
            std::cerr << "discovery: passed over an entry: " << bad.what() << '\n';
        }
    return list;
}

/// A kept-alive connection to the agent, one request at a time; it is made anew after any failure.
///
/// Its handlers hold it, and pass over what an earlier request left behind: it may be given up at any moment.
class AgentConnection : public std::enable_shared_from_this<AgentConnection> {
    template <class Next>
    auto guarded(Next next) {
        return [self = shared_from_this(), stream = stream_, turn = turn_, next](auto failed, auto&&...) {
            if (turn != self->turn_) return;
            failed ? self->fail(failed) : next(*self);
        };
    }

public:
    /// The answer's status and body; status 0 where there was no answer.
    using Answered = std::function<void(unsigned, std::string)>;

    AgentConnection(asio::io_context& io, const Tcp::endpoint& address)
        : io_(io), address_(address), stream_(std::make_shared<beast::tcp_stream>(io)) {}

    void ask(http::verb verb, const std::string& path, std::string body, std::chrono::milliseconds within,
        Answered answered) {
        ++turn_;
        answered_ = std::move(answered);
        request_ = {verb, path, 11, std::move(body)};
        request_.set(http::field::host, "discovery");
        request_.prepare_payload();
        stream_->expires_after(within);
        if (stream_->socket().is_open()) return write();
        stream_->async_connect(address_, guarded([](AgentConnection& self) { self.write(); }));
    }

    /// Nothing is told any more.
    void give_up() {
        ++turn_;
        answered_ = nullptr;
        stream_->close();
    }

private:
    void write() {
        http::async_write(*stream_, request_, guarded([](AgentConnection& self) { self.read(); }));
    }
    void read() {
        parser_.emplace();
        parser_->body_limit(kMostBody);
        http::async_read(*stream_, buffer_, *parser_, guarded([](AgentConnection& self) { self.answer(); }));
    }
    void answer() {
        stream_->expires_never();
        if (!parser_->get().keep_alive() || buffer_.size() > 0) renew();
        std::exchange(answered_, nullptr)(parser_->get().result_int(), std::move(parser_->get().body()));
    }
    void fail(boost::system::error_code error) {
        renew();
        std::exchange(answered_, nullptr)(0, error.message());
    }
    void renew() {
        stream_->close();
        stream_ = std::make_shared<beast::tcp_stream>(io_);
        buffer_.clear();
    }

    asio::io_context& io_;
    Tcp::endpoint address_;
    std::shared_ptr<beast::tcp_stream> stream_;
    std::uint64_t turn_ = 0;  // of the request that is out
    beast::flat_buffer buffer_;
    http::request<http::string_body> request_;
    std::optional<http::response_parser<http::string_body>> parser_;
    Answered answered_;
};

Discovery::Discovery(asio::io_context& io, const Config& config, Told told, Confirmed confirmed)
    : io_(io),
      address_(config.discovery),
      told_(std::move(told)),
      confirmed_(std::move(confirmed)),
      watch_pause_(io),
      report_pause_(io) {}
Discovery::~Discovery() { leave(); }

void Discovery::start() {
    watch_ = std::make_shared<AgentConnection>(io_, address_);
    reports_ = std::make_shared<AgentConnection>(io_, address_);
    watch();
    post();
}

/// The new agent counts its own versions and has not seen what the old one did not confirm: the whole list is
/// asked for, and every unconfirmed notice goes to it at once. Until it answers the last list stays in use.
void Discovery::move_to(const Tcp::endpoint& address) {
    if (address == address_) return;
    leave();
    address_ = address;
    revision_.reset();
    posting_ = false;
    start();
}

void Discovery::leave() {
    ++stay_;
    watch_pause_.cancel();
    report_pause_.cancel();
    if (watch_) watch_->give_up();
    if (reports_) reports_->give_up();
}

/// Renewed as soon as it is answered: a watch that rests for long is a new one.
void Discovery::watch() {
    std::string path = "/v1/servers";
    if (revision_)
        path += "?from=" + std::to_string(*revision_) + "&hold_ms=" + std::to_string(kHold.count());
    const auto within = revision_ ? kHold + kAnswerWithin : kAnswerWithin;
    watch_->ask(http::verb::get, path, "", within, [this](unsigned status, const std::string& body) {
        if (status == 200 && watched(body)) return watch();
        if (status != 200) std::cerr << "discovery: no list: " << status << ' ' << body.substr(0, 80) << '\n';
        watch_pause_.expires_after(kRetry);
        watch_pause_.async_wait([this, stay = stay_](auto cancelled) {
            if (!cancelled && stay == stay_) watch();
        });
    });
}

bool Discovery::watched(const std::string& body) try {
    const TargetList list = list_of(Json::parse(body));
    // Changes build on the list that they were asked for; without one they say nothing whole.
    if (!list.complete && !revision_) throw BadInput("changes instead of the whole list");
    revision_ = list.revision;
    told_(list);
    return true;
} catch (const std::exception& bad) {
    std::cerr << "discovery: an unreadable list: " << bad.what() << '\n';
    return false;
}

void Discovery::report(MessageId id, const Notice& notice) {
    notices_.insert_or_assign(id, notice);
    post();
}

void Discovery::post() {
    if (!reports_ || posting_ || notices_.empty()) return;
    posting_ = true;
    std::string body;
    std::vector<MessageId> sent;
    for (const auto& [id, notice] : notices_) {
        if (sent.size() == kMostNotices) break;
        Json line{
            {"ref", cometspoke::settings::id_text(id)}, {"result", notice.bounced ? "bounced" : "dead"}};
        if (notice.bounced && notice.wait > 0ms) line["wait_ms"] = notice.wait.count();
        body += line.dump() + "\n";
        sent.push_back(id);
    }
    reports_->ask(http::verb::post, "/reports", body, kAnswerWithin,
        [this, sent = std::move(sent)](unsigned status, const std::string& text) {
            posting_ = false;
            if (status == 204) {
                for (const MessageId id : sent) notices_.erase(id), confirmed_(id);
                return post();
            }
            std::cerr << "discovery: notices not taken: " << status << ' ' << text.substr(0, 80) << '\n';
            report_pause_.expires_after(kRetry);
            report_pause_.async_wait([this, stay = stay_](auto cancelled) {
                if (!cancelled && stay == stay_) post();
            });
        });
}

}  // namespace lockgw
