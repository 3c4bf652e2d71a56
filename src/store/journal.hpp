/// What a forwarder owes, kept in files that outlast its process.
///
/// Records are appended with length and checksum. What is written to a file outlasts the process without a
/// sync; only the last record can be torn. The entries in memory are the truth; the file follows them.
///
/// Within a turn (begin_turn to keep_turn) records wait and are written in one go: nothing that follows from
/// them may be done before keep_turn() has said that they are kept. Outside of one each is written at once.
#pragma once

#include <boost/intrusive/list.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <filesystem>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/clocks.hpp"
#include "base/final_status.hpp"
#include "base/spare_descriptor.hpp"
#include "cometspoke/sender.hpp"
#include "store/ended_messages.hpp"

namespace lockgw {

using cometspoke::MessageId;

/// A message as its client handed it in. Class and tenant go by name: their order may change with a restart.
struct Message {
    MessageId id = 0;
    std::string message_class, tenant, key;
    std::int64_t destination = 0;
    Moment deadline;
    std::string body;
    /// Of its class when it was taken on: they bind to its end, whatever the settings say later. None: of a
    /// journal by an older build, or not told.
    std::shared_ptr<const cometspoke::ClassSettings> terms{};
};
struct BegunAttempt {
    Moment since;
    std::string target;
};
/// A copy stands in no order.
struct Entry : boost::intrusive::list_base_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>> {
    Message message;
    std::uint32_t attempts = 0;
    std::optional<BegunAttempt> doubt;  ///< the first attempt that may have run
    std::optional<BegunAttempt> out;    ///< the one without an outcome
    std::optional<FinalStatus> notice;  ///< the message is over, and this is not confirmed yet
    /// Delivered, by an answer that may belong to another call; told by journals of an older build alone.
    bool unconfirmed = false;
    /// Still to be delivered or ended.
    bool owed() const { return !notice && !unconfirmed; }
    /// The first attempt that may have run if the process ended now.
    const std::optional<BegunAttempt>& may_have_run() const { return doubt ? doubt : out; }
};

/// A wait that a target was told, for whoever has to keep it after this process.
struct KeptWait {
    std::int64_t destination = 0;
    std::chrono::microseconds span{0};
    Moment told;
};

class Descriptor {
public:
    explicit Descriptor(int fd = -1) : fd_(fd) {}
    Descriptor(Descriptor&& other) noexcept;
    Descriptor& operator=(Descriptor&& other) noexcept;
    ~Descriptor();
    int get() const { return fd_; }

private:
    int fd_;
};

class Journal {
public:
    /// Reads back what an earlier process owed. Throws std::runtime_error where the folder cannot be used.
    /// `expected`: entries that it is to hold without making room for them in the middle of a turn.
    Journal(std::filesystem::path folder, std::size_t disk_bytes, std::size_t expected = 0);
    ~Journal() { keep_turn(); }
    Journal(const Journal&) = delete;
    Journal& operator=(const Journal&) = delete;

    const std::unordered_map<MessageId, Entry>& entries() const { return entries_; }
    const Entry* find(MessageId id) const;
    /// How many of the entries are messages that are still to be delivered or ended.
    std::size_t unended() const { return unended_; }
    /// In the order in which they were taken on.
    std::vector<const Entry*> in_order() const;

    void begin_turn();
    /// Writes what the turn has recorded. False where that cannot be: messages that it took on must be given
    /// back with withdraw(), attempts that it began ended with end_attempt(); all else is brought by the next
    /// write that succeeds.
    bool keep_turn();
    /// After keep_turn() has returned false: removes a message that the turn took on, so that nothing is
    /// owed. Returns false, and keeps the message, if the file already holds it because the journal was
    /// compacted within the turn: a later process would find it, so it is owed.
    bool withdraw(MessageId id);

    /// False where it could not be kept: nothing is owed then.
    bool take_on(const Message& message);
    /// False where it could not be kept: the attempt counts, but must not begin.
    bool begin_attempt(MessageId id, const std::string& target, const Moment& now);
    /// The attempt that is out has an outcome.
    void end_attempt(MessageId id, bool never_ran);
    // `now`: when the message ended, from where on has_ended() knows it. Unknown by default: it is forgotten.
    void delivered(MessageId id, const Moment& now = {});
    void end(MessageId id, FinalStatus notice, const Moment& now = {});
    void confirmed(MessageId id, const Moment& now = {});
    /// Whether a message with this id has ended lately, in this process or an earlier one.
    bool has_ended(MessageId id, const Moment& now) { return ended_.contains(id, now); }

    /// In the place of what `target` was told before. Of more than kMostWaits the one told first goes.
    void wait_told(const std::string& target, const KeptWait& wait);
    /// It is over: a compaction leaves it out.
    void wait_over(const std::string& target);
    const std::map<std::string, KeptWait>& waits() const { return waits_; }
    static constexpr std::size_t kMostWaits = 512;
    /// There was a file to read.
    bool found() const { return found_; }

private:
    void recover();
    bool take_on(const Entry& entry);
    bool apply(std::string_view record);
    bool append(const std::string& record);
    bool append_framed(const std::string& bytes);
    using Terms = std::shared_ptr<const cometspoke::ClassSettings>;
    std::optional<std::uint32_t> number_of(const Terms& terms);
    bool put(std::string_view bytes);
    bool compact();
    void write(const std::string& record);
    bool room_for(std::size_t bytes) const;
    std::size_t stored_ended() const;
    std::size_t compacted_size() const;
    std::string ended_record() const;
    static std::size_t cost(const Entry& entry);

    std::filesystem::path folder_;
    std::size_t most_;      // bytes that both files together may take
    std::size_t size_ = 0;  // of the file
    std::size_t live_ = 0;  // at most so much after a compaction
    bool in_turn_ = false;
    std::string pending_;               // records of the turn
    std::set<MessageId> only_pending_;  // messages taken on in the turn that no file holds yet
    bool stale_ = false;  // the file lacks something: it must be written anew before the next record
    Descriptor file_;
    SpareDescriptor spare_;  // for a compaction where none is left: it must not wait for room
    // in the order of taking on; declared first, for the entries take themselves out of it
    boost::intrusive::list<Entry, boost::intrusive::constant_time_size<false>> in_order_;
    std::unordered_map<MessageId, Entry> entries_;
    std::size_t unended_ = 0;
    std::map<std::uint32_t, Terms> terms_;   // by the numbers that the file gives them
    std::map<std::string, KeptWait> waits_;  // by target
    EndedMessages ended_;
    bool found_ = false;
    std::optional<std::pair<MessageId, std::uint32_t>> under_;  // of the entry that is read next
};

}  // namespace lockgw
