#include "rig/tier/relay.hpp"

#include <boost/asio/write.hpp>
#include <chrono>
#include <utility>

#include "rig/node.hpp"

namespace lockgw::rig::tier {

namespace {
const auto kLoopback = asio::ip::address_v4::loopback();
}

NoteMesh::NoteMesh(asio::io_context& io, std::size_t forwarders, std::uint64_t seed)
    : io_(io), random_(seed), from_(forwarders), in_(forwarders), faults_(forwarders) {
    std::vector<Udp::socket> taken;  // given back together: the forwarders bind them
    for (std::size_t i = 0; i < forwarders; ++i) {
        // on a host that no other process draws a port of meanwhile
        taken.emplace_back(io, Udp::endpoint(free_endpoint().address(), 0));
        ends_.push_back(std::make_unique<Udp::socket>(io, Udp::endpoint(kLoopback, 0)));
        own_.push_back(taken.back().local_endpoint());
        number_[own_.back()] = i;
    }
    for (std::size_t i = 0; i < forwarders; ++i) receive(i);
}

void NoteMesh::receive(std::size_t to) {
    ends_[to]->async_receive_from(
        asio::buffer(in_[to]), from_[to], [this, to](auto failed, std::size_t count) {
            if (failed == asio::error::operation_aborted) return;
            const auto from = number_.find(from_[to]);
            if (!failed && from != number_.end()) pass(from->second, to, std::string(in_[to].data(), count));
            receive(to);
        });
}

void NoteMesh::pass(std::size_t from, std::size_t to, std::string bytes) {
    ++notes_, bytes_ += bytes.size();
    if (on_note) on_note();
    const Fault &a = faults_[from], &b = faults_[to];
    const bool apart = a.island != b.island && ((a.island > 0 && a.mute) || (b.island > 0 && b.deaf));
    if (apart || lost_.contains({from, to}) || chance(a.lost) || chance(b.lost)) return;
    if (!bytes.empty() && (chance(a.spoilt) || chance(b.spoilt)))
        bytes[random_() % bytes.size()] ^= static_cast<char>(1 + random_() % 255);
    const int copies = 1 + chance(a.doubled) + chance(b.doubled);
    const auto go = [this, from, to, copies, bytes = std::move(bytes)] {
        boost::system::error_code lost;
        for (int i = 0; i < copies; ++i) ends_[from]->send_to(asio::buffer(bytes), own_[to], 0, lost);
    };
    const double late = a.late_s + b.late_s;
    if (late <= 0) return go();
    const auto timer = std::make_shared<asio::steady_timer>(
        io_, std::chrono::microseconds(static_cast<std::int64_t>(late * 1e6)));
    timer->async_wait([timer, go](auto) { go(); });
}

class TcpRelay::Pair : public std::enable_shared_from_this<Pair> {
public:
    Pair(TcpRelay& owner, Tcp::socket near) : owner_(owner), near_(std::move(near)), far_(owner.io_) {}
    void start() {
        far_.async_connect(owner_.upstream_, [self = shared_from_this()](auto failed) {
            if (self->ended_) return;
            if (failed) return self->reset();
            boost::system::error_code ignored;
            self->near_.set_option(Tcp::no_delay(true), ignored);
            self->far_.set_option(Tcp::no_delay(true), ignored);
            self->pump(self->near_, self->far_, self->out_, self->owner_.silent_out_);
            self->pump(self->far_, self->near_, self->back_, self->owner_.silent_back_);
        });
    }
    void reset() {
        end();
        boost::system::error_code ignored;
        for (Tcp::socket* one : {&near_, &far_}) {
            one->set_option(asio::socket_base::linger(true, 0), ignored);
            one->close(ignored);
        }
        owner_.pairs_.erase(shared_from_this());
    }
    void close() {
        end();
        boost::system::error_code ignored;
        near_.close(ignored), far_.close(ignored);
    }
    /// What was held back while the link was silent goes on.
    void go_on() {
        for (auto& held : std::exchange(held_, {})) held();
    }

private:
    /// What is held back holds this pair in turn; and the relay may be gone before the loop's last turn.
    void end() {
        ended_ = true;
        held_.clear();
    }
    void pump(Tcp::socket& from, Tcp::socket& to, std::array<char, 16384>& in, const bool& silent) {
        from.async_read_some(asio::buffer(in),
            [this, self = shared_from_this(), &from, &to, &in, &silent](auto failed, auto count) {
                if (ended_) return;
                const auto go = [this, self, &from, &to, &in, &silent, failed, count] {
                    if (ended_) return;
                    if (failed) return close(), void(owner_.pairs_.erase(self));
                    asio::async_write(
                        to, asio::buffer(in, count), [this, self, &from, &to, &in, &silent](auto bad, auto) {
                            if (ended_) return;
                            if (bad) return close(), void(owner_.pairs_.erase(self));
                            pump(from, to, in, silent);
                        });
                };
                silent ? held_.push_back(go) : go();
            });
    }

    TcpRelay& owner_;
    Tcp::socket near_, far_;
    std::array<char, 16384> out_{}, back_{};
    std::vector<std::function<void()>> held_;
    bool ended_ = false;
};

TcpRelay::TcpRelay(asio::io_context& io, const Tcp::endpoint& upstream)
    : io_(io), upstream_(upstream), acceptor_(io, Tcp::endpoint(kLoopback, 0)) {
    accept();
}
TcpRelay::~TcpRelay() {
    for (const auto& pair : std::exchange(pairs_, {})) pair->close();
}

void TcpRelay::accept() {
    acceptor_.async_accept([this](auto failed, Tcp::socket socket) {
        if (failed) return;
        const auto pair = std::make_shared<Pair>(*this, std::move(socket));
        pairs_.insert(pair);
        pair->start();
        accept();
    });
}

void TcpRelay::silence(bool towards_upstream, bool back) {
    silent_out_ = towards_upstream, silent_back_ = back;
    if (!towards_upstream && !back)
        for (const auto& pair : std::set(pairs_)) pair->go_on();
}

}  // namespace lockgw::rig::tier
