#include "filbertwick/core/entry/job_table.h"

#include <criterion/criterion.h>

namespace filbertwick::core {
namespace {

constexpr Duration kDeadline = std::chrono::seconds(2);
constexpr Duration kWindow = std::chrono::minutes(10);

wire::JobSpec MakeSpec(const char* id, size_t bytes = 1) {
  wire::JobSpec spec;
  spec.id = JobId(id);
  spec.deadline = kDeadline;
  spec.payloads = {std::string(bytes, 'x')};
  return spec;
}

void End(JobTable& table, Job& job, Instant now) {
  job.stage = JobStage::kEnded;
  job.answer.tasks = {{wire::TaskOutcome::kSucceeded, std::string(100, 'r')}};
  table.NoteEnded(job, now);
}

Test(job_table, a_job_that_is_being_ended_has_no_deadline) {
  JobTable table{JobTableSettings()};
  Job& job = table.Add(MakeSpec("a"), 0, Instant());
  cr_assert(table.NextDeadline() == Instant() + kDeadline);
  table.NoteEnding(job);
  cr_assert(table.NextDeadline() == Instant::max());
  cr_assert_eq(table.running(), 1);
  End(table, job, Instant() + kDeadline);
  cr_assert_eq(table.running(), 0);
}

Test(job_table, keys_are_kept_for_the_window) {
  JobTable table{JobTableSettings()};
  End(table, table.Add(MakeSpec("a"), 0, Instant()), Instant());
  table.Expire(Instant() + kWindow - Duration(1), kWindow);
  cr_assert_not_null(table.Find(JobId("a")));
  table.Expire(Instant() + kWindow, kWindow);
  cr_assert_null(table.Find(JobId("a")));
  cr_assert_eq(table.bytes(), 0);
}

Test(job_table, a_key_dropped_early_never_passes_for_new) {
  JobTable table{JobTableSettings{.max_bytes = 1}};
  const JobId dated("01a23fa6-9fd5-78e4-85ae-1f9cf8af74e1");
  const JobId newer("01a23fa6-9fd6-78e4-85ae-1f9cf8af74e1");
  End(table, table.Add(MakeSpec(dated.value().c_str()), 0, Instant()),
      Instant());
  End(table, table.Add(MakeSpec("plain"), 0, Instant()), Instant());
  table.Expire(Instant(), kWindow);
  cr_assert_eq(table.size(), 0);
  cr_assert(table.MayHaveEvicted(dated, Instant(), kWindow));
  cr_assert(table.MayHaveEvicted(JobId("plain"), Instant(), kWindow));
  cr_assert_not(table.MayHaveEvicted(newer, Instant(), kWindow));
  cr_assert_not(
      table.MayHaveEvicted(JobId("plain"), Instant() + kWindow, kWindow));
}

}  // namespace
}  // namespace filbertwick::core
