#include "control/client.hpp"

#include <poll.h>
#include <sys/socket.h>
#include <sys/un.h>
#include <unistd.h>

#include <cstring>

namespace lockgw::control {
namespace {

constexpr int kPatienceMs = 15'000;

class Socket {
public:
    explicit Socket(const std::filesystem::path& path)
        : fd_(::socket(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
        sockaddr_un address{};
        address.sun_family = AF_UNIX;
        const std::string text = path.string();
        if (fd_ < 0 || text.size() >= sizeof address.sun_path)
            throw std::runtime_error("no socket at " + text);
        std::memcpy(address.sun_path, text.data(), text.size());
        if (::connect(fd_, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0)
            throw std::runtime_error("nobody listens at " + text + ": " + std::strerror(errno));
    }
    Socket(const Socket&) = delete;
    Socket& operator=(const Socket&) = delete;
    ~Socket() { ::close(fd_); }

    void write(std::string_view bytes) {
        while (!bytes.empty()) {
            const ssize_t count = ::send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            if (count <= 0) throw std::runtime_error("the server has closed the connection");
            bytes.remove_prefix(static_cast<std::size_t>(count));
        }
    }
    std::string line() {
        std::string text;
        char bytes[65536];
        while (text.empty() || text.back() != '\n') {
            pollfd entry{fd_, POLLIN, 0};
            if (::poll(&entry, 1, kPatienceMs) != 1) throw std::runtime_error("no answer in 15 s");
            const ssize_t count = ::recv(fd_, bytes, sizeof bytes, 0);
            if (count <= 0) throw std::runtime_error("the server has closed the connection");
            text.append(bytes, static_cast<std::size_t>(count));
            if (text.size() > kMostAnswer) throw std::runtime_error("an answer without end");
        }
        return text;
    }

private:
    int fd_;
};

}  // namespace

Json ask(const std::filesystem::path& socket, const std::string& verb, const Json& args) {
    Socket connection(socket);
    connection.write(Json{{"v", kVersion}, {"verb", verb}, {"args", args}}.dump() + '\n');
    const Json answer = Json::parse(connection.line());
    if (answer.value("ok", false)) return answer.at("result");
    throw Refused(answer.value("error", "no reason told"), answer.value("problems", ""));
}

}  // namespace lockgw::control
