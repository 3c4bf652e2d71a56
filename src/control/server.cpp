#include "control/server.hpp"

#include <sys/socket.h>
#include <sys/stat.h>
#include <unistd.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <boost/system/system_error.hpp>
#include <memory>
#include <utility>

#include "base/timer.hpp"

namespace lockgw::control {

namespace asio = boost::asio;
using Local = asio::local::stream_protocol;

namespace {

constexpr std::size_t kMostConnections = 8;
constexpr auto kPatience = std::chrono::seconds(10);

/// The kernel's word on who has connected; the file's mode alone may be changed by hand.
bool may_use(int socket) {
    ucred peer{};
    socklen_t length = sizeof peer;
    if (getsockopt(socket, SOL_SOCKET, SO_PEERCRED, &peer, &length) != 0) return false;
    return peer.uid == 0 || peer.uid == geteuid();
}

bool somebody_listens(const std::filesystem::path& path) {
    asio::io_context io;
    Local::socket socket(io);
    boost::system::error_code failed;
    socket.connect(Local::endpoint(path.string()), failed);
    return !failed;
}

}  // namespace

class Server::Connection : public std::enable_shared_from_this<Connection> {
public:
    Connection(Local::socket socket, const Verbs& verbs, std::shared_ptr<std::size_t> open)
        : socket_(std::move(socket)), timer_(socket_.get_executor()), verbs_(verbs), open_(std::move(open)) {
        ++*open_;
    }
    ~Connection() { --*open_; }

    void read() {
        within();
        asio::async_read_until(socket_, asio::dynamic_buffer(in_, kMostRequest), '\n',
            [self = shared_from_this()](auto failed, std::size_t length) {
                if (failed == asio::error::not_found) return self->write(self->too_long(), true);
                if (failed) return self->timer_.cancel(), void();
                const std::string line = self->in_.substr(0, length);
                self->in_.erase(0, length);
                self->timer_.cancel();  // a verb may take long, and tells its end
                self->verbs_.answer(
                    line, [self](std::string answer) { self->write(std::move(answer), false); });
            });
    }

private:
    static std::string too_long() {
        return Json{{"v", kVersion}, {"ok", false}, {"error", "a request of more than 64 KiB"}}.dump() + '\n';
    }
    void write(std::string answer, bool last) {
        out_ = std::move(answer);
        within();
        asio::async_write(
            socket_, asio::buffer(out_), [self = shared_from_this(), last](auto failed, std::size_t) {
                self->timer_.cancel();
                if (!failed && !last) self->read();
            });
    }
    void within() {
        timer_.call_after(kPatience, [this] {
            boost::system::error_code ignored;
            socket_.close(ignored);
        });
    }

    Local::socket socket_;
    Timer timer_;
    const Verbs& verbs_;
    std::shared_ptr<std::size_t> open_;
    std::string in_, out_;
};

Server::Server(asio::io_context& io, const Verbs& verbs) : io_(io), verbs_(verbs), acceptor_(io) {}
Server::~Server() {
    if (path_.empty()) return;
    std::error_code ignored;
    std::filesystem::remove(path_, ignored);
}

void Server::listen(const std::filesystem::path& path) {
    if (path.string().size() >= sizeof(sockaddr_un::sun_path))
        throw std::runtime_error("the control socket's path is too long: " + path.string());
    if (std::filesystem::is_socket(path)) {
        if (somebody_listens(path)) throw std::runtime_error("another process listens at " + path.string());
        std::filesystem::remove(path);
    }
    acceptor_.open();
    const mode_t before = ::umask(0177);  // nobody else may connect, at no instant
    boost::system::error_code failed;
    acceptor_.bind(Local::endpoint(path.string()), failed);
    ::umask(before);
    if (failed) throw boost::system::system_error(failed, "the control socket " + path.string());
    path_ = path;
    acceptor_.listen(static_cast<int>(kMostConnections));
    accept();
}

void Server::accept() {
    acceptor_.async_accept([this](auto failed, Local::socket socket) {
        if (failed == asio::error::operation_aborted) return;
        if (!failed && may_use(socket.native_handle()) && *open_ < kMostConnections)
            std::make_shared<Connection>(std::move(socket), verbs_, open_)->read();
        accept();
    });
}

}  // namespace lockgw::control
