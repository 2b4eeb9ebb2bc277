#include <criterion/criterion.h>

#include <random>

#include "filbertwick/wire/codec.h"

namespace {

using filbertwick::InstanceName;
using filbertwick::JobId;
using filbertwick::wire::DecodeMessage;
using filbertwick::wire::EncodeMessage;
using filbertwick::wire::Message;
using filbertwick::wire::Offers;
using filbertwick::wire::Probe;
using filbertwick::wire::TaskOffer;

constexpr int kDamagedMessages = 20'000;

Message SampleOffers() {
  TaskOffer offer;
  offer.key = {JobId("job-1"), 3};
  offer.epoch = {1, 7, 0, InstanceName("entry-a")};
  offer.token = -5;
  offer.payload = std::string(300, 'x');
  return Offers{7, {offer, offer}};
}

Message SampleProbe() {
  Probe probe;
  probe.sent = 1'234'567;
  probe.summary.offset = 900;
  probe.summary.overrides = {{4, {1, 2, 0, InstanceName("entry-b")}}};
  return probe;
}

Test(wire, messages_survive_encoding) {
  for (const Message& message : {SampleOffers(), SampleProbe()}) {
    const std::string bytes = EncodeMessage(message);
    const auto decoded = DecodeMessage(bytes);
    cr_assert(decoded.ok());
    cr_assert(decoded->index() == message.index());
    cr_assert(EncodeMessage(*decoded) == bytes);
  }
}

Test(wire, cut_messages_are_refused) {
  const std::string bytes = EncodeMessage(SampleOffers());
  for (size_t n = 0; n < bytes.size(); ++n) {
    cr_assert_not(DecodeMessage(std::string_view(bytes).substr(0, n)).ok(),
                  "%zu bytes were taken", n);
  }
  cr_assert_not(DecodeMessage(bytes + "x").ok());
}

Test(wire, damaged_messages_never_crash) {
  std::mt19937_64 random(1);
  int refused = 0;
  for (int i = 0; i < kDamagedMessages; ++i) {
    std::string bytes = EncodeMessage(i % 2 ? SampleOffers() : SampleProbe());
    const auto flips = 1 + random() % 4;
    for (uint64_t flip = 0; flip < flips; ++flip) {
      bytes[random() % bytes.size()] = static_cast<char>(random());
    }
    refused += DecodeMessage(bytes).ok() ? 0 : 1;
  }
  cr_assert_gt(refused, 0);
}

Test(wire, a_size_beyond_the_data_takes_no_memory) {
  // A message of kind 5 (Offers) that claims 2^62 offers.
  std::string bytes = EncodeMessage(Offers{});
  bytes.pop_back();
  bytes += "\xff\xff\xff\xff\xff\xff\xff\xff\x3f";
  cr_assert_not(DecodeMessage(bytes).ok());
}

}  // namespace
