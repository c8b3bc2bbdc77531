#include "cardamomchute/peers/channel_mesh.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <chrono>

namespace cardamomchute {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr std::chrono::seconds kGiveUp(10);

/// Answers every statement with its own bytes.
ToOwnerSink Echo(const OpenChannel&, FromOwnerSink sink) {
  return [sink](ToOwner message) {
    Statement* statement = std::get_if<Statement>(&message);
    if (statement == nullptr) return;
    sink(AnswerData{statement->number, statement->bytes});
    StatementEnd end;
    end.number = statement->number;
    sink(end);
  };
}

struct TwoVms {
  asio::io_context io;
  std::shared_ptr<ChannelMesh> near;
  std::shared_ptr<ChannelMesh> far;
  std::unique_ptr<MeshListener> listener;
  Address far_address{"127.0.0.1", 0};

  explicit TwoVms(ChannelOpener far_opener) {
    near = std::make_shared<ChannelMesh>(MeshParams{VmId("near"), &io, Echo});
    PeerRequestHandler on_peer_request =
        [](std::string question, std::function<void(std::string)> reply) {
          reply("answer to " + question);
        };
    far = std::make_shared<ChannelMesh>(
        MeshParams{VmId("far"), &io, std::move(far_opener), on_peer_request});
    listener = std::make_unique<MeshListener>(
        &io, std::vector<std::shared_ptr<ChannelMesh>>{far},
        std::vector<asio::io_context*>{&io});
    BOOST_REQUIRE(listener->Listen(far_address).has_value());
    far_address.port = listener->port();
  }

  ~TwoVms() {
    near->Close();
    far->Close();
    listener->Close();
    io.restart();
    io.poll();
  }
};

Statement Numbered(uint64_t number, std::string bytes) {
  Statement statement;
  statement.number = number;
  statement.bytes = std::move(bytes);
  return statement;
}

}  // namespace

BOOST_AUTO_TEST_CASE(a_statement_is_answered_by_another_vm) {
  TwoVms vms(Echo);
  std::string answer;
  ToOwnerSink to_owner =
      vms.near->Open(vms.far_address, OpenChannel{}, [&](FromOwner message) {
        if (AnswerData* data = std::get_if<AnswerData>(&message)) {
          answer += data->bytes;
        }
        if (std::holds_alternative<StatementEnd>(message)) vms.io.stop();
      });
  to_owner(Numbered(1, "hello"));
  vms.io.run_for(kGiveUp);
  BOOST_TEST(answer == "hello");
}

BOOST_AUTO_TEST_CASE(the_first_answer_of_a_link_may_be_large) {
  TwoVms vms(Echo);
  size_t answered = 0;
  bool reset = false;
  ToOwnerSink to_owner =
      vms.near->Open(vms.far_address, OpenChannel{}, [&](FromOwner message) {
        if (AnswerData* data = std::get_if<AnswerData>(&message)) {
          answered += data->bytes.size();
        }
        reset = std::holds_alternative<ChannelReset>(message);
        bool over = reset || std::holds_alternative<StatementEnd>(message);
        if (over) vms.io.stop();
      });
  to_owner(Numbered(1, std::string(10 * kMaxHelloBytes, 'x')));
  vms.io.run_for(kGiveUp);
  BOOST_TEST(!reset);
  BOOST_TEST(answered == 10 * kMaxHelloBytes);
}

BOOST_AUTO_TEST_CASE(channels_of_one_link_do_not_mix) {
  TwoVms vms(Echo);
  std::map<int, std::string> answers;
  std::vector<ToOwnerSink> channels;
  int ended = 0;
  for (int i = 0; i < 20; ++i) {
    channels.push_back(vms.near->Open(
        vms.far_address, OpenChannel{}, [&, i](FromOwner message) {
          if (AnswerData* data = std::get_if<AnswerData>(&message)) {
            answers[i] += data->bytes;
          }
          bool end = std::holds_alternative<StatementEnd>(message);
          if (end && ++ended == 20) vms.io.stop();
        }));
  }
  for (int i = 0; i < 20; ++i) channels[i](Numbered(1, std::to_string(i)));
  vms.io.run_for(kGiveUp);
  BOOST_TEST(vms.near->links() == 1u);
  for (int i = 0; i < 20; ++i) BOOST_TEST(answers[i] == std::to_string(i));
}

BOOST_AUTO_TEST_CASE(a_refused_connection_resets_with_nothing_sent) {
  TwoVms vms(Echo);
  vms.listener->Close();
  std::optional<ChannelReset> reset;
  ToOwnerSink to_owner =
      vms.near->Open(vms.far_address, OpenChannel{}, [&](FromOwner message) {
        reset = std::get<ChannelReset>(message);
        vms.io.stop();
      });
  to_owner(Numbered(1, "hello"));
  vms.io.run_for(kGiveUp);
  BOOST_REQUIRE(reset.has_value());
  BOOST_TEST(reset->sent_nothing);
}

BOOST_AUTO_TEST_CASE(a_link_lost_under_a_statement_resets_as_sent) {
  TwoVms* two = nullptr;
  TwoVms vms([&](const OpenChannel&, FromOwnerSink) {
    return ToOwnerSink(
        [&](ToOwner) { asio::post(two->io, [&] { two->far->Close(); }); });
  });
  two = &vms;
  std::optional<ChannelReset> reset;
  ToOwnerSink to_owner =
      vms.near->Open(vms.far_address, OpenChannel{}, [&](FromOwner message) {
        reset = std::get<ChannelReset>(message);
        vms.io.stop();
      });
  to_owner(Numbered(1, "hello"));
  vms.io.run_for(kGiveUp);
  BOOST_REQUIRE(reset.has_value());
  BOOST_TEST(!reset->sent_nothing);
}

BOOST_AUTO_TEST_CASE(losing_the_callers_vm_closes_its_channels) {
  bool closed = false;
  TwoVms* two = nullptr;
  TwoVms vms([&](const OpenChannel&, FromOwnerSink) {
    return ToOwnerSink([&](ToOwner message) {
      if (std::holds_alternative<Statement>(message)) two->near->Close();
      if (!std::holds_alternative<CloseChannel>(message)) return;
      closed = true;
      two->io.stop();
    });
  });
  two = &vms;
  ToOwnerSink to_owner =
      vms.near->Open(vms.far_address, OpenChannel{}, [](FromOwner) {});
  to_owner(Numbered(1, "BEGIN"));
  vms.io.run_for(kGiveUp);
  BOOST_TEST(closed);
}

BOOST_AUTO_TEST_CASE(questions_are_answered_or_time_out) {
  TwoVms vms(Echo);
  std::optional<std::string> answer;
  vms.near->SendRequest(vms.far_address, "reach?", Seconds(5),
                        [&](std::optional<std::string> a) {
                          answer = std::move(a);
                          vms.io.stop();
                        });
  vms.io.run_for(kGiveUp);
  BOOST_REQUIRE(answer.has_value());
  BOOST_TEST(*answer == "answer to reach?");

  bool timed_out = false;
  vms.listener->Close();
  vms.far->Close();
  vms.io.restart();
  vms.near->SendRequest(vms.far_address, "reach?", Millis(50),
                        [&](std::optional<std::string> a) {
                          timed_out = !a.has_value();
                          vms.io.stop();
                        });
  vms.io.run_for(kGiveUp);
  BOOST_TEST(timed_out);
}

BOOST_AUTO_TEST_CASE(a_connection_without_hello_is_closed) {
  TwoVms vms(Echo);
  tcp::socket stranger(vms.io);
  stranger.connect({asio::ip::address_v4::loopback(), vms.far_address.port});
  asio::write(stranger, asio::buffer(std::string("\0\0\0\2\2x", 6)));
  bool closed = false;
  std::string greeting;  // the listener says hello before it reads
  asio::async_read(stranger, asio::dynamic_buffer(greeting),
                   [&](boost::system::error_code error, size_t) {
                     closed = error == asio::error::eof ||
                              error == asio::error::connection_reset;
                     vms.io.stop();
                   });
  vms.io.run_for(kGiveUp);
  BOOST_TEST(closed);
  BOOST_TEST(vms.far->links() == 0u);
}

}  // namespace cardamomchute
