#include <criterion/criterion.h>

#include <array>
#include <random>
#include <string>

#include "filbertwick/json/document.h"
#include "filbertwick/json/object_reader.h"
#include "filbertwick/json/text_writer.h"

namespace {

using filbertwick::Duration;
using filbertwick::FormatFindings;
using filbertwick::ZoneName;
using filbertwick::json::Choice;
using filbertwick::json::Comments;
using filbertwick::json::Document;
using filbertwick::json::Node;
using filbertwick::json::ObjectReader;
using filbertwick::json::Quote;
using filbertwick::json::TextWriter;

constexpr int kNumCorruptedTexts = 5'000;

enum class Color { kRed, kBlue };

/// Parses `text`, reads one field of every supported type and returns the
/// formatted findings.
std::string ReadAllFieldTypes(std::string_view text,
                              Comments comments = Comments::kAllowed) {
  static constexpr std::array<Choice<Color>, 2> kColors = {
      {{"red", Color::kRed}, {"blue", Color::kBlue}}};
  Document document = Document::Parse("f", text, comments);
  if (document.parsed()) {
    ObjectReader reader(document.root());
    reader.Integer<uint8_t>("n", {2, 1000}, 7);
    reader.Number("share", 0, 1, 0.5);
    reader.Milliseconds("wait_ms", {1, 1000}, Duration(1000));
    reader.Boolean("flag", false);
    reader.String("text", {1, 3}, "x");
    reader.ReadName<ZoneName>("name");
    reader.ReadChoice<Color>("color", kColors, Color::kRed);
    reader.Names<ZoneName>("zones", {0, 3});
    reader.Strings("texts", {0, 2}, {0, 2});
    for (const Node& node : reader.Array("items", {0, 2})) {
      ObjectReader item(node);
      item.Integer<int>("n", {});
      item.Finish();
    }
    reader.Finish();
  }
  return FormatFindings(document.findings());
}

struct Case {
  const char* text;
  /// Expected formatted findings.
  const char* findings;
};

constexpr const char* kUnknownFieldText =
    "unknown field, allowed are color, flag, items, n, name, share, text, "
    "texts, wait_ms, zones\n";

Test(json, every_finding_reports_its_location) {
  const std::string unknown = std::string("f:2: /m: ") + kUnknownFieldText;
  const std::array<Case, 19> cases = {{
      {R"({"name": "a"} // fine)", ""},
      {R"({})", "f:1: /: the field \"name\" is missing\n"},
      {R"([])", "f:1: /: must be an object\n"},
      {R"({"name": "a b"})",
       "f:1: /name: must be a name of 1 to 64 letters, digits, '.', '_' or "
       "'-'\n"},
      {"{\"name\": \"a\",\n\"m\": 1}", unknown.c_str()},
      {R"({"name": "a", "n": 1})",
       "f:1: /n: must be a whole number, 2 to 255\n"},
      {R"({"name": "a", "n": 300})",
       "f:1: /n: must be a whole number, 2 to 255\n"},
      {R"({"name": "a", "n": 2.5})",
       "f:1: /n: must be a whole number, 2 to 255\n"},
      {R"({"name": "a", "n": null})",
       "f:1: /n: must be a whole number, 2 to 255\n"},
      {R"({"name": "a", "share": 1.5})",
       "f:1: /share: must be a number, 0 to 1\n"},
      {R"({"name": "a", "wait_ms": "5"})",
       "f:1: /wait_ms: must be a whole number, 1 to 1000\n"},
      {R"({"name": "a", "flag": 1})", "f:1: /flag: must be true or false\n"},
      {R"({"name": "a", "text": "long"})",
       "f:1: /text: must be a string of 1 to 3 bytes\n"},
      {R"({"name": "a", "color": "green"})",
       "f:1: /color: must be one of \"red\", \"blue\"\n"},
      {R"({"name": "a", "zones": ["b", "b"]})",
       "f:1: /zones/1: \"b\" is named twice\n"},
      {R"({"name": "a", "texts": ["", 1]})",
       "f:1: /texts/1: must be a string of 0 to 2 bytes\n"},
      {R"({"name": "a", "items": [{"n": 1}, {"n": -1}]})",
       "f:1: /items/1/n: must be a whole number, 0 to 2147483647\n"},
      {"{\"name\": \"a\", /* \"n\" */\n \"n\": 3, // {\n \"n\": 4,\n\"items\": "
       "[{\"n\": 1, \"n\": 2}]}",
       "f:3: /n: duplicate key, each may stand once\n"
       "f:4: /items/0/n: duplicate key, each may stand once\n"},
      {R"({"name": "a", "n\u0061me": "b"})",
       "f:1: /: not JSON: Duplicate key: 'name'\n"},
  }};
  for (const Case& c : cases) {
    const std::string findings = ReadAllFieldTypes(c.text);
    cr_expect(findings == c.findings, "%s gave %s", c.text, findings.c_str());
  }
}

Test(json, wrong_syntax_is_a_finding) {
  const std::string deep = std::string(100, '[') + std::string(100, ']');
  const std::array<const char*, 7> texts = {
      "", "{", "{\"a\": 1,}", "{} {}", "{'a': 1}", "\"\xff\"", deep.c_str()};
  for (const char* text : texts) {
    const Document document = Document::Parse("f", text, Comments::kAllowed);
    cr_expect_not(document.parsed(), "%s was accepted", text);
    cr_expect_not(document.ok(), "%s was accepted", text);
    cr_expect(document.findings().size() == 1);
    cr_expect(document.findings().front().line == 1);
  }
  cr_expect_not(
      ReadAllFieldTypes("{\"name\": \"a\"} // no", Comments::kForbidden)
          .empty());
}

Test(json, findings_are_bounded) {
  std::string text = "{\"name\": \"a\"";
  for (int i = 0; i < 1000; ++i) {
    text += ", \"x" + std::to_string(i) + "\": 1";
  }
  const std::string findings = ReadAllFieldTypes(text + "}");
  cr_expect(findings.find("900 more findings are left out") !=
            std::string::npos);
}

Test(json, corrupted_texts_never_crash) {
  const std::string text =
      R"({"name": "a", "n": 3, "zones": ["b", "c"], "items": [{"n": 1}]})";
  std::mt19937_64 random(1);
  for (int i = 0; i < kNumCorruptedTexts; ++i) {
    std::string corrupted = text;
    for (int k = 0; k < 3; ++k) {
      const size_t n = random() % corrupted.size();
      const auto byte = static_cast<char>(random());
      random() % 2 ? (void)(corrupted[n] = byte) : (void)corrupted.erase(n, 1);
    }
    ReadAllFieldTypes(corrupted);
  }
}

Test(json, written_text_reads_back) {
  const std::string text = TextWriter()
                               .BeginObject()
                               .Member("name", ZoneName("a"))
                               .Member("flag", true)
                               .Member("n", 3)
                               .Member("share", 0.25)
                               .Member("text", "\"\\")
                               .Key("zones")
                               .BeginArray()
                               .Value("b")
                               .Value("c")
                               .EndArray()
                               .Key("items")
                               .BeginArray()
                               .BeginObject()
                               .Member("n", 1)
                               .EndObject()
                               .EndArray()
                               .EndObject()
                               .Take();
  cr_expect(text ==
            R"({"name":"a","flag":true,"n":3,"share":0.25,"text":"\"\\",)"
            R"("zones":["b","c"],"items":[{"n":1}]})");
  cr_expect(ReadAllFieldTypes(text).empty());
}

Test(json, quoted_text_is_always_valid) {
  cr_expect(Quote(std::string_view("a\0\n\x1f", 4)) == R"("a\u0000\n\u001f")");
  cr_expect(Quote("\xc3\xa9\xff!") == "\"\xc3\xa9\xef\xbf\xbd!\"");
}

}  // namespace
