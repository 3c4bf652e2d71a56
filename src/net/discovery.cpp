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

/// One connection to the agent, with one request at a time; it is made anew after any failure.
class AgentConnection {
public:
    /// The answer's status and body; status 0 where there was no answer.
    using Answered = std::function<void(unsigned, std::string)>;

    AgentConnection(asio::io_context& io, const Tcp::endpoint& address)
        : io_(io), address_(address), stream_(std::make_shared<beast::tcp_stream>(io)) {}
    ~AgentConnection() { stream_->close(); }

    void ask(http::verb verb, const std::string& path, std::string body, std::chrono::milliseconds within,
        Answered answered) {
        answered_ = std::move(answered);
        request_ = {verb, path, 11, std::move(body)};
        request_.set(http::field::host, "discovery");
        request_.prepare_payload();
        stream_->expires_after(within);
        if (stream_->socket().is_open()) return write();
        stream_->async_connect(
            address_, [this, stream = stream_](auto failed) { failed ? fail(failed) : write(); });
    }

private:
    void write() {
        http::async_write(*stream_, request_,
            [this, stream = stream_](auto failed, std::size_t) { failed ? fail(failed) : read(); });
    }
    void read() {
        parser_.emplace();
        parser_->body_limit(kMostBody);
        http::async_read(*stream_, buffer_, *parser_, [this, stream = stream_](auto failed, std::size_t) {
            if (failed) return fail(failed);
            stream_->expires_never();
            if (!parser_->get().keep_alive()) renew();
            std::exchange(answered_, nullptr)(parser_->get().result_int(), parser_->get().body());
        });
    }
    void fail(boost::system::error_code error) {
        if (error == asio::error::operation_aborted) return;  // the end of the process
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
    beast::flat_buffer buffer_;
    http::request<http::string_body> request_;
    std::optional<http::response_parser<http::string_body>> parser_;
    Answered answered_;
};

Discovery::Discovery(asio::io_context& io, const Config& config, Told told, Confirmed confirmed)
    : told_(std::move(told)),
      confirmed_(std::move(confirmed)),
      watch_(std::make_unique<AgentConnection>(io, config.discovery)),
      reports_(std::make_unique<AgentConnection>(io, config.discovery)),
      watch_pause_(io),
      report_pause_(io) {}
Discovery::~Discovery() = default;

void Discovery::start() { watch(); }

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
        watch_pause_.async_wait([this](auto cancelled) {
            if (!cancelled) watch();
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
    if (posting_ || notices_.empty()) return;
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
            report_pause_.async_wait([this](auto cancelled) {
                if (!cancelled) post();
            });
        });
}

}  // namespace lockgw
