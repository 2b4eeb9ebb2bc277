#ifndef FILBERTWICK_PLATFORM_UPSTREAM_RECORD_H_
#define FILBERTWICK_PLATFORM_UPSTREAM_RECORD_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>

#include "filbertwick/base/log_line.h"
#include "filbertwick/base/name.h"
#include "filbertwick/core/direct/sidecar_effect.h"
#include "filbertwick/platform/store_client.h"

namespace filbertwick::platform {

/// Callbacks of an UpstreamRecord, called on the context's thread.
struct UpstreamRecordHooks {
  /// Called at most once, with the upstream that an earlier incarnation of the
  /// sidecar recorded. Not called when there is none, when it can't be read, or
  /// when Save() is called before the answer has arrived.
  std::function<void(const core::direct::UpstreamAnnouncement&)> loaded;
  std::function<void(const LogLine&)> log;
};

/// Keeps the upstream of one sidecar in the platform's store, so that the
/// sidecar knows its upstream right after a restart. Writes only when the
/// record changes; a failed write is repeated until it succeeds or a newer
/// value replaces it. The sidecars of a deployment share one topic, spread over
/// its partitions by name, so that each reads only a part of the records.
class UpstreamRecord {
 public:
  /// Starts to read the record of `sidecar`. A failed read is not repeated: by
  /// then the upstream has announced itself. `store` must outlive the object.
  static std::unique_ptr<UpstreamRecord> Create(
      boost::asio::io_context& context,
      StoreClient& store,
      uint32_t store_partitions,
      const InstanceName& sidecar,
      UpstreamRecordHooks hooks);
  ~UpstreamRecord();

  /// Replaces the record; nullopt deletes it.
  void Save(const std::optional<core::direct::UpstreamAnnouncement>& upstream);

 private:
  class Impl;
  explicit UpstreamRecord(std::shared_ptr<Impl> impl);
  std::shared_ptr<Impl> impl_;
};

}  // namespace filbertwick::platform

#endif  // FILBERTWICK_PLATFORM_UPSTREAM_RECORD_H_
