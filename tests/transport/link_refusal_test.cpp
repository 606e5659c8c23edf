#include "transport/link_server.h"

#include <CppUTest/TestHarness.h>

using namespace yardwheel;

namespace {

peer::Envelope goodEnvelope() {
  peer::Envelope Envelope;
  Envelope.set_cluster("demo");
  Envelope.set_sender("e1");
  Envelope.set_sender_role(peer::ROLE_ENTRY);
  Envelope.set_recipient("a1");
  Envelope.add_messages()->mutable_dispatch();
  return Envelope;
}

} // namespace

TEST_GROUP(LinkRefusalTest) {
  LinkIdentity Self{"demo", peer::ROLE_AGENT, "a1", "127.0.0.1:7000", 1};
};

TEST(LinkRefusalTest, RefusesWithAReason) {
  struct Row {
    const char *Name;
    void (*Spoil)(peer::Envelope &Envelope);
    const char *Reason;
  };
  const Row Rows[] = {
      {"good", [](peer::Envelope &) {}, ""},
      {"other cluster", [](peer::Envelope &E) { E.set_cluster("other"); },
       "expected cluster 'demo', found 'other'"},
      {"other node", [](peer::Envelope &E) { E.set_recipient("a2"); },
       "meant for 'a2', but this is 'a1'"},
      {"no role",
       [](peer::Envelope &E) { E.set_sender_role(peer::ROLE_UNSPECIFIED); },
       "expected a sender with a name and a role"},
      {"unknown role",
       [](peer::Envelope &E) {
         E.set_sender_role(static_cast<peer::Role>(99));
       },
       "expected a sender with a name and a role"},
      {"no name", [](peer::Envelope &E) { E.clear_sender(); },
       "expected a sender with a name and a role"},
      {"control message from an entry",
       [](peer::Envelope &E) { E.add_messages()->mutable_heartbeat_reply(); },
       "only control may send this message"},
      {"raft message from an entry",
       [](peer::Envelope &E) { E.add_messages()->mutable_raft(); },
       "only control may send this message"},
  };
  for (const Row &Case : Rows) {
    peer::Envelope Envelope = goodEnvelope();
    Case.Spoil(Envelope);
    STRCMP_EQUAL_TEXT(Case.Reason, refusalOf(Envelope, Self).c_str(),
                      Case.Name);
  }
}
