#include "console/server.hpp"

#include <fcntl.h>
#include <poll.h>

#include <algorithm>
#include <array>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <cerrno>
#include <utility>

#include "console/call.hpp"
#include "logging/log.hpp"

namespace lockgw::console {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;

namespace {

constexpr int kAccepts = 8;                             // in one turn of the loop
constexpr std::chrono::milliseconds kAcceptPause{20};   // after a failed accept
constexpr std::chrono::milliseconds kSettled{20'000};   // until the tier has settled on a change
constexpr std::chrono::milliseconds kLastWords{500};    // for an answer to be taken
constexpr std::size_t kMostPassedOver = 2 * kMostBody;  // bytes after a head

}  // namespace

class Server::Connection : public std::enable_shared_from_this<Connection> {
public:
    Connection(Tcp::socket socket, Server& owner)
        : socket_(std::move(socket)), timer_(socket_.get_executor()), owner_(&owner), buffer_(kMostHead) {
        parser_.header_limit(kMostHead);
        parser_.body_limit(kMostBody);
    }

    void read() {
        within(kPatience);
        http::async_read_header(
            socket_, buffer_, parser_, [self = shared_from_this()](auto failed, std::size_t) {
                if (self->owner_ == nullptr) return;
                self->came(failed);
            });
    }
    bool answered() const { return answered_; }
    /// Nothing of it calls its owner from then on.
    void close() {
        boost::system::error_code ignored;
        timer_.cancel();
        socket_.close(ignored);
        Server* owner = std::exchange(owner_, nullptr);
        if (owner == nullptr) return;
        owner->open_.remove(shared_from_this());
        owner->spare_.acquire();
    }

private:
    void came(const boost::system::error_code& failed) {
        if (failed == http::error::header_limit || failed == http::error::buffer_overflow)
            return answer(answer_text(431, "the head is too long"));
        if (failed == http::error::body_limit) return answer(answer_text(413, "no call has a body"));
        if (failed == http::error::end_of_stream || (failed && failed.category() != http_category()))
            return close();
        if (failed) return answer(answer_text(400, "this is no HTTP request: " + failed.message()));
        const auto method = parser_.get().method_string(), path = parser_.get().target();
        const Call call = call_of({method.data(), method.size()}, {path.data(), path.size()});
        if (call.status != 200) return answer(answer_text(call.status, call.why, call.allow));
        if (!call.work.empty() && !owner_->work_) return answer(answer_text(404, "there is no such call"));
        if (!call.work.empty()) {
            within(kSettled);
            return owner_->work_(
                call.work, call.machine, [self = weak_from_this()](int status, const std::string& body) {
                    const auto here = self.lock();
                    if (!here || here->owner_ == nullptr) return;
                    here->answer(
                        status == 200 && !body.empty() ? body_text(body) : answer_text(status, body));
                });
        }
        const operations::Answer told = owner_->give_(call.order);
        answer(answer_text(status_of(told.kind), told.why));
    }
    static const boost::system::error_category& http_category() {
        return make_error_code(http::error::bad_method).category();
    }
    void answer(std::string text) {
        answered_ = true;
        out_ = std::move(text);
        within(kLastWords);
        asio::async_write(socket_, asio::buffer(out_), [self = shared_from_this()](auto failed, std::size_t) {
            if (self->owner_ == nullptr) return;
            if (failed) return self->close();
            boost::system::error_code ignored;
            self->socket_.shutdown(Tcp::socket::shutdown_send, ignored);
            self->pass_over();
        });
    }
    /// To close with bytes unread would reset the connection, and might take the answer with it.
    void pass_over() {
        socket_.async_read_some(
            asio::buffer(rest_), [self = shared_from_this()](auto failed, std::size_t count) {
                if (self->owner_ == nullptr) return;
                self->passed_over_ += count;
                if (failed || self->passed_over_ > kMostPassedOver) return self->close();
                self->pass_over();
            });
    }
    void within(std::chrono::milliseconds span) {
        timer_.call_after(span, [this] { shared_from_this()->close(); });  // it may be its last owner's end
    }

    Tcp::socket socket_;
    Timer timer_;
    Server* owner_;
    boost::beast::flat_buffer buffer_;
    http::request_parser<http::empty_body> parser_;
    std::string out_;
    std::array<char, 1024> rest_{};
    std::size_t passed_over_ = 0;
    bool answered_ = false;
};

Server::Server(asio::io_context& io, operations::Give give)
    : io_(io), give_(std::move(give)), acceptor_(io), pause_(io) {}
Server::~Server() {
    while (!open_.empty()) std::shared_ptr<Connection>(open_.front())->close();
}

void Server::listen(const Tcp::endpoint& address) {
    acceptor_.open(address.protocol());
    acceptor_.set_option(Tcp::acceptor::reuse_address(true));
    acceptor_.bind(address);
    acceptor_.listen();
    acceptor_.non_blocking(true);
    accept();
}

int Server::release() {
    if (!acceptor_.is_open()) return -1;
    const int listening = fcntl(acceptor_.native_handle(), F_DUPFD_CLOEXEC, 0);
    boost::system::error_code ignored;
    pause_.cancel();
    acceptor_.close(ignored);
    return listening;
}

void Server::adopt(int listening) {
    if (listening < 0) return;
    acceptor_.assign(Tcp::v4(), listening);
    acceptor_.non_blocking(true);
    accept();
}

void Server::accept() {
    acceptor_.async_wait(Tcp::acceptor::wait_read, [this](auto failed) {
        if (failed == asio::error::operation_aborted) return;
        accept_waiting();
    });
}

void Server::accept_waiting() {
    for (int i = 0; i < kAccepts; ++i) {
        // with no descriptor left accept() fails also where nobody waits: nobody must be closed for that
        pollfd entry{acceptor_.native_handle(), POLLIN, 0};
        if (poll(&entry, 1, 0) <= 0) break;
        if (open_.size() >= kPlaces) {
            const auto silent =
                std::find_if(open_.begin(), open_.end(), [](const auto& one) { return !one->answered(); });
            std::shared_ptr<Connection>(silent == open_.end() ? open_.front() : *silent)->close();
        }
        boost::system::error_code failed;
        Tcp::socket socket = acceptor_.accept(failed);
        if (failed && out_of_descriptors(failed.value()) && spare_.release()) {
            failed.clear();
            socket = acceptor_.accept(failed);
        }
        if (failed == asio::error::would_block) break;
        if (failed && failed != asio::error::connection_aborted) {
            // nothing set aside is left: whoever has been silent for longest gives its descriptor
            if (!open_.empty() && out_of_descriptors(failed.value()))
                std::shared_ptr<Connection>(open_.front())->close();
            return pause_.call_after(kAcceptPause, [this] { accept(); });
        }
        if (failed) continue;
        socket.non_blocking(true, failed);
        open_.push_back(std::make_shared<Connection>(std::move(socket), *this));
        open_.back()->read();
    }
    accept();
}

}  // namespace lockgw::console
