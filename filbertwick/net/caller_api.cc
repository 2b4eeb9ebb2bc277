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

/// A job is there twice for a moment: as the request's body and parsed.
constexpr size_t kJobCopies = 2;
constexpr std::string_view kBearerPrefix = "Bearer ";

bool TokensEqual(std::string_view given, std::string_view expected) {
  return !expected.empty() && given.size() == expected.size() &&
         sodium_memcmp(given.data(), expected.data(), expected.size()) == 0;
}

http::Response MethodNotAllowed(std::string_view allowed) {
  http::Response response =
      ErrorResponse(405, fmt::format("allowed here: {}", allowed));
  response.headers.push_back({"Allow", std::string(allowed)});
  return response;
}

}  // namespace

/// Holds the requests that wait for the core and passes each new request to its
/// handler.
class CallerApi::Impl {
 public:
  Impl(std::string operator_token, Counters& counters, CallerApiHooks hooks)
      : operator_token_(std::move(operator_token)),
        hooks_(std::move(hooks)),
        status_endpoints_(counters, hooks_.request_view, hooks_.ready),
        requests_(counters.Get("http_requests")),
        bad_requests_(counters.Get("http_requests_refused")),
        overloaded_(counters.Get("http_requests_overloaded")),
        unauthorized_(counters.Get("operator_requests_unauthorized")),
        callers_gone_(counters.Get("http_callers_gone")) {}

  void Handle(const http::Request& request, const http::Responder& respond) {
    requests_.Add();
    const auto target = http::Target::Parse(request.target);
    const RequestContext context{request, target, respond};
    static constexpr RouteHandler kRouteHandlers[] = {
        &Impl::HandleStatusRequest, &Impl::HandleJobRequest,
        &Impl::HandleChangeRequest, &Impl::HandleAuditRequest};
    for (const RouteHandler handler : kRouteHandlers) {
      if ((this->*handler)(context)) {
        return;
      }
    }
    Refuse(respond, ErrorResponse(404, "there is no such page"));
  }

  void OnDisconnected(uint64_t number) {
    if (open_requests_.erase(number) > 0) {
      callers_gone_.Add();
      hooks_.post(core::CallerGoneEvent{number});
    }
  }

  void Answer(const core::AnswerEffect& effect) {
    if (const auto open = RemoveOpenRequest(effect.request)) {
      open->respond(open->explain ? FormatExplanation(effect)
                                  : FormatAnswer(effect.answer));
    }
  }

  void Answer(const core::OperatorAnswerEffect& effect) {
    if (const auto open = RemoveOpenRequest(effect.request)) {
      open->respond(FormatChangeAnswer(effect));
    }
  }

  size_t open_requests() const { return open_requests_.size(); }

 private:
  /// A request with its parsed target, as passed to the handlers.
  struct RequestContext {
    const http::Request& request;
    const http::Target& target;
    const http::Responder& respond;
  };

  /// Handles a request. Returns false, without a response, if the target
  /// belongs to another handler.
  using RouteHandler = bool (Impl::*)(const RequestContext&);

  /// A request that waits for the core's answer.
  struct OpenRequest {
    http::Responder respond;
    bool explain = false;
    /// For the job of a submission.
    core::policy::ClientReservation memory = {};
  };

  bool HandleStatusRequest(const RequestContext& context) {
    return status_endpoints_.Handle(context.target, context.request.method,
                                    context.respond);
  }

  bool HandleJobRequest(const RequestContext& context) {
    const auto& segments = context.target.segments();
    const bool explain = segments.size() == 4 && segments[3] == "explain";
    if (segments.size() < 2 || segments[0] != "v1" || segments[1] != "jobs" ||
        (segments.size() > 3 && !explain)) {
      return false;
    }
    const auto id =
        ParseJobId(segments.size() == 2 ? std::string_view() : segments[2]);
    if (!id.ok()) {
      // `not_run` is true: no job with an invalid id is ever accepted.
      Refuse(context.respond, FormatRefusal(400, "invalid_job",
                                            StatusMessage(id.status()), true));
      return true;
    }
    const std::string& method = context.request.method;
    if (explain && method == "GET") {
      QueryJob(context, *id, wire::JobQuery::kExplain);
    } else if (explain) {
      Refuse(context.respond, MethodNotAllowed("GET"));
    } else if (method == "PUT") {
      SubmitJob(context, *id);
    } else if (method == "GET") {
      QueryJob(context, *id, wire::JobQuery::kFetch);
    } else if (method == "DELETE") {
      QueryJob(context, *id, wire::JobQuery::kCancel);
    } else {
      Refuse(context.respond, MethodNotAllowed("PUT, GET, DELETE"));
    }
    return true;
  }

  void SubmitJob(const RequestContext& context, const JobId& id) {
    auto spec = ParseJob(id, context.request.body);
    if (!spec.ok()) {
      const bool too_large = absl::IsResourceExhausted(spec.status());
      Refuse(context.respond,
             FormatRefusal(too_large ? 413 : 400, "invalid_job",
                           StatusMessage(spec.status()), false));
      return;
    }
    OpenRequest open{context.respond};
    if (hooks_.reserve) {
      auto memory = hooks_.reserve(kJobCopies * context.request.body.size());
      if (!memory) {
        RefuseOverloaded(context.respond);
        return;
      }
      open.memory = *std::move(memory);
    }
    OfferToCore(context, std::move(open),
                core::SubmitEvent{context.request.number, *std::move(spec)});
  }

  void QueryJob(const RequestContext& context,
                const JobId& id,
                wire::JobQuery query) {
    OfferToCore(context, {context.respond, query == wire::JobQuery::kExplain},
                core::QueryEvent{context.request.number, id, query});
  }

  bool HandleChangeRequest(const RequestContext& context) {
    const auto& segments = context.target.segments();
    if (segments.size() != 2 || segments[0] != "v1" ||
        segments[1] != "changes") {
      return false;
    }
    if (context.request.method != "POST") {
      Refuse(context.respond, MethodNotAllowed("POST"));
      return true;
    }
    if (!IsOperator(context.request)) {
      unauthorized_.Add();
      hooks_.log("an operator call without the right token was refused");
      Refuse(context.respond,
             ErrorResponse(401, "the operator token is wrong"));
      return true;
    }
    auto record = ParseChange(context.request.body, WallTime::Now());
    if (!record.ok()) {
      Refuse(context.respond,
             ErrorResponse(400, StatusMessage(record.status())));
      return true;
    }
    OfferToCore(
        context, {context.respond, false},
        core::OperatorEvent{context.request.number, *std::move(record)});
    return true;
  }

  bool HandleAuditRequest(const RequestContext& context) {
    const auto& segments = context.target.segments();
    if (segments.size() != 2 || segments[0] != "v1" || segments[1] != "audit") {
      return false;
    }
    if (context.request.method != "GET") {
      Refuse(context.respond, MethodNotAllowed("GET"));
      return true;
    }
    const auto since = context.target.FindNumber("since");
    if (!since && context.target.Find("since")) {
      Refuse(context.respond, ErrorResponse(400, "since is an offset"));
      return true;
    }
    context.respond(FormatAudit(hooks_.read_audit(since.value_or(0))));
    return true;
  }

  bool IsOperator(const http::Request& request) const {
    const std::string_view header = request.FindHeader("Authorization");
    return header.starts_with(kBearerPrefix) &&
           TokensEqual(header.substr(kBearerPrefix.size()), operator_token_);
  }

  /// Registers the request and offers its event to the core. Refuses the
  /// request if the core's queue is full.
  void OfferToCore(const RequestContext& context,
                   OpenRequest open,
                   core::Event event) {
    const uint64_t number = context.request.number;
    open_requests_.emplace(number, std::move(open));
    if (hooks_.offer(std::move(event))) {
      return;
    }
    open_requests_.erase(number);
    RefuseOverloaded(context.respond);
  }

  void RefuseOverloaded(const http::Responder& respond) {
    overloaded_.Add();
    // `not_run` is false: another entry may have accepted the same job.
    respond(FormatRefusal(503, wire::ToString(wire::Reason::kOverloaded),
                          "this entry can't take more now", false));
  }

  void Refuse(const http::Responder& respond, http::Response response) {
    bad_requests_.Add();
    respond(std::move(response));
  }

  std::optional<OpenRequest> RemoveOpenRequest(uint64_t number) {
    const auto it = open_requests_.find(number);
    if (it == open_requests_.end()) {
      return std::nullopt;
    }
    OpenRequest open = std::move(it->second);
    open_requests_.erase(it);
    return open;
  }

  const std::string operator_token_;
  const CallerApiHooks hooks_;
  const StatusEndpoints status_endpoints_;
  Counter& requests_;
  Counter& bad_requests_;
  Counter& overloaded_;
  Counter& unauthorized_;
  Counter& callers_gone_;
  /// By request number. Must not be iterated, because the order is unspecified.
  std::unordered_map<uint64_t, OpenRequest> open_requests_;
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

void CallerApi::OnDisconnected(uint64_t request_number) {
  impl_->OnDisconnected(request_number);
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
