#ifndef FILBERTWICK_HTTP_CHUNKED_INPUT_H_
#define FILBERTWICK_HTTP_CHUNKED_INPUT_H_

#include <cstddef>

namespace filbertwick::http {

// Rules for the input of a Beast parser, which does not check these itself.

/// Shortest rest of a chunked body whose last chunk has not been read: that
/// chunk, "0\r\n", and an empty trailer section.
inline constexpr size_t kMinChunkedRest = 5;

/// Returns true if `parser` must wait for more than the `buffered` bytes. When
/// it is called again within the last chunk of a body, it asserts that the
/// whole chunk is there.
template <typename Parser>
bool NeedsMoreOfChunk(const Parser& parser, size_t buffered) {
  return parser.is_header_done() && parser.chunked() &&
         buffered < kMinChunkedRest;
}

/// Returns true if the `unread` bytes, with which `parser` needs more, are too
/// many. They are a chunk header or the trailer section, on which the parser
/// sets no limit.
template <typename Parser>
bool IsChunkHeaderTooLarge(const Parser& parser,
                           size_t unread,
                           size_t max_bytes) {
  return parser.is_header_done() && unread > max_bytes;
}

}  // namespace filbertwick::http

#endif  // FILBERTWICK_HTTP_CHUNKED_INPUT_H_
