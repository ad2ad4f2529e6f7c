"""Resident memory of this process."""

import os
import resource

_PAGE_BYTES = resource.getpagesize()


def resident_bytes() -> int:
    """Reads this process's resident memory."""
    descriptor = os.open("/proc/self/statm", os.O_RDONLY)
    try:
        fields = os.read(descriptor, 256).split()
    finally:
        os.close(descriptor)
    return int(fields[1]) * _PAGE_BYTES
