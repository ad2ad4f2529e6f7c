"""Task that owns one shard of the ledger and appends records in batches."""

import asyncio
import dataclasses
import time
import uuid
from collections.abc import Sequence

import logbook

from turmericcroft import errors
from turmericcroft.answers import ledger
from turmericcroft.clients import keyvalue

_LOG = logbook.Logger("ledger")
PREFIX = "/turmericcroft/ledger/"
APPEND_INTERVAL_S = 0.3
_MAX_TRIES = 5
_READ_BACK_TRIES = 4
_READ_BACK_PAUSE_S = 0.2
_MAX_BATCH = 1_000
_TRIM_INTERVAL_S = 60.0
_MAX_TRIM = 100


@dataclasses.dataclass(frozen=True)
class PendingRecord:
    """A submitted record.

    Attributes:
        record: The record.
        decision: Set when the record is appended or needs no append, or
            when the log is unavailable.
    """

    record: ledger.Record
    decision: "asyncio.Future[ledger.Decision]"


class Shard:
    """Appends records to one shard's log in batches.

    Correctness does not depend on there being one owner: an append succeeds
    only under the next free sequence number. An owner with an outdated index
    fails to append, reloads the log and decides again.

    Attributes:
        number: Number of the shard.
        appends: Number of appends started.
        changed: Set, and replaced by a new event, after each batch.
    """

    def __init__(self, number: int, key_value: keyvalue.KeyValue) -> None:
        self.number = number
        self.key_value = key_value
        self.appends = 0
        self.changed = asyncio.Event()
        self._index: ledger.ShardIndex | None = None
        self._floor_revision = 0
        self._inbox: asyncio.Queue[PendingRecord] = asyncio.Queue()
        self._last_append_s = 0.0
        self._last_trim_s = 0.0
        self._task: asyncio.Task[None] | None = None

    async def submit(self, record: ledger.Record) -> ledger.Decision:
        """Submits a claim or an end and waits for the decision.

        Returns:
            The decision. A claim is granted only after it was appended.
        """
        loop = asyncio.get_running_loop()
        if self._task is None or self._task.done():
            self._task = asyncio.create_task(self._run())
        pending = PendingRecord(record, loop.create_future())
        self._inbox.put_nowait(pending)
        return await pending.decision

    async def close(self) -> None:
        """Cancels the task and resolves pending records as unavailable."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        while not self._inbox.empty():
            _resolve([self._inbox.get_nowait()], ledger.Verdict.UNAVAILABLE)

    async def _run(self) -> None:
        while True:
            waiting = await self._collect()
            try:
                await self._resolve_all(waiting)
                await self._trim()
            except errors.PlatformError as error:
                _LOG.warning(
                    "shard unavailable", shard=self.number, error=str(error)
                )
                _resolve(waiting, ledger.Verdict.UNAVAILABLE)
            except BaseException:
                _resolve(waiting, ledger.Verdict.UNAVAILABLE)
                raise
            finally:
                self.changed.set()
                self.changed = asyncio.Event()

    async def _collect(self) -> list[PendingRecord]:
        """Collects the records of the next batch.

        A batch with a claim is appended as soon as the append interval since
        the last append is over. Ends are not urgent: without a claim they
        wait for a whole interval, because their append would delay a claim
        that arrives right after it.
        """
        loop = asyncio.get_running_loop()
        waiting = [await self._inbox.get()]
        collect_start_s = loop.time()
        while len(waiting) < _MAX_BATCH:
            interval_start_s = self._last_append_s
            if not any(_has_claim(pending) for pending in waiting):
                interval_start_s = collect_start_s
            remaining_s = interval_start_s + APPEND_INTERVAL_S - loop.time()
            if remaining_s <= 0 and self._inbox.empty():
                break
            try:
                async with asyncio.timeout(max(0.0, remaining_s)):
                    waiting.append(await self._inbox.get())
            except TimeoutError:
                break
        return waiting

    async def _resolve_all(self, waiting: Sequence[PendingRecord]) -> None:
        for _ in range(_MAX_TRIES):
            index = await self._load_index()
            index.remove_expired(time.time_ns() // 1_000_000)
            to_append = _select(index, waiting)
            if not to_append:
                return
            if await self._append(index, to_append):
                for pending in to_append:
                    _resolve([pending], ledger.Verdict.GRANTED)
                return
        raise errors.KeyValueUnavailableError(
            f"shard {self.number}: expected one of {_MAX_TRIES} appends to "
            "succeed, found that other daemons appended first"
        )

    async def _append(
        self, index: ledger.ShardIndex, to_append: Sequence[PendingRecord]
    ) -> bool:
        records = [pending.record for pending in to_append]
        batch = ledger.Batch(
            uuid.uuid4().hex,
            tuple(r for r in records if isinstance(r, ledger.ClaimRecord)),
            tuple(r for r in records if isinstance(r, ledger.EndRecord)),
        )
        sequence = index.next_sequence
        self._last_append_s = asyncio.get_running_loop().time()
        self.appends += 1
        # While the outcome of the append is unknown, the index may lack the
        # batch; if it stays unknown, the index is loaded again.
        self._index = None
        if not await self._create(sequence, batch):
            return False
        index.apply(sequence, batch)
        self._index = index
        return True

    async def _create(self, sequence: int, batch: ledger.Batch) -> bool:
        key = self._batch_key(sequence)
        # A trim deletes old batches and writes the floor key. Without the
        # condition on that key, an outdated index could reuse the sequence
        # number of a deleted batch.
        try:
            return await self.key_value.commit(
                [
                    keyvalue.Condition(key, 0),
                    keyvalue.Condition(self._floor_key(), self._floor_revision),
                ],
                [keyvalue.Put(key, ledger.encode(batch))],
            )
        except errors.KeyValueOutcomeUnknownError:
            return await self._read_back(key, batch)

    async def _read_back(self, key: str, batch: ledger.Batch) -> bool:
        for attempt in range(_READ_BACK_TRIES):
            try:
                entry = await self.key_value.get(key)
            except errors.PlatformError:
                if attempt + 1 == _READ_BACK_TRIES:
                    raise
                await asyncio.sleep(_READ_BACK_PAUSE_S)
                continue
            if entry is None:
                return False
            return ledger.decode(entry.value).batch_id == batch.batch_id
        return False

    async def _load_index(self) -> ledger.ShardIndex:
        if self._index is not None:
            return self._index
        entries = await self.key_value.list_prefix(self._prefix())
        index = ledger.ShardIndex()
        self._floor_revision = 0
        for entry in entries:
            name = entry.key.removeprefix(self._prefix())
            if name == "floor":
                self._floor_revision = entry.mod_revision
            else:
                index.apply(int(name), ledger.decode(entry.value))
        self._index = index
        return index

    async def _trim(self) -> None:
        now_s = asyncio.get_running_loop().time()
        if self._index is None or now_s - self._last_trim_s < _TRIM_INTERVAL_S:
            return
        self._last_trim_s = now_s
        index, self._index = self._index, None
        old = index.removable_sequences(time.time_ns() // 1_000_000)[:_MAX_TRIM]
        if old:
            await self.key_value.commit(
                [keyvalue.Condition(self._floor_key(), self._floor_revision)],
                [
                    keyvalue.Put(self._floor_key(), str(old[-1]).encode()),
                    *(keyvalue.Delete(self._batch_key(s)) for s in old),
                ],
            )
        else:
            self._index = index

    def _prefix(self) -> str:
        return f"{PREFIX}{self.number:04d}/"

    def _floor_key(self) -> str:
        return f"{self._prefix()}floor"

    def _batch_key(self, sequence: int) -> str:
        return f"{self._prefix()}{sequence:012d}"


def _has_claim(pending: PendingRecord) -> bool:
    return isinstance(pending.record, ledger.ClaimRecord)


def _select(
    index: ledger.ShardIndex, waiting: Sequence[PendingRecord]
) -> list[PendingRecord]:
    """Resolves claims that need no append and returns the other records."""
    to_append: list[PendingRecord] = []
    claimed: dict[str, ledger.ClaimRecord] = {}
    for pending in waiting:
        if pending.decision.done():
            continue
        match pending.record:
            case ledger.EndRecord():
                to_append.append(pending)
            case ledger.ClaimRecord() as claim:
                decision = index.decide(claim)
                if decision.verdict is None and claim.key in claimed:
                    first = claimed[claim.key]
                    decision = _decide_repeated(first, claim)
                if decision.verdict is None:
                    claimed[claim.key] = claim
                    to_append.append(pending)
                else:
                    pending.decision.set_result(decision)
    return to_append


def _decide_repeated(
    first: ledger.ClaimRecord, claim: ledger.ClaimRecord
) -> ledger.Decision:
    """Decides on a claim whose key has an earlier claim in the same batch."""
    if first.body_hash != claim.body_hash:
        return ledger.Decision(ledger.Verdict.MISMATCH)
    return ledger.Decision(ledger.Verdict.STARTED, claimant=first.claimant)


def _resolve(waiting: Sequence[PendingRecord], verdict: ledger.Verdict) -> None:
    for pending in waiting:
        if not pending.decision.done():
            pending.decision.set_result(ledger.Decision(verdict))
