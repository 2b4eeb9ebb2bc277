#include "filbertwick/base/allocator.h"

#include <cstdlib>

#ifdef __GLIBC__
#include <malloc.h>
#endif

namespace filbertwick {

void ReturnLargeBlocksWhenFreed() {
#ifdef __GLIBC__
  constexpr int kLargeBlockBytes = 64 * 1024;
  // Setting them also keeps the allocator from raising them.
  mallopt(M_MMAP_THRESHOLD, kLargeBlockBytes);
  mallopt(M_TRIM_THRESHOLD, 2 * kLargeBlockBytes);
#endif
}

}  // namespace filbertwick
