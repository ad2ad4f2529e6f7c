"""Handling of messages from peer daemons."""

import asyncio
import json
from collections.abc import AsyncIterator

from turmericcroft import settings
from turmericcroft.daemon import answer as answers
from turmericcroft.daemon import board as boards
from turmericcroft.daemon import ledger
from turmericcroft.daemon import membership
from turmericcroft.daemon import registry as registries
from turmericcroft.daemon import timelines
from turmericcroft.intent import part
from turmericcroft.mesh import message as messages
from turmericcroft.timeline import recorder


class QueueSubscriber:
    """Subscriber that queues an answer's events for a peer."""

    def __init__(self) -> None:
        self.queue: asyncio.Queue[bytes | None] = asyncio.Queue()

    def write(self, data: bytes) -> bool:
        """Queues events; there is always room for more."""
        self.queue.put_nowait(data)
        return True

    async def drain(self) -> None:
        """Returns at once; the queue is bounded by the answer's length."""

    def drop(self) -> None:
        """Queues the end marker."""
        self.queue.put_nowait(None)


class Dispatch:
    """Passes each message to the component that handles it."""

    def __init__(
        self,
        config: settings.Settings,
        board: boards.Board,
        member_task: membership.MembershipTask,
        registry: registries.Registry,
        timeline: timelines.Timelines,
        calls_ledger: ledger.Ledger,
    ) -> None:
        self.settings = config
        self.board = board
        self.member_task = member_task
        self.registry = registry
        self.timeline = timeline
        self.ledger = calls_ledger

    async def handle(
        self, message: messages.Message
    ) -> AsyncIterator[messages.Message]:
        """Handles a message and yields the replies to it."""
        match message:
            case messages.Heartbeat():
                self.member_task.apply_heartbeat(message)
                yield self.member_task.heartbeat()
            case messages.FetchMembers():
                members = self.member_task.members
                yield messages.MembersReply((members.own, *members.alive()))
            case messages.FetchHead() | messages.FetchPart():
                yield self._read_configuration(message)
            case messages.KeepRequest() | messages.HandOver():
                yield self._store_or_take_over(message)
            case messages.Follow():
                async for reply in self._follow(message):
                    yield reply
            case messages.Quarantine():
                self._merge_quarantine(message)
            case messages.Claim() | messages.End():
                yield await self._handle_ledger(message)
            case messages.FetchTimeline():
                yield self._read_timeline(message)
            case _:
                return

    def _store_or_take_over(
        self, message: messages.KeepRequest | messages.HandOver
    ) -> messages.Message:
        if self.board.stopping:
            return messages.NotHeld()
        match message:
            case messages.KeepRequest(request, origin):
                self.registry.store_backup(request, origin)
            case messages.HandOver(request, events):
                self.registry.take_over(request, events)
        return messages.Held()

    def _read_configuration(
        self, message: messages.FetchHead | messages.FetchPart
    ) -> messages.Message:
        in_force = self.board.in_force
        if in_force is None:
            return messages.NotHeld()
        match message:
            case messages.FetchHead():
                return messages.HeadReply(part.encode_head(in_force.head))
            case messages.FetchPart(digest):
                return messages.PartReply(in_force.parts.get(digest, b""))

    async def _handle_ledger(
        self, message: messages.Claim | messages.End
    ) -> messages.Message:
        match message:
            case messages.Claim():
                return await self.ledger.handle_claim(message)
            case messages.End():
                return await self.ledger.handle_end(message)

    def _merge_quarantine(self, message: messages.Quarantine) -> None:
        self.board.suspects.merge(
            message.fingerprint,
            message.crashes,
            message.quarantined,
            asyncio.get_running_loop().time(),
        )

    def _read_timeline(
        self, message: messages.FetchTimeline
    ) -> messages.Message:
        timeline_filter = recorder.Filter(
            message.request_id,
            message.server,
            message.account,
            message.since_ms,
        )
        lines = [
            json.dumps(item) for item in self.timeline.local(timeline_filter)
        ]
        return messages.TimelineReply("\n".join(lines).encode())

    async def _follow(
        self, message: messages.Follow
    ) -> AsyncIterator[messages.Message]:
        answer = await self.registry.find(message.account, message.request_id)
        if answer is None:
            yield messages.NotHeld()
            return
        async with self.registry.track_connection(answer):
            async for data in _follow_events(answer, message.position):
                yield messages.Events(
                    data, answer.request.chat, answer.request.stream
                )


async def _follow_events(
    answer: answers.Answer, position: int
) -> AsyncIterator[bytes]:
    await answer.wait_for_position(position)
    subscriber = QueueSubscriber()
    yield answer.subscribe(subscriber, position)
    ended = asyncio.create_task(answer.ended.wait())
    ended.add_done_callback(lambda _: subscriber.queue.put_nowait(None))
    try:
        while (data := await subscriber.queue.get()) is not None:
            yield data
    finally:
        ended.cancel()
        answer.unsubscribe(subscriber)
