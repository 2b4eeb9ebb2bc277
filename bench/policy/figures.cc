#include "bench/policy/figures.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <numeric>

namespace filbertwick::bench {
namespace {

double Share(uint64_t part, uint64_t whole) {
  return whole == 0 ? 0.0
                    : static_cast<double>(part) / static_cast<double>(whole);
}

double Percentile(const std::vector<double>& sorted, double share) {
  const auto last = static_cast<double>(sorted.size() - 1);
  return sorted[std::lround(share * last)];
}

void Append(std::vector<double>& to, const std::vector<double>& from) {
  to.insert(to.end(), from.begin(), from.end());
}

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

void Figures::Add(const Figures& other) {
  Append(urgent, other.urgent);
  Append(bulk, other.bulk);
  Append(greedy, other.greedy);
  jobs += other.jobs;
  complete += other.complete;
  refused += other.refused;
  failed += other.failed;
  past_deadline += other.past_deadline;
  tasks += other.tasks;
  starts += other.starts;
  messages += other.messages;
  wasted += other.wasted;
  lost_to_failing += other.lost_to_failing;
  ejections += other.ejections;
  useful_work += other.useful_work;
  capacity += other.capacity;
  slowest_refusal = std::max(slowest_refusal, other.slowest_refusal);
}

Summary Summarize(std::vector<double> values) {
  if (values.empty()) {
    return {};
  }
  std::ranges::sort(values);
  const double sum = std::accumulate(values.begin(), values.end(), 0.0);
  return {.mean = sum / static_cast<double>(values.size()),
          .p50 = Percentile(values, 0.5),
          .p99 = Percentile(values, 0.99),
          .p999 = Percentile(values, 0.999)};
}

std::vector<double> AllJobs(const Figures& figures) {
  std::vector<double> all = figures.urgent;
  Append(all, figures.bulk);
  return all;
}

std::string FormatTable(const std::vector<Row>& rows) {
  std::string text = fmt::format(
      "{:<18} {:>4} | {:>6} {:>6} {:>6} {:>6} | {:>6} {:>6} | {:>6} {:>6} | "
      "{:>5} {:>6} | {:>6} | {:>6} {:>6} {:>6} {:>5}\n",
      "policy", "load", "mean", "p50", "p99", "p99.9", "u.mean", "u.p99",
      "b.mean", "b.p99", "msg/t", "wasted", "useful", "refuse", "failed",
      "late", "lost");
  for (const Row& row : rows) {
    const Figures& it = row.figures;
    const Summary all = Summarize(AllJobs(it));
    const Summary urgent = Summarize(it.urgent);
    const Summary bulk = Summarize(it.bulk);
    text += fmt::format(
        "{:<18} {:>4.2f} | {:>6.3f} {:>6.3f} {:>6.2f} {:>6.2f} | {:>6.3f} "
        "{:>6.2f} | {:>6.3f} {:>6.2f} | {:>5.2f} {:>6.4f} | {:>6.4f} | "
        "{:>6} {:>6} {:>6} {:>5}\n",
        row.policy, row.load, all.mean, all.p50, all.p99, all.p999, urgent.mean,
        urgent.p99, bulk.mean, bulk.p99, Share(it.messages, it.tasks),
        Share(it.wasted, it.tasks),
        it.capacity == 0 ? 0.0 : it.useful_work / it.capacity, it.refused,
        it.failed, it.past_deadline, it.lost_to_failing);
  }
  return text;
}

std::string FormatJson(const std::vector<Row>& rows) {
  const auto summary = [](const std::vector<double>& values) {
    const Summary it = Summarize(values);
    return fmt::format(
        R"({{"jobs":{},"mean":{:.4f},"p50":{:.4f},"p99":{:.4f},"p999":{:.4f}}})",
        values.size(), it.mean, it.p50, it.p99, it.p999);
  };
  std::string text = "[";
  for (const Row& row : rows) {
    const Figures& it = row.figures;
    text += fmt::format(
        R"({}{{"policy":"{}","load":{},"all":{},"urgent":{},"bulk":{},"greedy":{},)"
        R"("jobs":{},"complete":{},"refused":{},"failed":{},"past_deadline":{},)"
        R"("tasks":{},"starts":{},"messages":{},"wasted":{},"lost_to_failing":{},)"
        R"("ejections":{},"useful_work_s":{:.3f},"capacity_s":{:.3f},)"
        R"("slowest_refusal_ms":{:.3f}}})",
        text.size() > 1 ? ",\n " : "", row.policy, row.load,
        summary(AllJobs(it)), summary(it.urgent), summary(it.bulk),
        summary(it.greedy), it.jobs, it.complete, it.refused, it.failed,
        it.past_deadline, it.tasks, it.starts, it.messages, it.wasted,
        it.lost_to_failing, it.ejections, it.useful_work, it.capacity,
        Seconds(it.slowest_refusal) * 1000.0);
  }
  return text + "]\n";
}

Window WorkWindow(const Deployment& deployment, Fault fault) {
  if (fault == Fault::kZone) {
    return {kFaultStart, kFaultEnd + std::chrono::seconds(5)};
  }
  return {kWarmUpEnd, Instant(deployment.length)};
}

double WindowCapacity(const Deployment& deployment, Fault fault) {
  const Window window = WorkWindow(deployment, fault);
  double capacity = Seconds(window.to - window.from) *
                    static_cast<double>(deployment.total_slots());
  if (fault == Fault::kZone) {
    // Executors are assigned to zones round-robin, so the first zone, which
    // goes out, has the rounded-up share.
    const uint32_t out =
        (deployment.executors + deployment.zones - 1) / deployment.zones;
    capacity -= Seconds(kFaultEnd - kFaultStart) * out * deployment.slots;
  }
  return capacity;
}

}  // namespace filbertwick::bench
