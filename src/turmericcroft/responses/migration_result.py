"""What is known of an order to migrate an execution to another server."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Copied:
    """The source stopped the execution, whose KV cache can be fetched.

    Attributes:
        kv_cache_source: Where it can be fetched.
    """

    kv_cache_source: str


@dataclasses.dataclass(frozen=True)
class NotStopped:
    """The order had no effect on the execution."""


@dataclasses.dataclass(frozen=True)
class Unknown:
    """The source may have stopped the execution; its answer is missing."""


Result = Copied | NotStopped | Unknown
