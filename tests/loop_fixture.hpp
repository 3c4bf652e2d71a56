/// A forwarder in the test's own process, between real connections. The test runs its loop, and lets it rest:
/// what happens meanwhile comes to the loop in one turn, so that the test decides which events cross each
/// other.
#pragma once

#include <future>

#include "core/forwarder.hpp"
#include "deliveries/http/targets.hpp"
#include "fronts/resp2/clients.hpp"
#include "node_fixture.hpp"

namespace lockgw {

inline Protocols real_protocols() {
    return {[](auto& io, const Config& config, std::size_t most, Intake& intake) {
                return std::make_unique<Clients>(io, config, most, intake);
            },
        [](auto& io, const Config& config, std::size_t most, Delivery::Callbacks callbacks) {
            return std::make_unique<Targets>(io, config, most, std::move(callbacks));
        }};
}

/// One forwarder, one target of destination 7, and discovery.
class LoopTest : public ::testing::Test {
protected:
    LoopTest() : address(rig::free_endpoint()), json(make_config(text_of(address), agent.address())) {
        json["known"] = target_list(1, true, {member("s-1", target.address(), 7)});
    }

    Config config() const {
        Config fresh = read_config(json);
        fresh.state = folder.path();
        return fresh;
    }
    /// After changes of `json`.
    void start() {
        forwarder.emplace(io, config(), real_protocols());
        forwarder->start();
    }
    /// Runs the loop until `what` holds; false where it does not in time.
    bool run_until(const std::function<bool()>& what) {
        const auto until = Clock::now() + kDeadline;
        while (!what()) {
            if (Clock::now() > until) return false;
            if (io.stopped()) return what();
            io.run_for(1ms);
        }
        return true;
    }
    /// Runs the loop while `work` waits for something in another thread.
    template <class Work>
    auto beside_the_loop(Work work) {
        auto result = std::async(std::launch::async, work);
        EXPECT_TRUE(run_until([&] { return result.wait_for(0s) == std::future_status::ready; }));
        return result.get();
    }
    std::string ask(Client& client, const std::vector<std::string>& words) {
        return beside_the_loop([&] { return client.ask(words); });
    }
    static std::vector<std::string> message(const std::string& id, const std::string& kind = "safe") {
        return {
            "ENQUEUE", "0000000000000000", id, "c=" + kind + ",t=acme,d=30000,k=" + id + ",dest=7", "BODY"};
    }
    std::size_t owed() const { return forwarder->status().at("held").get<std::size_t>(); }

    HttpStub agent, target;
    TemporaryFolder folder;
    Tcp::endpoint address;
    Json json;
    asio::io_context io{1};
    std::optional<Forwarder> forwarder;
    const std::string id = "9b1f03aa5c7e2d41", other_id = "00000000000000aa";
};

}  // namespace lockgw
