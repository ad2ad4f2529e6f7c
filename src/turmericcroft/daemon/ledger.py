"""Claims and ends of calls, recorded at the owners of the ledger's shards."""

import asyncio
import typing
import uuid
from collections.abc import Coroutine

import logbook

from turmericcroft import errors
from turmericcroft.answers import ledger
from turmericcroft.clients import keyvalue
from turmericcroft.daemon import peers as peer_links
from turmericcroft.daemon import shard as shards
from turmericcroft.membership import view
from turmericcroft.mesh import message as messages

_LOG = logbook.Logger("ledger")
_CLAIM_TIMEOUT_S = 4.0
_STARTED_WAIT_S = 20.0
_STARTED_POLL_S = 0.5
_END_RETRY_PAUSE_S = 0.5
_MAX_END_RETRY_PAUSE_S = 30.0
_END_TRIES = 60
_MAX_OWNERS_TRIED = 2


class Ledger:
    """Client of the ledger, and server for the shards that this daemon owns."""

    def __init__(
        self,
        members: view.View,
        peers: peer_links.Peers,
        key_value: keyvalue.KeyValue,
    ) -> None:
        self.members = members
        self.peers = peers
        self.key_value = key_value
        self._shards: dict[int, shards.Shard] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    async def claim(self, claim: ledger.ClaimRecord) -> messages.ClaimReply:
        """Submits a claim to the owner of the key's shard.

        If the first owner is unavailable, the claim is sent to the next one.
        The claim keeps its id, so it is recorded once. If no owner is
        available, the claim is abandoned: an end record is submitted which
        states that the call was not sent.
        """
        shard = ledger.shard_of(claim.key)
        for owner in self._owners(shard)[:_MAX_OWNERS_TRIED]:
            try:
                reply = await self._send_claim(
                    owner, messages.Claim(shard, claim)
                )
            except errors.MeshError as error:
                _LOG.warning("no reply to the claim", error=str(error))
                continue
            if reply.verdict is not ledger.Verdict.UNAVAILABLE:
                return reply
        self.end(claim, ledger.Outcome.NOT_RUN)
        return messages.ClaimReply(ledger.Verdict.UNAVAILABLE)

    def end(
        self,
        claim: ledger.ClaimRecord,
        outcome: ledger.Outcome,
        status: int = 0,
        content_type: str = "",
        body: bytes = b"",
    ) -> None:
        """Records the outcome of a claimed call in the background.

        A body that is too large to be stored makes the outcome unknown.
        """
        if len(body) > ledger.MAX_STORED_BODY_BYTES:
            outcome, body = ledger.Outcome.UNKNOWN, b""
        record = ledger.EndRecord(
            claim.key,
            claim.claim_id,
            outcome,
            status,
            content_type,
            body,
            claim.expires_at_ms,
        )
        self._spawn(self._record_end(record))

    async def handle_claim(
        self, message: messages.Claim
    ) -> messages.ClaimReply:
        """Replies to a claim as the owner of its shard.

        If another claimant has started the call, the reply waits for the
        call's end, until a timeout or the loss of the claimant's daemon.
        """
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + _STARTED_WAIT_S
        shard = self._shard(message.shard)
        while True:
            changed = shard.changed
            decision = await shard.submit(message.claim)
            started = decision.verdict is ledger.Verdict.STARTED
            if not started:
                return _reply(decision)
            if loop.time() > deadline_s or not self._is_alive(
                decision.claimant
            ):
                return messages.ClaimReply(ledger.Verdict.UNKNOWN)
            try:
                async with asyncio.timeout(_STARTED_POLL_S):
                    await changed.wait()
            except TimeoutError:
                pass

    async def handle_end(self, message: messages.End) -> messages.Message:
        """Records an end as the owner of its shard."""
        decision = await self._shard(message.shard).submit(message.end)
        if decision.verdict is ledger.Verdict.GRANTED:
            return messages.Held()
        return messages.NotHeld()

    async def wait_for_ends(self, timeout_s: float) -> None:
        """Waits until all ends are recorded, or until the timeout."""
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=timeout_s)

    async def close(self) -> None:
        """Cancels all tasks and closes the shards."""
        for task in tuple(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for shard in self._shards.values():
            await shard.close()

    @property
    def appends(self) -> int:
        """Number of appends that this daemon has started."""
        return sum(shard.appends for shard in self._shards.values())

    async def _send_claim(
        self, owner: view.Member, message: messages.Claim
    ) -> messages.ClaimReply:
        if owner.name == self.members.own.name:
            return await self.handle_claim(message)
        timeout_s = _CLAIM_TIMEOUT_S + _STARTED_WAIT_S
        reply = await self.peers.call(owner, message, timeout_s)
        if isinstance(reply, messages.ClaimReply):
            return reply
        raise errors.MeshError(
            f"{owner.name}: expected a claim reply, found {reply}"
        )

    async def _record_end(self, record: ledger.EndRecord) -> None:
        shard = ledger.shard_of(record.key)
        message = messages.End(shard, record)
        pause_s = _END_RETRY_PAUSE_S
        for _ in range(_END_TRIES):
            owner = self._owners(shard)[0]
            try:
                if owner.name == self.members.own.name:
                    reply = await self.handle_end(message)
                else:
                    reply = await self.peers.call(
                        owner, message, _CLAIM_TIMEOUT_S
                    )
            except errors.MeshError as error:
                _LOG.warning("end not recorded yet", error=str(error))
                reply = messages.NotHeld()
            if isinstance(reply, messages.Held):
                return
            await asyncio.sleep(pause_s)
            pause_s = min(_MAX_END_RETRY_PAUSE_S, pause_s * 2)
        _LOG.error("end not recorded; no more retries", key=record.key)

    def _owners(self, shard: int) -> tuple[view.Member, ...]:
        members = (*self.members.alive(), self.members.own)
        return view.rank(f"ledger/{shard}", members)

    def _shard(self, number: int) -> shards.Shard:
        if number not in self._shards:
            self._shards[number] = shards.Shard(number, self.key_value)
        return self._shards[number]

    def _is_alive(self, claimant: str) -> bool:
        if claimant == self.members.own.name:
            return True
        return self.members.health(claimant) in (
            view.Health.ALIVE,
            view.Health.SUSPECT,
        )

    def _spawn(self, work: Coroutine[typing.Any, typing.Any, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def new_claim_id() -> str:
    """Creates a unique id for a claim."""
    return uuid.uuid4().hex


def _reply(decision: ledger.Decision) -> messages.ClaimReply:
    verdict = decision.verdict or ledger.Verdict.UNAVAILABLE
    end = decision.end
    if end is None:
        return messages.ClaimReply(verdict)
    return messages.ClaimReply(verdict, end.status, end.content_type, end.body)
