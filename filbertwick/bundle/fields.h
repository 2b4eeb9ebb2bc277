#ifndef FILBERTWICK_BUNDLE_FIELDS_H_
#define FILBERTWICK_BUNDLE_FIELDS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "filbertwick/bundle/bundle.h"

namespace filbertwick::bundle {

/// One field of a part of a bundle, as it is shown and compared.
struct Field {
  /// Name in the file.
  std::string_view name;
  std::string text;
  /// For limits: the number that a change may cut.
  std::optional<uint64_t> limit;
};

/// The fields of the bundle itself, without its lists and versions.
std::vector<Field> FieldsOf(const Bundle& bundle);
/// The fields of a zone, without its name.
std::vector<Field> FieldsOf(const Zone& zone);
/// The fields of a service, without its name.
std::vector<Field> FieldsOf(const Service& service);
/// The fields of a team, without its name.
std::vector<Field> FieldsOf(const Team& team);

/// The word that stands for the class in the file.
std::string_view ToString(DeadlineClass deadline_class);

}  // namespace filbertwick::bundle

#endif  // FILBERTWICK_BUNDLE_FIELDS_H_
