"""Reads the resident memory of this process."""

import os
import resource

_PAGE_BYTES = resource.getpagesize()


def resident_bytes() -> int:
    """Returns the resident memory of this process in bytes."""
    descriptor = os.open("/proc/self/statm", os.O_RDONLY)
    try:
        fields = os.read(descriptor, 256).split()
    finally:
        os.close(descriptor)
    return int(fields[1]) * _PAGE_BYTES
