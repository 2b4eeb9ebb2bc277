#ifndef FILBERTWICK_SOAK_CALLERS_H_
#define FILBERTWICK_SOAK_CALLERS_H_

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "filbertwick/platform/platform_settings.h"
#include "soak/observer.h"

namespace filbertwick::soak {

/// Where callers send, and how often.
struct CallerSettings {
  /// Entries, as callers reach them.
  std::vector<platform::Address> entries;
  /// Where each entry says whether it takes connections.
  std::vector<platform::Address> readiness;
  std::string host;
  std::string path_prefix;
  double jobs_per_second = 30;
  uint64_t seed = 0;
};

/// Callers that hand jobs in at random times, send again when a connection
/// breaks, and come back after a refusal when they are told to. Half of them go
/// by readiness; the others keep to their entry's connections until these
/// break. Belongs to the context's thread.
class Callers {
 public:
  /// Told whether a job of its own was completed.
  using DoneHook = std::function<void(bool completed)>;

  static std::unique_ptr<Callers> Create(boost::asio::io_context& context,
                                         CallerSettings settings,
                                         Observer& observer);
  ~Callers();

  /// Begins or ends the load.
  void SetLoad(bool on);
  /// Hands one job in to an entry that says it is ready.
  void Submit(std::string_view path_prefix, DoneHook done);
  /// Jobs without a last word.
  size_t open_jobs() const;
  /// Entries that say they are ready.
  size_t ready_entries() const;

 private:
  class Impl;
  explicit Callers(std::shared_ptr<Impl> impl);
  std::shared_ptr<Impl> impl_;
};

}  // namespace filbertwick::soak

#endif  // FILBERTWICK_SOAK_CALLERS_H_
