#include "filbertwick/platform/upstream_record.h"

#include <boost/asio/steady_timer.hpp>
#include <string>
#include <utility>

#include "filbertwick/base/hash.h"
#include "filbertwick/wire/archive.h"

namespace filbertwick::platform {
namespace {

using core::direct::UpstreamAnnouncement;

/// Topic with one record per sidecar, keyed by its name.
constexpr const char* kTopic = "keyed.upstreams";
/// Pause after a failed write; the store limits the calls of all instances
/// together.
constexpr Duration kRetryDelay = std::chrono::milliseconds(500);

/// Value of a record. Fields that change with every announcement are not kept.
struct StoredUpstream {
  std::string id;
  int64_t started_unix_millis = 0;
  bool draining = false;
  core::direct::UpstreamProfile profile;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(id, started_unix_millis, draining, profile);
  }
};

/// Returns the value of the record; empty, which deletes the record, for none.
std::string Encode(const std::optional<UpstreamAnnouncement>& upstream) {
  return upstream ? wire::EncodeValue(StoredUpstream{
                        upstream->id, upstream->started_unix_millis,
                        upstream->draining, upstream->profile})
                  : std::string();
}

}  // namespace

class UpstreamRecord::Impl
    : public std::enable_shared_from_this<UpstreamRecord::Impl> {
 public:
  Impl(boost::asio::io_context& context,
       StoreClient& store,
       uint32_t store_partitions,
       const InstanceName& sidecar,
       UpstreamRecordHooks hooks)
      : timer_(context),
        store_(store),
        key_(sidecar.value()),
        partition_(kTopic,
                   static_cast<uint32_t>(Hash64(key_) % store_partitions)),
        hooks_(std::move(hooks)) {}

  void Load() {
    store_.ReadValue(partition_, key_, [weak = weak_from_this()](auto value) {
      if (const auto self = weak.lock()) {
        self->OnLoaded(value);
      }
    });
  }

  void Save(const std::optional<UpstreamAnnouncement>& upstream) {
    wanted_ = Encode(upstream);
    WriteIfNeeded();
  }

 private:
  void OnLoaded(const absl::StatusOr<std::optional<std::string>>& value) {
    if (!value.ok()) {
      hooks_.log(LogLine("upstream_record_unread").AddCause(value.status()));
      return;
    }
    if (wanted_) {
      return;  // A write is on its way, or done.
    }
    stored_ = value->value_or("");
    if (stored_->empty()) {
      return;
    }
    auto stored = wire::DecodeValue<StoredUpstream>(*stored_);
    if (!stored.ok()) {
      hooks_.log(
          LogLine("upstream_record_unreadable").AddCause(stored.status()));
      return;
    }
    UpstreamAnnouncement upstream;
    upstream.id = std::move(stored->id);
    upstream.started_unix_millis = stored->started_unix_millis;
    upstream.draining = stored->draining;
    upstream.profile = std::move(stored->profile);
    hooks_.loaded(upstream);
  }

  void WriteIfNeeded() {
    if (writing_ || !wanted_ || wanted_ == stored_) {
      return;
    }
    writing_ = true;
    store_.Append(partition_, key_, *wanted_,
                  [weak = weak_from_this(),
                   written = *wanted_](const absl::Status& status) {
                    if (const auto self = weak.lock()) {
                      self->OnWritten(written, status);
                    }
                  });
  }

  void OnWritten(const std::string& written, const absl::Status& status) {
    if (status.ok()) {
      writing_ = false;
      stored_ = written;
      WriteIfNeeded();
      return;
    }
    hooks_.log(LogLine("upstream_not_recorded").AddCause(status));
    // The write may have been carried out nevertheless.
    stored_.reset();
    timer_.expires_after(kRetryDelay);
    timer_.async_wait([weak = weak_from_this()](boost::system::error_code ec) {
      const auto self = weak.lock();
      if (!ec && self) {
        self->writing_ = false;
        self->WriteIfNeeded();
      }
    });
  }

  boost::asio::steady_timer timer_;
  StoreClient& store_;
  const std::string key_;
  const TopicPartition partition_;
  const UpstreamRecordHooks hooks_;
  /// Value that the store holds; unset while it is not known.
  std::optional<std::string> stored_;
  /// Value that the store should hold; unset before the first Save().
  std::optional<std::string> wanted_;
  /// A write is on its way, or is repeated after a pause.
  bool writing_ = false;
};

UpstreamRecord::UpstreamRecord(std::shared_ptr<Impl> impl)
    : impl_(std::move(impl)) {}
UpstreamRecord::~UpstreamRecord() = default;

std::unique_ptr<UpstreamRecord> UpstreamRecord::Create(
    boost::asio::io_context& context,
    StoreClient& store,
    uint32_t store_partitions,
    const InstanceName& sidecar,
    UpstreamRecordHooks hooks) {
  auto impl = std::make_shared<Impl>(context, store, store_partitions, sidecar,
                                     std::move(hooks));
  impl->Load();
  return std::unique_ptr<UpstreamRecord>(new UpstreamRecord(std::move(impl)));
}

void UpstreamRecord::Save(const std::optional<UpstreamAnnouncement>& upstream) {
  impl_->Save(upstream);
}

}  // namespace filbertwick::platform
