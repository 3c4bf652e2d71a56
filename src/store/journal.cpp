#include "store/journal.hpp"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <boost/crc.hpp>
#include <cerrno>
#include <cstring>
#include <stdexcept>
#include <system_error>
#include <utility>

#include "base/read_file.hpp"
#include "base/write_all.hpp"

namespace lockgw {
namespace {

// An older build takes a kind that it does not know for the end of the message named: what came later names
// message 0, which nobody hands in, and is passed over there. So that one can go back to an older build.
enum class Kind : std::uint8_t {
    Entry = 1,
    Begun,
    NeverRan,
    MayHaveRun,
    Delivered,
    Ended,
    Confirmed,
    Terms,  ///< of a class, by a number
    Under,  ///< by which terms the entry that follows was taken on
    Wait,   ///< that a target was told
    DeliveredUnconfirmed,
    EndedBefore,  ///< ids of messages that had ended before a compaction
};

constexpr std::size_t kHeader = 8;           // length and checksum
constexpr std::size_t kBlock = 512;          // files count in these
constexpr std::size_t kFolder = 4096;        // kept free for the folder itself
constexpr std::size_t kLongestTarget = 128;  // longer names are cut: they only tell where a repeat may go
constexpr std::size_t kGrowth =
    2 * kLongestTarget + 64;        // an entry may grow by so much after it was taken on
constexpr double kLiveShare = 0.4;  // of the room: the old file, the new one and some appending fit in it

constexpr std::size_t kTermsSize = 128;  // of a record of terms, with its frame; they have no texts
constexpr std::size_t kUnderSize = 32;   // and of one that says which ones an entry has
constexpr std::size_t kManyTerms = 64;   // from so many on those that no entry has are dropped

constexpr std::size_t kWaitSize = 64;  // of a record of a wait, with its frame, beside the target's name

constexpr std::size_t kUnconfirmedSize = 24;  // of a record of an unconfirmed delivery, with its frame

constexpr std::chrono::minutes kEndedLifetime{10};
constexpr std::size_t kMostEnded = 1u << 16;  // ids of ended messages in memory, some 70 bytes each
// In the file there are fewer where it holds much else: kEndedOfFree of what a compaction leaves free, and
// kMostEndedShare of all at the most.
constexpr double kEndedOfFree = 0.125, kMostEndedShare = 0.0625;
constexpr std::size_t kEndedSize = 24;        // of each in the record of a compaction,
constexpr std::size_t kEndedRecordSize = 32;  // and of the rest of it, with its frame

constexpr std::size_t kMostReserved = 1u << 20;  // entries

constexpr std::size_t kLeastCompaction = 512 * 1024;  // a file is written anew from this size,
constexpr std::size_t kStaleTimes = 4;                // and so many times what it would then hold

std::size_t in_blocks(std::size_t bytes) { return (bytes + kBlock - 1) / kBlock * kBlock; }

class Writer {
public:
    explicit Writer(Kind kind) { number(kind); }
    template <class T>
    Writer& number(T value) {
        char raw[sizeof(T)];
        std::memcpy(raw, &value, sizeof(T));
        bytes_.append(raw, sizeof(T));
        return *this;
    }
    Writer& text(std::string_view value) {
        number(static_cast<std::uint32_t>(value.size()));
        bytes_.append(value);
        return *this;
    }
    Writer& wall(const Moment& value) { return number<std::int64_t>(value.wall.count()); }
    /// The part of a moment that a record has at its end, where an older build does not read it.
    Writer& steady(const Moment& value) {
        return number<std::int64_t>(value.steady.count()).number<std::uint64_t>(value.boot_id);
    }
    /// A moment at the end of a record that has none in an older build.
    Writer& moment(const Moment& value) { return wall(value).steady(value); }
    Writer& attempt(const std::optional<BegunAttempt>& value) {
        number<std::uint8_t>(value.has_value());
        return value ? wall(value->since).text(value->target) : *this;
    }
    const std::string& bytes() const { return bytes_; }

private:
    std::string bytes_;
};

/// Throws std::out_of_range where a record is too short for what it says it holds.
class Reader {
public:
    explicit Reader(std::string_view bytes) : rest_(bytes) {}
    template <class T>
    T number() {
        T value;
        std::memcpy(&value, take(sizeof(T)).data(), sizeof(T));
        return value;
    }
    std::string text() { return std::string(take(number<std::uint32_t>())); }
    /// By the wall clock alone: `steady` reads the rest.
    Moment wall() {
        Moment moment;
        moment.wall = std::chrono::microseconds(number<std::int64_t>());
        return moment;
    }
    /// Nothing where an older build wrote the record: the moment stays one of the wall clock.
    void steady(Moment& moment) {
        if (rest_.empty()) return;
        moment.steady = std::chrono::microseconds(number<std::int64_t>());
        moment.boot_id = number<std::uint64_t>();
    }
    /// None where an older build wrote the record, or the moment was not known.
    std::optional<Moment> moment() {
        if (rest_.empty()) return std::nullopt;
        Moment moment = wall();
        steady(moment);
        return moment == Moment() ? std::nullopt : std::optional(moment);
    }
    std::optional<BegunAttempt> attempt() {
        if (number<std::uint8_t>() == 0) return std::nullopt;
        const Moment since = wall();
        return BegunAttempt{since, text()};
    }

private:
    std::string_view take(std::size_t count) {
        if (count > rest_.size()) throw std::out_of_range("record");
        const std::string_view taken = rest_.substr(0, count);
        rest_.remove_prefix(count);
        return taken;
    }
    std::string_view rest_;
};

std::string record_of(const Entry& entry) {
    const Message& message = entry.message;
    Writer writer(Kind::Entry);
    writer.number(message.id).text(message.message_class).text(message.tenant).text(message.key);
    writer.number(message.destination).wall(message.deadline).text(message.body);
    writer.number(entry.attempts).attempt(entry.doubt).attempt(entry.out);
    writer.number<std::uint8_t>(entry.notice.has_value());
    if (entry.notice) {
        writer.number<std::uint8_t>(entry.notice->refused);
        writer.number<std::int64_t>(entry.notice->retry_after.count());
    }
    writer.steady(message.deadline);
    for (const auto* attempt : {&entry.doubt, &entry.out})
        if (*attempt) writer.steady((*attempt)->since);
    return writer.bytes();
}
/// Of its record, or a little more, without writing it: it is asked for at every change of an entry.
std::size_t size_of(const Entry& entry) {
    constexpr std::size_t fixed =
        160 + kUnderSize + kUnconfirmedSize;  // all numbers, times and lengths of texts
    const Message& message = entry.message;
    return fixed + message.message_class.size() + message.tenant.size() + message.key.size() +
           message.body.size() + (entry.doubt ? entry.doubt->target.size() : 0) +
           (entry.out ? entry.out->target.size() : 0);
}
FinalStatus read_notice(Reader& reader) {
    const bool bounced = reader.number<std::uint8_t>() != 0;
    return {bounced, std::chrono::milliseconds(reader.number<std::int64_t>())};
}
Entry read_entry(MessageId id, Reader& reader) {
    Entry entry;
    Message& message = entry.message;
    message.id = id;
    message.message_class = reader.text();
    message.tenant = reader.text();
    message.key = reader.text();
    message.destination = reader.number<std::int64_t>();
    message.deadline = reader.wall();
    message.body = reader.text();
    entry.attempts = reader.number<std::uint32_t>();
    entry.doubt = reader.attempt();
    entry.out = reader.attempt();
    if (reader.number<std::uint8_t>() != 0) entry.notice = read_notice(reader);
    reader.steady(message.deadline);
    for (auto* attempt : {&entry.doubt, &entry.out})
        if (*attempt) reader.steady((*attempt)->since);
    return entry;
}

std::string unconfirmed_record(MessageId id) { return Writer(Kind::DeliveredUnconfirmed).number(id).bytes(); }

std::string terms_record(std::uint32_t number, const cometspoke::ClassSettings& terms) {
    Writer writer(Kind::Terms);
    writer.number<MessageId>(0).number(number);
    writer.number(static_cast<std::uint8_t>(terms.effect));
    writer.number(static_cast<std::uint8_t>(terms.dedup_scope));
    for (const auto span : {terms.window, terms.aim, terms.deadline})
        writer.number<std::int64_t>(span.count());
    writer.number(terms.worth).number(terms.late_worth);
    writer.number<std::uint8_t>(terms.sequential).number<std::uint64_t>(terms.max_attempts);
    return writer.bytes();
}
std::string under_record(MessageId id, std::uint32_t number) {
    return Writer(Kind::Under).number<MessageId>(0).number(id).number(number).bytes();
}
cometspoke::ClassSettings read_terms(Reader& reader) {
    cometspoke::ClassSettings terms;
    const auto effect = reader.number<std::uint8_t>(), scope = reader.number<std::uint8_t>();
    if (effect > static_cast<std::uint8_t>(cometspoke::Effect::Fragile) ||
        scope > static_cast<std::uint8_t>(cometspoke::DedupScope::Endpoint))
        throw std::out_of_range("terms");
    terms.effect = static_cast<cometspoke::Effect>(effect);
    terms.dedup_scope = static_cast<cometspoke::DedupScope>(scope);
    for (auto* span : {&terms.window, &terms.aim, &terms.deadline})
        *span = cometspoke::Time(reader.number<std::int64_t>());
    terms.worth = reader.number<double>();
    terms.late_worth = reader.number<double>();
    terms.sequential = reader.number<std::uint8_t>() != 0;
    terms.max_attempts = static_cast<std::size_t>(reader.number<std::uint64_t>());
    return terms;
}

std::string wait_record(std::string_view target, const KeptWait& wait) {
    Writer writer(Kind::Wait);
    writer.number<MessageId>(0).text(target.substr(0, kLongestTarget)).number(wait.destination);
    for (const auto span : {wait.span, wait.told.steady, wait.told.wall})
        writer.number<std::int64_t>(span.count());
    return writer.number(wait.told.boot_id).bytes();
}
KeptWait read_wait(Reader& reader) {
    KeptWait wait;
    wait.destination = reader.number<std::int64_t>();
    for (auto* span : {&wait.span, &wait.told.steady, &wait.told.wall})
        *span = std::chrono::microseconds(reader.number<std::int64_t>());
    wait.told.boot_id = reader.number<std::uint64_t>();
    return wait;
}

std::uint32_t checksum(std::string_view bytes) {
    boost::crc_32_type sum;
    sum.process_bytes(bytes.data(), bytes.size());
    return sum.checksum();
}
std::string framed(const std::string& record) {
    const std::uint32_t head[] = {static_cast<std::uint32_t>(record.size()), checksum(record)};
    std::string bytes(kHeader, '\0');
    std::memcpy(bytes.data(), head, kHeader);
    return bytes + record;
}
/// The record at the front; none where it is torn or garbage.
std::optional<std::string_view> unframed(std::string_view bytes) {
    std::uint32_t head[2];
    if (bytes.size() < kHeader) return std::nullopt;
    std::memcpy(head, bytes.data(), kHeader);
    bytes.remove_prefix(kHeader);
    if (head[0] == 0 || head[0] > bytes.size()) return std::nullopt;
    bytes = bytes.substr(0, head[0]);
    return checksum(bytes) == head[1] ? std::optional(bytes) : std::nullopt;
}

}  // namespace

Descriptor::Descriptor(Descriptor&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
Descriptor& Descriptor::operator=(Descriptor&& other) noexcept {
    std::swap(fd_, other.fd_);
    return *this;
}
Descriptor::~Descriptor() {
    if (fd_ >= 0) ::close(fd_);
}

Journal::Journal(std::filesystem::path folder, std::size_t disk_bytes, std::size_t expected)
    : folder_(std::move(folder)),
      most_(disk_bytes - std::min(disk_bytes, kFolder)),
      ended_(kEndedLifetime, kMostEnded) {
    entries_.reserve(std::min(expected, kMostReserved));
    std::error_code ignored;
    std::filesystem::remove(folder_ / "journal.new", ignored);  // a compaction that was cut off
    recover();
    if (compact()) return;
    file_ =
        Descriptor(::open((folder_ / "journal").c_str(), O_WRONLY | O_CREAT | O_CLOEXEC | O_APPEND, 0600));
    if (file_.get() < 0 || ::ftruncate(file_.get(), static_cast<off_t>(size_)) != 0)
        throw std::system_error(
            errno, std::generic_category(), "the journal in " + folder_.string() + " cannot be written");
}

void Journal::recover() {
    const std::optional<std::string> file = read_file(folder_ / "journal");
    found_ = file.has_value();
    const std::string bytes = file.value_or("");
    while (const auto record = unframed(std::string_view(bytes).substr(size_))) {
        if (!apply(*record)) break;
        size_ += kHeader + record->size();
    }
}

const Entry* Journal::find(MessageId id) const {
    const auto found = entries_.find(id);
    return found == entries_.end() ? nullptr : &found->second;
}

std::vector<const Entry*> Journal::in_order() const {
    std::vector<const Entry*> all;
    all.reserve(entries_.size());
    for (const Entry& entry : in_order_) all.push_back(&entry);
    return all;
}

std::size_t Journal::cost(const Entry& entry) { return kHeader + size_of(entry) + kGrowth; }

/// What a record says, done to the entries: the same for one just written and for one read back.
bool Journal::apply(std::string_view record) try {
    Reader reader(record);
    const auto kind = static_cast<Kind>(reader.number<std::uint8_t>());
    const auto id = reader.number<MessageId>();
    if (kind == Kind::Terms) {
        const auto number = reader.number<std::uint32_t>();
        const auto terms = std::make_shared<const cometspoke::ClassSettings>(read_terms(reader));
        if (terms_.insert_or_assign(number, terms).second) live_ += kTermsSize;
        return true;
    }
    if (kind == Kind::Under) {
        const auto message = reader.number<MessageId>();
        under_.emplace(message, reader.number<std::uint32_t>());
        return true;
    }
    if (kind == Kind::Wait) {
        const std::string target = reader.text();
        const KeptWait wait = read_wait(reader);
        if (waits_.insert_or_assign(target, wait).second) live_ += kWaitSize + target.size();
        return true;
    }
    if (kind == Kind::EndedBefore) {
        EndedMessages::Ended ended;
        ended.at.boot_id = reader.number<std::uint64_t>();
        for (auto left = reader.number<std::uint32_t>(); left > 0; --left) {
            ended.id = reader.number<MessageId>();
            ended.at.steady = std::chrono::microseconds(reader.number<std::int64_t>());
            ended.at.wall = std::chrono::microseconds(reader.number<std::int64_t>());
            ended_.add(ended.id, ended.at);
        }
        return true;
    }
    if (kind == Kind::Entry) {
        Entry entry = read_entry(id, reader);
        if (const auto under = std::exchange(under_, std::nullopt); under && under->first == id)
            if (const auto terms = terms_.find(under->second); terms != terms_.end())
                entry.message.terms = terms->second;
        if (entries_.contains(id)) return false;
        live_ += cost(entry);
        if (entry.owed()) ++unended_;
        in_order_.push_back(entries_.emplace(id, std::move(entry)).first->second);
        return true;
    }
    const auto found = entries_.find(id);
    if (found == entries_.end()) return true;
    Entry& entry = found->second;
    live_ -= cost(entry);
    if (entry.owed()) --unended_;
    if (kind == Kind::Begun) {
        entry.unconfirmed = false;
        entry.doubt = entry.may_have_run();
        const Moment since = reader.wall();
        entry.out = BegunAttempt{since, reader.text()};
        reader.steady(entry.out->since);
        ++entry.attempts;
    } else if (kind == Kind::NeverRan) {
        entry.out.reset();
    } else if (kind == Kind::MayHaveRun) {
        entry.doubt = entry.may_have_run();
        entry.out.reset();
    } else if (kind == Kind::DeliveredUnconfirmed) {
        entry.unconfirmed = true;
        entry.doubt = entry.may_have_run();
        entry.out.reset();
    } else if (kind == Kind::Ended) {
        entry.unconfirmed = false;
        entry.notice = read_notice(reader);
        std::string().swap(entry.message.body);
        if (const auto at = reader.moment()) ended_.add(id, *at);
    } else {
        entries_.erase(found);
        if (const auto at = reader.moment()) ended_.add(id, *at);
        return true;
    }
    live_ += cost(entry);
    if (entry.owed()) ++unended_;
    return true;
} catch (const std::out_of_range&) {
    return false;
}

bool Journal::take_on(const Message& message) {
    Entry entry;
    entry.message = message;
    const auto most_live = static_cast<std::size_t>(kLiveShare * static_cast<double>(most_));
    if (entries_.contains(message.id) || live_ + cost(entry) > most_live) return false;
    const bool taken = take_on(entry);
    if (taken && in_turn_) only_pending_.insert(message.id);
    return taken;
}
/// Of a message that there is room for.
bool Journal::take_on(const Entry& entry) {
    const Message& message = entry.message;
    const std::string record = record_of(entry);
    if (!message.terms) return append(record) && apply(record);
    const auto number = number_of(message.terms);
    if (!number) return false;
    // In one piece: a compaction between the two would leave out the first, which no entry has yet.
    const std::string under = under_record(message.id, *number);
    return append_framed(framed(under) + framed(record)) && apply(under) && apply(record);
}
/// Of these terms; written down first where they have none yet. None where that cannot be kept.
std::optional<std::uint32_t> Journal::number_of(const Terms& terms) {
    for (const auto& [number, one] : terms_)
        if (one == terms || *one == *terms) return number;
    if (terms_.size() >= kManyTerms) {
        std::set<const cometspoke::ClassSettings*> used;
        for (const Entry& entry : in_order_) used.insert(entry.message.terms.get());
        live_ -= kTermsSize *
                 std::erase_if(terms_, [&](const auto& one) { return !used.contains(one.second.get()); });
    }
    const std::uint32_t number = terms_.empty() ? 1 : terms_.rbegin()->first + 1;
    const std::string record = terms_record(number, *terms);
    if (!append(record) || !apply(record)) return std::nullopt;
    return number;
}
bool Journal::begin_attempt(MessageId id, const std::string& target, const Moment& now) {
    Writer writer(Kind::Begun);
    writer.number(id).wall(now).text(std::string_view(target).substr(0, kLongestTarget)).steady(now);
    if (append(writer.bytes())) return apply(writer.bytes());
    if (const auto found = entries_.find(id); found != entries_.end()) ++found->second.attempts;
    stale_ = true;
    return false;
}
void Journal::end_attempt(MessageId id, bool never_ran) {
    write(Writer(never_ran ? Kind::NeverRan : Kind::MayHaveRun).number(id).bytes());
}
void Journal::delivered(MessageId id, const Moment& now) {
    write(Writer(Kind::Delivered).number(id).moment(now).bytes());
}
void Journal::confirmed(MessageId id, const Moment& now) {
    write(Writer(Kind::Confirmed).number(id).moment(now).bytes());
}
void Journal::end(MessageId id, FinalStatus notice, const Moment& now) {
    Writer writer(Kind::Ended);
    writer.number(id).number<std::uint8_t>(notice.refused).number<std::int64_t>(notice.retry_after.count());
    write(writer.moment(now).bytes());
}

void Journal::wait_told(const std::string& name, const KeptWait& wait) {
    const std::string target = name.substr(0, kLongestTarget);
    if (waits_.size() >= kMostWaits && !waits_.contains(target)) {
        const auto first = std::min_element(waits_.begin(), waits_.end(),
            [](const auto& a, const auto& b) { return a.second.told.steady < b.second.told.steady; });
        wait_over(std::string(first->first));
    }
    write(wait_record(target, wait));
}
void Journal::wait_over(const std::string& name) {
    const std::string target = name.substr(0, kLongestTarget);
    if (waits_.erase(target) > 0) live_ -= kWaitSize + target.size();
}

/// What has happened counts also where it cannot be written now: the next compaction brings it.
void Journal::write(const std::string& record) {
    if (!append(record)) stale_ = true;
    apply(record);
}

bool Journal::room_for(std::size_t bytes) const {
    const std::size_t fresh = pending_.size() + bytes;
    return in_blocks(size_ + fresh) + in_blocks(compacted_size() + bytes) <= most_;
}

/// How many of the ended messages a compaction would write.
std::size_t Journal::stored_ended() const {
    const auto most = static_cast<double>(most_);
    const double free = std::max(0.0, most - 2.0 * static_cast<double>(live_));
    const double room = std::min(kEndedOfFree * free, kMostEndedShare * most);
    return std::min(ended_.size(), static_cast<std::size_t>(room) / kEndedSize);
}
/// At most so many bytes are in the file after a compaction.
std::size_t Journal::compacted_size() const {
    const std::size_t ended = stored_ended();
    return live_ + (ended > 0 ? kEndedRecordSize + ended * kEndedSize : 0);
}
/// The newest ended messages, of this boot of the machine; empty where there are none.
std::string Journal::ended_record() const {
    const std::size_t count = stored_ended();
    if (count == 0) return {};
    const auto& all = ended_.in_order();
    const std::uint64_t boot_id = all.back().at.boot_id;
    const auto first = all.end() - static_cast<std::ptrdiff_t>(count);
    const auto stored = [boot_id](const EndedMessages::Ended& one) { return one.at.boot_id == boot_id; };
    Writer writer(Kind::EndedBefore);
    writer.number<MessageId>(0).number(boot_id);
    writer.number(static_cast<std::uint32_t>(std::count_if(first, all.end(), stored)));
    for (auto one = first; one != all.end(); ++one)
        if (stored(*one))
            writer.number(one->id)
                .number<std::int64_t>(one->at.steady.count())
                .number<std::int64_t>(one->at.wall.count());
    return framed(writer.bytes());
}

bool Journal::append(const std::string& record) { return append_framed(framed(record)); }

/// Whole records, which a compaction never parts.
bool Journal::append_framed(const std::string& bytes) {
    // The file counts as memory, and all of it is read at the next start.
    const std::size_t size = size_ + pending_.size();
    if (size > kLeastCompaction && size > kStaleTimes * compacted_size()) compact();
    if ((stale_ || !room_for(bytes.size())) && !compact()) return false;
    if (!room_for(bytes.size())) return false;
    if (in_turn_) {
        pending_ += bytes;
        return true;
    }
    return put(bytes);
}

bool Journal::put(std::string_view bytes) {
    if (write_all(file_.get(), bytes)) {
        size_ += bytes.size();
        return true;
    }
    // Half a record would hide all that is appended behind it.
    stale_ = ::ftruncate(file_.get(), static_cast<off_t>(size_)) != 0;
    return false;
}

void Journal::begin_turn() {
    if (std::exchange(in_turn_, true)) return;
    only_pending_.clear();
}

bool Journal::keep_turn() {
    in_turn_ = false;
    const std::string bytes = std::exchange(pending_, {});
    if (bytes.empty() || put(bytes)) return true;
    stale_ = true;  // what has ended is known here, and must get there
    return compact();
}

bool Journal::withdraw(MessageId id) {
    if (only_pending_.erase(id) == 0) return false;
    return apply(Writer(Kind::Delivered).number(id).bytes());
}

/// Writes the entries to a new file and puts it in the place of the old one.
bool Journal::compact() {
    std::string bytes;
    std::map<const cometspoke::ClassSettings*, std::uint32_t> numbers;
    for (const auto& [number, terms] : terms_) {
        bytes += framed(terms_record(number, *terms));
        numbers.emplace(terms.get(), number);
    }
    for (const auto& [target, wait] : waits_) bytes += framed(wait_record(target, wait));
    for (const Entry& entry : in_order_) {
        if (const auto found = numbers.find(entry.message.terms.get()); found != numbers.end())
            bytes += framed(under_record(entry.message.id, found->second));
        bytes += framed(record_of(entry));
        if (entry.unconfirmed) bytes += framed(unconfirmed_record(entry.message.id));
    }
    const std::string ended = ended_record();
    if (in_blocks(size_) + in_blocks(bytes.size() + ended.size()) <= most_) bytes += ended;
    if (in_blocks(size_) + in_blocks(bytes.size()) > most_) return false;
    const auto fresh = folder_ / "journal.new";
    const auto open = [&fresh] {
        return ::open(fresh.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC | O_APPEND, 0600);
    };
    Descriptor file(open());
    if (file.get() < 0 && out_of_descriptors(errno) && spare_.release()) file = Descriptor(open());
    if (file.get() < 0) return false;
    std::error_code failed;
    if (write_all(file.get(), bytes)) {
        std::filesystem::rename(fresh, folder_ / "journal", failed);
        if (!failed) {
            file_ = std::move(file);
            file = Descriptor();  // the old file's: the spare one takes its place
            spare_.acquire();
            size_ = bytes.size();
            pending_.clear();  // the entries hold what it says
            only_pending_.clear();
            stale_ = false;
            return true;
        }
    }
    std::filesystem::remove(fresh, failed);
    return false;
}

}  // namespace lockgw
