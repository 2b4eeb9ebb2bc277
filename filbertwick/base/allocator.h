#ifndef FILBERTWICK_BASE_ALLOCATOR_H_
#define FILBERTWICK_BASE_ALLOCATOR_H_

namespace filbertwick {

/// Has the allocator return large blocks to the operating system as soon as
/// they are freed. By default it keeps them in a heap that fragments when many
/// bodies grow side by side, so that resident memory reaches a multiple of what
/// is in use. Call it once, at the start of the process. Has no effect where
/// the C library is not glibc.
void ReturnLargeBlocksWhenFreed();

}  // namespace filbertwick

#endif  // FILBERTWICK_BASE_ALLOCATOR_H_
