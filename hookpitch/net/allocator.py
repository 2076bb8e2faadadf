"""Settings of the C library's allocator, where the process runs on one that has them."""

from __future__ import annotations

import contextlib
import ctypes

MMAP_THRESHOLD_OPTION = -3  # M_MMAP_THRESHOLD of glibc's mallopt(3)
# Larger blocks are mapped one by one, and go back to the system when they are freed.
MMAP_THRESHOLD_BYTES = 1 << 15


def return_large_blocks() -> None:
    """Let the memory of large buffers go back to the system as soon as they are freed.

    By default glibc keeps them in its heap, where small objects that live longer leave gaps: the
    process would grow by several times what its buffers hold at any moment.
    """
    with contextlib.suppress(OSError, AttributeError):
        ctypes.CDLL(None).mallopt(MMAP_THRESHOLD_OPTION, MMAP_THRESHOLD_BYTES)
