#ifndef FILBERTWICK_BUNDLE_FIELDS_H_
#define FILBERTWICK_BUNDLE_FIELDS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "filbertwick/bundle/bundle.h"

namespace filbertwick::bundle {

/// A field of a bundle, zone, service or team in the form in which it is
/// printed and compared.
struct Field {
  /// Field name in the bundle file.
  std::string_view name;
  /// Value as printed text; equal values have equal texts.
  std::string text;
  /// Numeric value if the field is a limit; CheckChange() warns about large
  /// cuts.
  std::optional<uint64_t> limit;
};

/// Returns the top-level fields of a bundle, without `version`, `based_on` and
/// the lists.
std::vector<Field> FieldsOf(const Bundle& bundle);
/// Returns the fields of a zone, without its name.
std::vector<Field> FieldsOf(const Zone& zone);
/// Returns the fields of a service, without its name.
std::vector<Field> FieldsOf(const Service& service);
/// Returns the fields of a team, without its name.
std::vector<Field> FieldsOf(const Team& team);

/// Returns the name of the class in the bundle file: `urgent` or `bulk`.
std::string_view ToString(DeadlineClass deadline_class);

}  // namespace filbertwick::bundle

#endif  // FILBERTWICK_BUNDLE_FIELDS_H_
