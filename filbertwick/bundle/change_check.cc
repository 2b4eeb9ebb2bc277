#include "filbertwick/bundle/change_check.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <span>
#include <string>
#include <utility>

#include "filbertwick/bundle/bundle_reader.h"
#include "filbertwick/bundle/fields.h"
#include "filbertwick/json/document.h"

namespace filbertwick::bundle {
namespace {

constexpr double kPercent = 100;

/// Returns true if `service` may run on `upstream`. An upstream of unknown zone
/// passes the zone check.
bool Allows(const Service& service, const LiveUpstream& upstream) {
  const bool in_zone =
      upstream.zone.empty() ||
      std::ranges::find(service.zones, upstream.zone) != service.zones.end();
  return in_zone && (service.upstreams.empty() ||
                     std::ranges::find(service.upstreams, upstream.name) !=
                         service.upstreams.end());
}

/// Returns true if every zone of `service` is in `zones_out`.
bool AllZonesOut(const Service& service, const std::set<ZoneName>& zones_out) {
  return std::ranges::all_of(service.zones, [&](const ZoneName& zone) {
    return zones_out.contains(zone);
  });
}

/// Compares the new bundle `to` with the bundle in force, `from`, and adds the
/// findings to the new bundle's document.
class ChangeChecker {
 public:
  ChangeChecker(const Bundle& from,
                const Bundle& to,
                const json::Document& document,
                const LiveState& live,
                const ChangeLimits& limits)
      : from_(from),
        to_(to),
        document_(document),
        live_(live),
        limits_(limits) {}

  void Check() {
    CheckVersions();
    CheckCuts("", FieldsOf(from_), FieldsOf(to_));
    CheckRemovals<Zone>("zones", from_.zones, to_.zones);
    CheckRemovals<Service>("services", from_.services, to_.services);
    CheckRemovals<Team>("teams", from_.teams, to_.teams);
    for (size_t i = 0; i < to_.services.size(); ++i) {
      CheckService(to_.services[i], fmt::format("/services/{}", i));
    }
    CheckRemovedServices();
    for (size_t i = 0; i < to_.teams.size(); ++i) {
      if (const Team* old = from_.FindTeam(to_.teams[i].name)) {
        CheckCuts(fmt::format("/teams/{}", i), FieldsOf(*old),
                  FieldsOf(to_.teams[i]));
      }
    }
  }

 private:
  void ReportWarning(std::string_view path, std::string_view text) {
    document_.Find(path).Report(text, Severity::kWarning);
  }

  void CheckVersions() {
    if (to_.version <= from_.version) {
      document_.Find("/version")
          .Report(fmt::format("must be higher than the version in force, {}",
                              from_.version));
    }
    if (to_.generation < from_.generation) {
      document_.Find("/generation")
          .Report(
              fmt::format("must not be lower than the generation in force, {}",
                          from_.generation));
    }
    if (to_.generation > from_.generation) {
      ReportWarning(
          "/generation",
          "raising the generation confirms that the instances of earlier "
          "generations will never return");
    }
  }

  /// Warns about each limit that is cut by more than `max_cut_fraction`.
  void CheckCuts(const std::string& path,
                 std::span<const Field> from,
                 std::span<const Field> to) {
    for (size_t i = 0; i < from.size(); ++i) {
      if (!from[i].limit || !to[i].limit) {
        continue;
      }
      const auto old_limit = static_cast<double>(*from[i].limit);
      const auto new_limit = static_cast<double>(*to[i].limit);
      if (new_limit < old_limit * (1 - limits_.max_cut_fraction)) {
        ReportWarning(
            fmt::format("{}/{}", path, from[i].name),
            fmt::format("{} is cut from {} to {}, by more than {:.0f}%",
                        from[i].name, from[i].text, to[i].text,
                        limits_.max_cut_fraction * kPercent));
      }
    }
  }

  /// Warns about each item of `from` whose name is missing in `to`.
  template <typename Item>
  void CheckRemovals(std::string_view list,
                     std::span<const Item> from,
                     std::span<const Item> to) {
    for (const Item& item : from) {
      if (std::ranges::find(to, item.name, &Item::name) == to.end()) {
        ReportWarning(fmt::format("/{}", list),
                      fmt::format("\"{}\" is removed", item.name.value()));
      }
    }
  }

  void CheckService(const Service& service, const std::string& path) {
    if (AllZonesOut(service, live_.zones_out)) {
      ReportWarning(path + "/zones", "all zones of this service are out");
    }
    const Service* old = from_.FindService(service.name);
    if (old == nullptr) {
      return;
    }
    CheckCuts(path, FieldsOf(*old), FieldsOf(service));
    if (service.repeatable && !old->repeatable) {
      ReportWarning(path + "/repeatable",
                    "single requests may now run more than once");
    }
    CheckUpstreams(*old, &service, path + "/upstreams");
  }

  void CheckRemovedServices() {
    for (const Service& service : from_.services) {
      if (to_.FindService(service.name) == nullptr) {
        CheckUpstreams(service, nullptr, "/services");
      }
    }
  }

  /// Warns about upstreams that the old service `from` allows and the new one,
  /// `to`, does not. `to` is null if the service is removed.
  void CheckUpstreams(const Service& from,
                      const Service* to,
                      const std::string& path) {
    for (const auto& [name, upstream] : UpstreamsOf(from)) {
      if (!Allows(from, upstream) || (to != nullptr && Allows(*to, upstream))) {
        continue;
      }
      // CheckRemovals() already reports a removed service; only its upstreams
      // that still run tasks get a warning of their own.
      if (upstream.running > 0) {
        ReportWarning(
            path,
            fmt::format("the upstream \"{}\" of \"{}\" is removed while "
                        "it runs {} tasks",
                        name.value(), from.name.value(), upstream.running));
      } else if (to != nullptr) {
        ReportWarning(
            path, fmt::format("the upstream \"{}\" is removed", name.value()));
      }
    }
  }

  /// Returns the upstreams that the service lists and those in the live state,
  /// whose data take precedence.
  std::map<InstanceName, LiveUpstream> UpstreamsOf(
      const Service& service) const {
    std::map<InstanceName, LiveUpstream> upstreams;
    for (const InstanceName& name : service.upstreams) {
      upstreams[name] = {name, service.name, ZoneName(), 0};
    }
    for (const LiveUpstream& upstream : live_.upstreams) {
      if (upstream.service == service.name) {
        upstreams[upstream.name] = upstream;
      }
    }
    return upstreams;
  }

  const Bundle& from_;
  const Bundle& to_;
  const json::Document& document_;
  const LiveState& live_;
  const ChangeLimits& limits_;
};

}  // namespace

ParsedBundle CheckChange(const Bundle& in_force,
                         std::string_view file,
                         std::string_view text,
                         const LiveState& live,
                         const ChangeLimits& limits) {
  const auto document =
      json::Document::Parse(file, text, json::Comments::kAllowed);
  ParsedBundle parsed;
  if (document.parsed()) {
    Bundle bundle = ReadBundle(document);
    if (document.ok()) {
      ChangeChecker(in_force, bundle, document, live, limits).Check();
    }
    if (document.ok()) {
      parsed.bundle = std::move(bundle);
    }
  }
  parsed.findings = document.findings();
  return parsed;
}

std::vector<ServiceName> ServicesWithoutZone(
    const Bundle& bundle,
    const std::set<ZoneName>& zones_out) {
  std::vector<ServiceName> names;
  for (const Service& service : bundle.services) {
    if (AllZonesOut(service, zones_out)) {
      names.push_back(service.name);
    }
  }
  return names;
}

}  // namespace filbertwick::bundle
