#include "filbertwick/net/caller_api.h"

#include <fmt/format.h>
#include <sodium.h>

#include <optional>
#include <unordered_map>
#include <utility>

#include "filbertwick/net/change_codec.h"
#include "filbertwick/net/job_codec.h"
#include "filbertwick/net/json_response.h"

namespace filbertwick::net {
namespace {

constexpr std::string_view kBearer = "Bearer ";

bool SameToken(std::string_view given, std::string_view expected) {
  return !expected.empty() && given.size() == expected.size() &&
         sodium_memcmp(given.data(), expected.data(), expected.size()) == 0;
}

http::Response MethodRefusal(std::string_view allowed) {
  http::Response response =
      ErrorResponse(405, fmt::format("allowed here: {}", allowed));
  response.headers.push_back({"Allow", std::string(allowed)});
  return response;
}

}  // namespace

/// Requests that wait for the core, and the chain of steps each passes.
class CallerApi::Impl {
 public:
  Impl(std::string operator_token, Counters& counters, CallerApiHooks hooks)
      : operator_token_(std::move(operator_token)),
        hooks_(std::move(hooks)),
        pages_(counters, hooks_.ask_view, hooks_.ready),
        requests_(counters.Get("http_requests")),
        bad_requests_(counters.Get("http_requests_refused")),
        overloaded_(counters.Get("http_requests_overloaded")),
        unauthorized_(counters.Get("operator_requests_unauthorized")),
        gone_(counters.Get("http_callers_gone")) {}

  void Handle(const http::Request& request, const http::Responder& respond) {
    requests_.Add();
    const auto target = http::Target::Parse(request.target);
    const Call call{request, target, respond};
    static constexpr Step kSteps[] = {&Impl::TakePage, &Impl::TakeJob,
                                      &Impl::TakeChange, &Impl::TakeAudit};
    for (const Step step : kSteps) {
      if ((this->*step)(call)) {
        return;
      }
    }
    Refuse(respond, ErrorResponse(404, "there is no such page"));
  }

  void OnGone(uint64_t number) {
    if (open_.erase(number) > 0) {
      gone_.Add();
      hooks_.post(core::CallerGoneEvent{number});
    }
  }

  void Answer(const core::AnswerEffect& effect) {
    if (const auto open = TakeOpen(effect.request)) {
      open->respond(open->explain ? FormatExplanation(effect)
                                  : FormatAnswer(effect.answer));
    }
  }

  void Answer(const core::OperatorAnswerEffect& effect) {
    if (const auto open = TakeOpen(effect.request)) {
      open->respond(FormatChangeAnswer(effect));
    }
  }

  size_t open_requests() const { return open_.size(); }

 private:
  /// One request on its way through the steps.
  struct Call {
    const http::Request& request;
    const http::Target& target;
    const http::Responder& respond;
  };

  /// Takes a request, or returns false to pass it on.
  using Step = bool (Impl::*)(const Call&);

  /// A request that waits for the core.
  struct Open {
    http::Responder respond;
    bool explain = false;
  };

  bool TakePage(const Call& call) {
    return pages_.Handle(call.target, call.request.method, call.respond);
  }

  bool TakeJob(const Call& call) {
    const auto& segments = call.target.segments();
    const bool explain = segments.size() == 4 && segments[3] == "explain";
    if (segments.size() < 2 || segments[0] != "v1" || segments[1] != "jobs" ||
        (segments.size() > 3 && !explain)) {
      return false;
    }
    const auto id =
        ParseJobId(segments.size() == 2 ? std::string_view() : segments[2]);
    if (!id.ok()) {
      // No submission under such an id was ever taken.
      Refuse(call.respond,
             FormatRefusal(400, "invalid_job", MessageOf(id.status()), true));
      return true;
    }
    const std::string& method = call.request.method;
    if (explain && method == "GET") {
      Ask(call, *id, wire::JobQuery::kExplain);
    } else if (explain) {
      Refuse(call.respond, MethodRefusal("GET"));
    } else if (method == "PUT") {
      Submit(call, *id);
    } else if (method == "GET") {
      Ask(call, *id, wire::JobQuery::kFetch);
    } else if (method == "DELETE") {
      Ask(call, *id, wire::JobQuery::kCancel);
    } else {
      Refuse(call.respond, MethodRefusal("PUT, GET, DELETE"));
    }
    return true;
  }

  void Submit(const Call& call, const JobId& id) {
    auto spec = ParseJob(id, call.request.body);
    if (!spec.ok()) {
      const bool too_large = absl::IsResourceExhausted(spec.status());
      Refuse(call.respond, FormatRefusal(too_large ? 413 : 400, "invalid_job",
                                         MessageOf(spec.status()), false));
      return;
    }
    OfferToCore(call, {call.respond, false},
                core::SubmitEvent{call.request.number, *std::move(spec)});
  }

  void Ask(const Call& call, const JobId& id, wire::JobQuery query) {
    OfferToCore(call, {call.respond, query == wire::JobQuery::kExplain},
                core::QueryEvent{call.request.number, id, query});
  }

  bool TakeChange(const Call& call) {
    const auto& segments = call.target.segments();
    if (segments.size() != 2 || segments[0] != "v1" ||
        segments[1] != "changes") {
      return false;
    }
    if (call.request.method != "POST") {
      Refuse(call.respond, MethodRefusal("POST"));
      return true;
    }
    if (!IsOperator(call.request)) {
      unauthorized_.Add();
      hooks_.log("an operator call without the right token was refused");
      Refuse(call.respond, ErrorResponse(401, "the operator token is wrong"));
      return true;
    }
    auto record = ParseChange(call.request.body, WallTime::Now());
    if (!record.ok()) {
      Refuse(call.respond, ErrorResponse(400, MessageOf(record.status())));
      return true;
    }
    OfferToCore(call, {call.respond, false},
                core::OperatorEvent{call.request.number, *std::move(record)});
    return true;
  }

  bool TakeAudit(const Call& call) {
    const auto& segments = call.target.segments();
    if (segments.size() != 2 || segments[0] != "v1" || segments[1] != "audit") {
      return false;
    }
    if (call.request.method != "GET") {
      Refuse(call.respond, MethodRefusal("GET"));
      return true;
    }
    const auto since = call.target.FindNumber("since");
    if (!since && call.target.Find("since")) {
      Refuse(call.respond, ErrorResponse(400, "since is an offset"));
      return true;
    }
    call.respond(FormatAudit(hooks_.read_audit(since.value_or(0))));
    return true;
  }

  bool IsOperator(const http::Request& request) const {
    const std::string_view header = request.FindHeader("Authorization");
    return header.starts_with(kBearer) &&
           SameToken(header.substr(kBearer.size()), operator_token_);
  }

  /// Registers the request and gives its event to the core, or refuses.
  void OfferToCore(const Call& call, Open open, core::Event event) {
    const uint64_t number = call.request.number;
    open_.emplace(number, std::move(open));
    if (hooks_.offer(std::move(event))) {
      return;
    }
    open_.erase(number);
    overloaded_.Add();
    // Other entries may know the job, so nothing is said of its tasks.
    call.respond(FormatRefusal(503, wire::ToString(wire::Reason::kOverloaded),
                               "this entry can't take more now", false));
  }

  void Refuse(const http::Responder& respond, http::Response response) {
    bad_requests_.Add();
    respond(std::move(response));
  }

  std::optional<Open> TakeOpen(uint64_t number) {
    const auto it = open_.find(number);
    if (it == open_.end()) {
      return std::nullopt;
    }
    Open open = std::move(it->second);
    open_.erase(it);
    return open;
  }

  const std::string operator_token_;
  const CallerApiHooks hooks_;
  const StatusPages pages_;
  Counter& requests_;
  Counter& bad_requests_;
  Counter& overloaded_;
  Counter& unauthorized_;
  Counter& gone_;
  /// By request number; looked up only, never walked.
  std::unordered_map<uint64_t, Open> open_;
};

std::unique_ptr<CallerApi> CallerApi::Create(std::string operator_token,
                                             Counters& counters,
                                             CallerApiHooks hooks) {
  return std::unique_ptr<CallerApi>(new CallerApi(std::make_unique<Impl>(
      std::move(operator_token), counters, std::move(hooks))));
}

CallerApi::CallerApi(std::unique_ptr<Impl> impl) : impl_(std::move(impl)) {}

CallerApi::~CallerApi() = default;

void CallerApi::Handle(const http::Request& request,
                       const http::Responder& respond) {
  impl_->Handle(request, respond);
}

void CallerApi::OnGone(uint64_t request_number) {
  impl_->OnGone(request_number);
}

void CallerApi::Answer(const core::AnswerEffect& effect) {
  impl_->Answer(effect);
}

void CallerApi::Answer(const core::OperatorAnswerEffect& effect) {
  impl_->Answer(effect);
}

size_t CallerApi::open_requests() const {
  return impl_->open_requests();
}

}  // namespace filbertwick::net
