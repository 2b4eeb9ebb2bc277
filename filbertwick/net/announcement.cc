#include "filbertwick/net/announcement.h"

#include <boost/asio/ip/address.hpp>

#include "filbertwick/json/document.h"
#include "filbertwick/json/object_reader.h"
#include "filbertwick/net/json_response.h"

namespace filbertwick::net {
namespace {

constexpr size_t kMaxHostBytes = 64;

}  // namespace

absl::StatusOr<Announcement> ParseAnnouncement(std::string_view body) {
  const auto document =
      json::Document::Parse("body", body, json::Comments::kForbidden);
  if (!document.parsed()) {
    return FindingsError(document);
  }
  json::ObjectReader reader(document.root());
  Announcement announcement;
  announcement.slots = reader.Integer<uint32_t>("slots", {1, kMaxSlots});
  announcement.host =
      reader.String("host", {1, kMaxHostBytes}, std::string("127.0.0.1"));
  announcement.port = reader.Integer<uint16_t>("port", {1});
  announcement.leaving = reader.Boolean("leaving", false);
  reader.Finish();
  boost::system::error_code ec;
  boost::asio::ip::make_address(announcement.host, ec);
  if (ec) {
    reader.At("host").Report("not an IP number");
  }
  if (!document.ok()) {
    return FindingsError(document);
  }
  return announcement;
}

}  // namespace filbertwick::net
