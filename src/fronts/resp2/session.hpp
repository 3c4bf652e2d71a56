/// One client connection: reads a command, has it answered, writes the answer, and only then goes on.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <memory>
#include <string>

#include "admission/door.hpp"
#include "admission/read_turns.hpp"
#include "base/timer.hpp"
#include "config/config.hpp"
#include "fronts/resp2/resp.hpp"

namespace lockgw {

class Clients;

class ClientSession : public std::enable_shared_from_this<ClientSession> {
public:
    /// `owner` outlives it.
    ClientSession(Tcp::socket socket, Clients& owner, admission::Ticket ticket, admission::Owner source);

    /// Reads at once what has come already.
    void start();
    /// Something has come that is not read yet: to close now would lose a request.
    bool unread();
    /// Its client has closed, or ended its sending: most likely nobody waits for the answer.
    bool hung_up();
    /// Its connection was reset, or is closed here: nobody can read an answer any more.
    bool is_over();
    /// Reads now, without waiting for the loop to tell.
    void read_now() { take(); }
    /// The same in its turn, and gives the bytes read.
    std::size_t read_in_turn();
    void close(bool for_room = false);
    /// Its connection is to end, and all that is read from now on is refused. `answer` is that of the command
    /// that was handed on, or of the one that has begun.
    void turn_away(std::string answer);
    /// The same where there is no such command.
    void refuse_further();
    /// Of what has come and was not read each command is refused, within this call. Not while an answer is
    /// being written.
    void refuse_unread();
    /// Between requests, without an answer: ends this side's sending at once (a half-close). What the client
    /// sends from then on is read and dropped until it has closed, too; nothing of it is taken on.
    void end_sending();
    /// The same once nothing has come for a while, where its latest answer was written only just.
    void end_when_quiet();
    /// The answer to the command that was handed on; `useful`: it was a message in good form.
    void answer(std::string text, bool useful);

    admission::Ticket ticket() const { return ticket_; }
    const admission::ReadMeter& meter() const { return meter_; }
    admission::Owner source() const { return source_; }
    /// When the last byte of the present command came, as far as the kernel tells; not before the answer to
    /// the one before was written.
    admission::Instant arrived() const { return arrived_; }
    /// The same, whatever it has waited for behind others of its connection.
    admission::Instant came() const { return came_; }

private:
    enum class Phase {
        Open,      ///< commands are handed to the owner
        Refusing,  ///< each that still comes is refused, until none has come for a while
        Ended,     ///< this side's sending has ended, or does behind the answer that is being written
    };

    void await();
    void take();
    void next();
    void refuse_next();
    std::string refusals();
    void count_buffered();
    void write(std::string text);
    void written();
    void rest();
    bool linger();
    bool is_to_end() const;
    admission::Span linger_span() const;
    void end_after_linger();
    void leave(Phase phase);
    void end_behind(std::string answer);
    void finish();
    void discard(std::size_t count);

    Tcp::socket socket_;
    Clients& owner_;
    admission::Ticket ticket_;
    admission::Owner source_;
    admission::Instant arrived_{}, came_{};
    resp::Parser parser_;
    std::string out_;
    admission::ReadMeter meter_;
    admission::Owner buffered_by_ = 0;  // to whom the bytes held are counted
    std::size_t buffered_ = 0, discarded_ = 0;
    std::unique_ptr<Timer> linger_timer_;  // made when the connection is to end
    admission::Instant lingers_since_{};
    Phase phase_ = Phase::Open;
    bool let_go_ = false;          // it ends once nothing has come for a while
    bool answered_early_ = false;  // the command that has begun
    bool awaiting_ = false, in_turn_ = false, asking_ = false, closed_ = false, useful_ = false;
};

}  // namespace lockgw
