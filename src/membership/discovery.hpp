/// The agent of discovery: the view of targets kept up, and notices to the platform.
///
/// The watch is renewed as soon as it is answered, and a second one is begun beside it as soon as it is
/// overdue: a request that hangs, or an answer that stops in its middle, costs a fraction of a second.
/// Notices are posted until they are answered 204, also beside a post that hangs.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "background/worker.hpp"
#include "base/final_status.hpp"
#include "membership/asker.hpp"
#include "membership/view.hpp"

namespace lockgw {

class Discovery {
public:
    struct Settings {
        std::optional<Tcp::endpoint> address;  ///< none: the known list is all that there is
        Json known;                            ///< the list as last had, in discovery's form
        std::set<std::string> zones, kinds;    ///< the names that the settings know
        std::size_t fleet = 1;                 ///< forwarders that ask as this one does
        std::uint64_t seed = 0;                ///< spreads what many forwarders would ask at one instant
        /// News of a drain must have been read so long after the agent has it, at the latest.
        std::chrono::milliseconds drain_grace{500};
        std::size_t most_list_bytes = kLeastListBytes;  ///< a longer answer is read as one that was cut off
    };
    using MessageId = cometspoke::MessageId;
    using Told = std::function<void(const View::Update&)>;
    using Confirmed = std::function<void(MessageId)>;

    /// `told`: whenever the view has something new.
    Discovery(boost::asio::io_context& io, Settings settings, Told told, Confirmed confirmed);

    /// Tells the list that the configuration has; before start().
    void take_known();
    void start();
    /// Another agent takes the place of the present one. It counts its own versions and has not seen what the
    /// old one did not confirm: the whole list is asked for, and every unconfirmed notice goes to it at once.
    /// Until it answers the last list stays in force.
    void move_to(const std::optional<Tcp::endpoint>& address);
    /// The settings know other names now.
    void names(std::set<std::string> zones, std::set<std::string> kinds) {
        view_.names(std::move(zones), std::move(kinds));
    }
    /// So many ask as this one does, as far as is known now.
    void among(std::size_t fleet);
    /// The settings have another grace for drains now.
    void drain_grace(std::chrono::milliseconds grace);
    /// Posted until it is answered 204. Without an agent it is logged, and counts as confirmed at once.
    void report(MessageId id, const FinalStatus& notice);

    const View& view() const { return view_; }
    /// The view in the form of take_known(), for another process; null where there is none.
    Json list() const { return view_.list(); }

private:
    void set_limits();
    void nobody_to_tell(MessageId id, const FinalStatus& notice);
    Asker::Request ask_list(std::uint64_t request);
    /// What could be made of an answer, without the view.
    struct Parsed {
        std::optional<TargetList> list;  ///< none where it is not whole
        TargetList stops;                ///< drains and departures that could be read all the same
        std::string why;
    };
    static Parsed parsed(const AgentConnection::Answer& answer);
    Asker::Verdict list_over(std::uint64_t request, const AgentConnection::Answer& answer);
    bool take(const View::Asked& asked, const Parsed& parsed);
    void taken(bool counts, const std::string& why);
    void go_on(std::uint64_t request);
    void tell_part();
    void finish_taking();
    bool judge_beside(std::uint64_t request, const View::Asked& asked, const AgentConnection::Answer& answer);
    void list_peek(std::uint64_t request, const AgentConnection::Answer& answer);
    void tell(const View::Update& update);
    void log_failure(const std::string& why);

    Asker::Request post_notices(std::uint64_t request);
    Asker::Verdict post_over(std::uint64_t request, const AgentConnection::Answer& answer);

    boost::asio::io_context& io_;
    std::optional<Tcp::endpoint> address_;
    std::size_t fleet_;
    AskPlan::Span drain_grace_, hold_, start_spread_;
    std::mt19937_64 random_;
    Json known_;
    Told told_;
    Confirmed confirmed_;
    View view_;
    std::map<std::uint64_t, View::Asked> asked_;  // by request
    std::map<MessageId, FinalStatus> notices_;
    std::map<std::uint64_t, std::vector<MessageId>> posted_;  // by request
    std::size_t failures_ = 0;                                // of the watch, in a row
    View::Time failing_since_{}, logged_{};
    bool part_failed_ = false;
    std::chrono::steady_clock::duration longest_part_{};  // of the list that is being taken in
    Asker watch_, reports_;
    Worker worker_;  // parses long lists: the loop goes on meanwhile
};

}  // namespace lockgw
