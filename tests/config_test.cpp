#include "config/config.hpp"

#include <gtest/gtest.h>

#include "fronts/resp2/clients.hpp"
#include "net_helpers.hpp"

namespace lockgw {
namespace {

TEST(Config, ReadsWhatAForwarderIsTold) {
    const Config config = read_config(make_config("127.0.0.4:6379", "127.0.0.1:8500"));
    EXPECT_EQ(config.listen.port(), 6379);
    EXPECT_EQ(config.discovery->address().to_string(), "127.0.0.1");
    EXPECT_EQ(config.seed, 0x8c1f30d27a5be964u);
    EXPECT_EQ(config.disk_bytes, 3u << 20);
    EXPECT_EQ(config.names.classes.at("unsafe"), 2u);
    EXPECT_EQ(config.settings.classes[1].window, std::chrono::seconds(4));
    EXPECT_EQ(config.connect_timeout, std::chrono::milliseconds(1000));
}

TEST(Config, SaysWhatIsWrong) {
    const auto spoilt = [](const char* pointer, const Json& value) {
        Json file = make_config("127.0.0.4:6379", "127.0.0.1:8500");
        file[Json::json_pointer(pointer)] = value;
        return file;
    };
    EXPECT_THROW(read_config(spoilt("/listen", "6379")), std::exception);
    EXPECT_THROW(read_config(spoilt("/listen", "host.example:1")), std::exception);
    EXPECT_THROW(read_config(spoilt("/discovery", "127.0.0.1:99999")), std::exception);
    EXPECT_THROW(read_config(spoilt("/seed", "xyz")), std::exception);
    EXPECT_THROW(read_config(spoilt("/limits/sockets", 3)), std::exception);
    EXPECT_THROW(read_config(spoilt("/limits/disk_mb", -1)), std::exception);
    EXPECT_THROW(read_config(spoilt("/settings/classes", nullptr)), std::exception);
    EXPECT_THROW(read_config(Json::object()), std::exception);
}

// It was taken for the strictest one, also by SIGHUP.
TEST(Config, SaysWhereAnUnknownDedupScopeStands) {
    Json file = make_config("127.0.0.4:6379", "127.0.0.1:8500");
    Json& keyed = file["settings"]["classes"][1];
    for (const char* scope : {"all", "zone", "endpoint", "cell"}) {
        keyed["dedup_scope"] = scope;
        EXPECT_NO_THROW(read_config(file)) << scope;
    }
    keyed["dedup_scope"] = "zones";
    try {
        read_config(file);
        ADD_FAILURE() << "it was taken";
    } catch (const std::exception& bad) {
        EXPECT_NE(std::string(bad.what()).find("classes[keyed].dedup_scope"), std::string::npos)
            << bad.what();
    }
}

TEST(Enqueue, ReadsAMessage) {
    const Config config = read_config(make_config("127.0.0.4:6379", "127.0.0.1:8500"));
    const resp::Command command{
        "ENQUEUE", "0", "9b1f03aa5c7e2d41", "c=keyed,t=acme,d=8000,k=5c0f,dest=7,again=1", "BODY"};
    const Message message = message_of(command, config, Moment{});
    EXPECT_EQ(message.id, 0x9b1f03aa5c7e2d41u);
    EXPECT_EQ(message.key, "5c0f");
    EXPECT_EQ(message.destination, 7);
    EXPECT_EQ(message.deadline, Moment{} + std::chrono::milliseconds(8000));
    EXPECT_EQ(message.body, "BODY");
}

// Thousands of short names that are unknown here: each was copied into a map, 3.6 ms for a request of 64 KB.
TEST(Enqueue, ReadsAMessageAmongThousandsOfUnknownNames) {
    const Config config = read_config(make_config("127.0.0.4:6379", "127.0.0.1:8500"));
    std::string pairs = "dest=8";
    for (int i = 0; i < 9000; ++i) pairs += ',' + std::to_string(i) + "=1";
    pairs += ",c=keyed,t=acme,d=8000,k=5c0f,dest=7,";  // of a name that comes twice the last value counts
    const Message message = message_of({"ENQUEUE", "0", "9b1f03aa5c7e2d41", pairs, "BODY"}, config, Moment{});
    EXPECT_EQ(message.destination, 7);
    EXPECT_EQ(message.key, "5c0f");
    EXPECT_EQ(message.deadline, Moment{} + std::chrono::milliseconds(8000));
}

TEST(Enqueue, RejectsWhatItCannotRead) {
    const Config config = read_config(make_config("127.0.0.4:6379", "127.0.0.1:8500"));
    const auto refused = [&config](const std::string& id, const std::string& pairs) {
        EXPECT_THROW(
            message_of({"ENQUEUE", "0", id, pairs, ""}, config, Moment{}), cometspoke::settings::BadInput)
            << pairs;
    };
    const std::string id = "9b1f03aa5c7e2d41";
    refused("9b1f", "c=safe,t=acme,d=8000,dest=7");
    refused("9B1F03AA5C7E2D41", "c=safe,t=acme,d=8000,dest=7");
    for (const char* pairs : {"", "c=safe", "c=odd,t=acme,d=8000,dest=7", "c=safe,t=odd,d=8000,dest=7",
             "c=safe,t=acme,d=x,dest=7", "c=safe,t=acme,d=nan,dest=7", "c=safe,t=acme,d=-1,dest=7",
             "c=safe,t=acme,d=1e300,dest=7", "c=safe,t=acme,d=8000,dest=7.5", "c=safe,t=acme,d=8000",
             "c=keyed,t=acme,d=8000,dest=7", "c=keyed,t=acme,d=8000,dest=7,k=a\r\nb", "c=safe,,"})
        refused(id, pairs);
}

}  // namespace
}  // namespace lockgw
