#include "filbertwick/platform/platform_settings.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>

#include "filbertwick/platform/json_fields.h"

namespace filbertwick::platform {
namespace {

namespace json = boost::json;

constexpr int64_t kMaxStorePartitions = 100'000;
constexpr double kMillisPerCore = 1000;
constexpr double kKbytesPerMbit = 125;
/// Larger processors and links are not told apart from unknown ones.
constexpr double kMaxMeans = 1e9;

/// Reads required fields of the settings and keeps the first failure.
class Reader {
 public:
  explicit Reader(const json::object& object) : object_(object) {}

  std::string RequireString(const json::object& object, std::string_view name) {
    const auto text = FindString(object, name);
    if (!text || text->empty()) {
      Fail(name, "must be a text");
      return {};
    }
    return std::string(*text);
  }

  Address RequireAddress(const json::object& object, std::string_view name) {
    const auto text = FindString(object, name);
    const auto address = ParseAddress(text.value_or(""));
    if (!address.ok()) {
      Fail(name, "must be HOST:PORT");
      return {};
    }
    return *address;
  }

  const json::object& RequireObject(std::string_view name) {
    static const json::object empty;
    const json::object* object = FindObject(object_, name);
    if (object == nullptr) {
      Fail(name, "must be an object");
      return empty;
    }
    return *object;
  }

  void Fail(std::string_view name, std::string_view text) {
    if (status_.ok()) {
      status_ = absl::InvalidArgumentError(fmt::format("/{}: {}", name, text));
    }
  }

  const absl::Status& status() const { return status_; }

 private:
  const json::object& object_;
  absl::Status status_;
};

void ReadListeners(const json::object& object,
                   Reader& reader,
                   PlatformSettings& settings) {
  const json::object& listen = reader.RequireObject("listen");
  const auto serves = FindStrings(object, "serves");
  settings.is_entry = std::ranges::find(serves, "front") != serves.end();
  if (settings.is_entry) {
    settings.caller_listener = reader.RequireAddress(listen, "front");
    settings.readiness_listener = reader.RequireAddress(listen, "ready");
  } else {
    settings.announcement_listener = reader.RequireAddress(listen, "control");
    settings.upstream_address = reader.RequireAddress(object, "app");
  }
  const json::array* ports = FindArray(object, "port-range");
  const auto port = ports != nullptr && !ports->empty()
                        ? AsInteger(ports->front())
                        : std::nullopt;
  if (!port || *port < 1 || *port > 65535) {
    reader.Fail("port-range", "must hold two ports");
    return;
  }
  settings.peer_port = static_cast<uint16_t>(*port);
}

void ReadBounds(const json::object& object, PlatformSettings& settings) {
  const json::object* bounds = FindObject(object, "bounds");
  if (bounds == nullptr) {
    return;
  }
  settings.resend_after =
      FindMillis(*bounds, "resend-ms").value_or(settings.resend_after);
  settings.configuration_bound = FindMillis(*bounds, "config-apply-ms")
                                     .value_or(settings.configuration_bound);
  settings.outage_recovery_bound =
      FindMillis(*bounds, "stable-window-ms")
          .value_or(settings.outage_recovery_bound);
  settings.max_lease =
      FindMillis(*bounds, "hold-max-ms").value_or(settings.max_lease);
  if (const auto grace = FindNumber(*bounds, "grace-s")) {
    settings.stop_grace = Duration(static_cast<int64_t>(*grace * 1e6));
  }
}

/// A whole number above zero.
std::optional<size_t> FindCount(const json::object& object,
                                std::string_view name) {
  const auto count = FindInteger(object, name);
  return count && *count > 0 ? std::optional(static_cast<size_t>(*count))
                             : std::nullopt;
}

/// Reads what the machine has. Means that are missing or make no sense are left
/// unknown, and the load is not shared by them; such limits keep their default.
void ReadLimits(const json::object& object, PlatformSettings& settings) {
  const json::object* limits = FindObject(object, "limits");
  if (limits == nullptr) {
    return;
  }
  const auto scale = [](std::optional<double> value, double unit) -> uint32_t {
    const double scaled = value.value_or(0) * unit;
    return scaled >= 1 && scaled <= kMaxMeans ? static_cast<uint32_t>(scaled)
                                              : 0;
  };
  const auto cores = FindNumber(*limits, "cores");
  const auto share = FindNumber(*limits, "cpu-share");
  if (cores || share) {
    settings.means.processor_millis =
        scale(cores.value_or(1) * share.value_or(1), kMillisPerCore);
  }
  settings.means.link_kbytes_per_second =
      scale(FindNumber(*limits, "link-mbps"), kKbytesPerMbit);
  settings.limits.memory_mb =
      FindCount(*limits, "memory-mb").value_or(settings.limits.memory_mb);
  settings.limits.max_descriptors =
      FindCount(*limits, "max-fds").value_or(settings.limits.max_descriptors);
}

void ReadStore(Reader& reader, PlatformSettings& settings) {
  const json::object& store = reader.RequireObject("platform");
  settings.store_address = reader.RequireAddress(store, "address");
  const int64_t partitions = FindInteger(store, "parts").value_or(1);
  if (partitions < 1 || partitions > kMaxStorePartitions) {
    reader.Fail("parts", "must lie between 1 and 100000");
    return;
  }
  settings.store_partitions = static_cast<uint32_t>(partitions);
}

}  // namespace

absl::StatusOr<Address> ParseAddress(std::string_view text) {
  const size_t colon = text.rfind(':');
  uint16_t port = 0;
  if (colon != std::string_view::npos && colon > 0) {
    const char* end = text.data() + text.size();
    const auto [last, ec] = std::from_chars(text.data() + colon + 1, end, port);
    if (ec == std::errc() && last == end && port > 0) {
      return Address{std::string(text.substr(0, colon)), port};
    }
  }
  return absl::InvalidArgumentError(fmt::format("{} is not HOST:PORT", text));
}

absl::StatusOr<PlatformSettings> ParsePlatformSettings(std::string_view text) {
  const auto object = ParseObject(text);
  if (!object) {
    return absl::InvalidArgumentError("/: must be a JSON object");
  }
  Reader reader(*object);
  PlatformSettings settings;
  settings.name = InstanceName(reader.RequireString(*object, "node"));
  settings.host = reader.RequireString(*object, "ip");
  settings.zone = ZoneName(reader.RequireString(*object, "zone"));
  ReadListeners(*object, reader, settings);
  ReadStore(reader, settings);
  for (const std::string_view seed : FindStrings(*object, "seeds")) {
    if (const auto address = ParseAddress(seed); address.ok()) {
      settings.seeds.push_back(address->host);
    }
  }
  ReadBounds(*object, settings);
  ReadLimits(*object, settings);
  if (!reader.status().ok()) {
    return reader.status();
  }
  return settings;
}

}  // namespace filbertwick::platform
