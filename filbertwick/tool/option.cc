#include "filbertwick/tool/option.h"

#include <absl/status/status.h>
#include <fmt/format.h>
#include <getopt.h>

#include <algorithm>
#include <charconv>
#include <iterator>
#include <system_error>
#include <utility>

namespace filbertwick::tool {
namespace {

constexpr int kHelpCode = 1'000;
constexpr int kVersionCode = 1'001;
constexpr uint64_t kMaxMillis = 86'400'000;

bool ParseNumber(std::string_view text, uint64_t& number) {
  const char* const end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, number);
  return parsed.ec == std::errc() && parsed.ptr == end;
}

/// Returns the option table for getopt_long. getopt_long returns the index of
/// an option as its code.
std::vector<option> MakeGetoptTable(std::span<const Option> options) {
  std::vector<option> table;
  for (const Option& it : options) {
    table.push_back({it.name.c_str(),
                     it.value_name.empty() ? no_argument : required_argument,
                     nullptr, static_cast<int>(table.size())});
  }
  table.push_back({"help", no_argument, nullptr, kHelpCode});
  table.push_back({"version", no_argument, nullptr, kVersionCode});
  table.push_back({});
  return table;
}

}  // namespace

Option FlagOption(std::string name, std::string help, bool& target) {
  return {std::move(name), "", std::move(help), [&target](std::string_view) {
            target = true;
            return true;
          }};
}

Option TextOption(std::string name,
                  std::string value_name,
                  std::string help,
                  std::string& target) {
  return {std::move(name), std::move(value_name), std::move(help),
          [&target](std::string_view text) {
            target = text;
            return !target.empty();
          }};
}

Option NumberOption(std::string name,
                    std::string help,
                    uint64_t min,
                    uint64_t max,
                    uint64_t& target) {
  return {std::move(name), "N", std::move(help),
          [&target, min, max](std::string_view text) {
            return ParseNumber(text, target) && min <= target && target <= max;
          }};
}

Option MillisOption(std::string name, std::string help, Duration& target) {
  return {
      std::move(name), "MS", std::move(help), [&target](std::string_view text) {
        uint64_t number = 0;
        if (!ParseNumber(text, number) || number == 0 || number > kMaxMillis) {
          return false;
        }
        target = std::chrono::milliseconds(number);
        return true;
      }};
}

absl::StatusOr<ParsedOptions> ParseOptions(std::span<const Option> options,
                                           std::span<const std::string> args) {
  std::vector<std::string> texts = {"filbertwick"};
  texts.insert(texts.end(), args.begin(), args.end());
  std::vector<char*> argv;
  std::ranges::transform(texts, std::back_inserter(argv),
                         [](std::string& it) { return it.data(); });
  argv.push_back(nullptr);
  const int argc = static_cast<int>(texts.size());
  const std::vector<option> table = MakeGetoptTable(options);
  ParsedOptions parsed;
  // 0 makes GNU getopt_long reset its state from earlier calls.
  optind = 0;
  while (true) {
    const int code = getopt_long(argc, argv.data(), ":", table.data(), nullptr);
    if (code == -1) {
      break;
    }
    if (code == kHelpCode) {
      parsed.help = true;
    } else if (code == kVersionCode) {
      parsed.version = true;
    } else if (code == '?' || code == ':') {
      return absl::InvalidArgumentError(
          fmt::format("{} {}", argv[optind - 1],
                      code == ':' ? "needs a value" : "is not an option here"));
    } else if (!options[code].parse(optarg == nullptr ? "" : optarg)) {
      return absl::InvalidArgumentError(
          fmt::format("--{} can't be \"{}\"", options[code].name, optarg));
    }
  }
  std::copy(argv.begin() + optind, argv.end() - 1,
            std::back_inserter(parsed.operands));
  return parsed;
}

std::string FormatOptions(std::span<const Option> options) {
  std::string text;
  for (const Option& option : options) {
    const std::string name =
        option.value_name.empty()
            ? "--" + option.name
            : fmt::format("--{} {}", option.name, option.value_name);
    fmt::format_to(std::back_inserter(text), "  {:<24} {}\n", name,
                   option.help);
  }
  return text;
}

}  // namespace filbertwick::tool
