"""Simulated model engine with a batch, a prefix cache and token times.

Its tokens depend only on the request, so that a check can tell the expected
answer. It can crash, skip a position or stall on demand.
"""

import asyncio
import collections
import dataclasses
import hashlib
import heapq
import itertools
import json
import time
import typing

from aiohttp import web

CHARS_PER_TOKEN = 4
BLOCK_CHARS = 64
CRASH_MARKER = "<<crash>>"
_WORDS = ("lane", "roof", "parcel", "council", "mount", "survey", "house")


@dataclasses.dataclass(frozen=True)
class EngineParameters:
    """Speeds and sizes of a simulated engine.

    Attributes:
        slots: Maximum number of requests in the batch.
        cache_blocks: Capacity of the prefix cache in prompt blocks.
        prefill_s_per_token: Time to prefill one prompt token.
        token_s: Time between tokens of a request that is alone in the batch.
        batch_slowdown: Share of ``token_s`` added for each other request in
            the batch.
    """

    slots: int = 8
    cache_blocks: int = 4_000
    prefill_s_per_token: float = 0.000_2
    token_s: float = 0.02
    batch_slowdown: float = 0.05


@dataclasses.dataclass
class Counts:
    """Counters of an engine; the names of the fields are JSON keys.

    Attributes:
        prompt_tokens: Prompt tokens of all requests, with the text that resumed
            requests continue.
        computed_tokens: Those of them that the prefix cache did not hold.
        resumed: Requests that continued an answer from a position.
        recomputed_tokens: Computed tokens of resumed requests.
        cancelled: Requests whose connection closed before the end.
        finished: Requests with a complete answer.
    """

    prompt_tokens: int = 0
    computed_tokens: int = 0
    resumed: int = 0
    recomputed_tokens: int = 0
    cancelled: int = 0
    finished: int = 0


class PrefixCache:
    """LRU cache of prompt blocks, keyed by a hash of the prefix they end."""

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        self._blocks: collections.OrderedDict[bytes, None] = (
            collections.OrderedDict()
        )

    def lookup_and_fill(self, prompt: str) -> int:
        """Caches a prompt; returns the length of the prefix cached before."""
        digest = hashlib.blake2b(digest_size=8)
        cached_chars = 0
        is_cached = True
        for start in range(0, len(prompt) - BLOCK_CHARS + 1, BLOCK_CHARS):
            digest.update(prompt[start : start + BLOCK_CHARS].encode())
            key = digest.digest()
            is_cached = is_cached and key in self._blocks
            cached_chars += BLOCK_CHARS if is_cached else 0
            self._blocks[key] = None
            self._blocks.move_to_end(key)
        while len(self._blocks) > self.capacity:
            self._blocks.popitem(last=False)
        return cached_chars


class Slots:
    """Slots of the engine's batch, with a priority queue of requests."""

    def __init__(self, count: int) -> None:
        self.free = count
        self.running = 0
        self._sequence = itertools.count()
        self._waiting: list[tuple[int, int, asyncio.Future[None]]] = []

    @property
    def open_requests(self) -> int:
        """Number of running and waiting requests."""
        return self.running + len(self._waiting)

    async def acquire(self, priority: int) -> None:
        """Waits for a slot; lower priority numbers get one first."""
        if self.free == 0:
            future = asyncio.get_running_loop().create_future()
            item = (priority, next(self._sequence), future)
            heapq.heappush(self._waiting, item)
            try:
                await future
            except asyncio.CancelledError:
                if item in self._waiting:
                    self._waiting.remove(item)
                    heapq.heapify(self._waiting)
                elif future.done() and not future.cancelled():
                    self.free += 1
                    self._assign_free_slots()
                raise
        else:
            self.free -= 1
        self.running += 1

    def release(self) -> None:
        """Returns a slot."""
        self.running -= 1
        self.free += 1
        self._assign_free_slots()

    def _assign_free_slots(self) -> None:
        while self._waiting and self.free:
            _, _, future = heapq.heappop(self._waiting)
            if not future.done():
                self.free -= 1
                future.set_result(None)


class SimulatedEngine:
    """Model engine on one port that can crash and start again.

    Attributes:
        name: Name of the server.
        parameters: Speeds and sizes.
        counts: Counters since the first start.
        cache: Prefix cache, lost in a crash.
        slots: Slots of the batch.
        crashes: Number of crashes and stops.
        skip_next_position: Whether the next event skips a position.
        stall_next_token: Whether the next token is delayed by a minute.
    """

    def __init__(self, name: str, parameters: EngineParameters) -> None:
        self.name = name
        self.parameters = parameters
        self.counts = Counts()
        self.cache = PrefixCache(parameters.cache_blocks)
        self.slots = Slots(parameters.slots)
        self.crashes = 0
        self.skip_next_position = False
        self.stall_next_token = False
        self._runner: web.AppRunner | None = None
        self._transports: set[asyncio.BaseTransport] = set()
        self._crash_task: asyncio.Task[None] | None = None

    @property
    def is_down(self) -> bool:
        """Whether the engine was not started, or not again after a crash."""
        return self._runner is None

    async def start(self, host: str, port: int) -> None:
        """Starts listening on a port."""
        app = web.Application(client_max_size=16_777_216)
        app.router.add_post("/v1/completions", self._completions)
        app.router.add_post("/v1/chat/completions", self._completions)
        self._runner = web.AppRunner(
            app, access_log=None, shutdown_timeout=0.01
        )
        await self._runner.setup()
        await web.TCPSite(self._runner, host, port, reuse_address=True).start()

    async def crash(self) -> None:
        """Closes the port, resets all connections and empties the cache."""
        runner, self._runner = self._runner, None
        if runner is None:
            return
        self.crashes += 1
        for site in list(runner.sites):
            await site.stop()
        for transport in list(self._transports):
            transport.abort()  # type: ignore[attr-defined]
        self.cache = PrefixCache(self.parameters.cache_blocks)
        await runner.cleanup()

    async def _completions(self, request: web.Request) -> web.StreamResponse:
        body = await request.json()
        chat = request.path.endswith("chat/completions")
        prompt = prompt_text(body, chat)
        if request.transport is not None:
            self._transports.add(request.transport)
        if CRASH_MARKER in prompt:
            self._crash_task = asyncio.create_task(self.crash())
            await asyncio.sleep(60.0)
        try:
            return await self._generate(request, body, chat, prompt)
        except ConnectionError:
            self.counts.cancelled += 1
            return web.Response()
        except asyncio.CancelledError:
            self.counts.cancelled += 1
            raise
        finally:
            if request.transport is not None:
                self._transports.discard(request.transport)

    async def _generate(
        self,
        request: web.Request,
        body: dict[str, typing.Any],
        chat: bool,
        prompt: str,
    ) -> web.StreamResponse:
        priority = int(request.headers.get("X-Priority", "5"))
        open_requests = self.slots.open_requests + 1
        await self.slots.acquire(priority)
        try:
            return await self._stream(
                request, body, chat, prompt, open_requests
            )
        finally:
            self.slots.release()

    async def _stream(
        self,
        request: web.Request,
        body: dict[str, typing.Any],
        chat: bool,
        prompt: str,
        open_requests: int,
    ) -> web.StreamResponse:
        resume = body.get("resume") or {"position": 0, "text": ""}
        cached = self._fill_cache(prompt + resume["text"], resume)
        length = len(prompt + resume["text"])
        compute_tokens = max(1, (length - cached) // CHARS_PER_TOKEN)
        await asyncio.sleep(
            compute_tokens * self.parameters.prefill_s_per_token
        )
        response = web.StreamResponse(
            headers={
                "Content-Type": "text/event-stream",
                "X-Engine-Open-Requests": str(open_requests),
            }
        )
        await response.prepare(request)
        writer = _EventWriter(request, body, chat)
        total = int(body.get("max_tokens", 16))
        for position in range(int(resume["position"]) + 1, total + 1):
            batch_size = self.slots.running
            slowdown = 1.0 + self.parameters.batch_slowdown * (batch_size - 1)
            await asyncio.sleep(self.parameters.token_s * slowdown)
            if self.stall_next_token:
                self.stall_next_token = False
                await asyncio.sleep(60.0)
            if self.skip_next_position:
                self.skip_next_position = False
                position += 1
            word = token(prompt, int(body.get("seed", 0)), position)
            await response.write(writer.token(position, word))
        usage = {
            "prompt_tokens": len(prompt) // CHARS_PER_TOKEN + 1,
            "completion_tokens": total,
            "total_tokens": len(prompt) // CHARS_PER_TOKEN + 1 + total,
            "prompt_tokens_details": {
                "cached_tokens": cached // CHARS_PER_TOKEN
            },
        }
        await response.write(writer.finish(total + 1, usage))
        self.counts.finished += 1
        return response

    def _fill_cache(self, text: str, resume: dict[str, typing.Any]) -> int:
        cached = self.cache.lookup_and_fill(text)
        computed = (len(text) - cached) // CHARS_PER_TOKEN
        self.counts.prompt_tokens += len(text) // CHARS_PER_TOKEN
        self.counts.computed_tokens += computed
        if resume["position"]:
            self.counts.resumed += 1
            self.counts.recomputed_tokens += computed
        return cached


class _EventWriter:
    def __init__(
        self, request: web.Request, body: dict[str, typing.Any], chat: bool
    ) -> None:
        prefix = "chatcmpl" if chat else "cmpl"
        self._chat = chat
        self._common_fields = {
            "id": f"{prefix}-{request.headers.get('X-Request-Id', '0')}",
            "object": "chat.completion.chunk" if chat else "text_completion",
            "created": int(time.time()),
            "model": body.get("model", ""),
        }

    def token(self, position: int, text: str) -> bytes:
        choice: dict[str, typing.Any] = {"index": 0, "finish_reason": None}
        if self._chat:
            choice["delta"] = {"content": text}
        else:
            choice["text"] = text
        return self._event(position, {"choices": [choice]})

    def finish(self, position: int, usage: dict[str, typing.Any]) -> bytes:
        choice: dict[str, typing.Any] = {"index": 0, "finish_reason": "stop"}
        if self._chat:
            choice["delta"] = {}
        else:
            choice["text"] = ""
        event = {"choices": [choice], "usage": usage}
        return self._event(position, event) + b"data: [DONE]\n\n"

    def _event(self, position: int, fields: dict[str, typing.Any]) -> bytes:
        data = json.dumps(self._common_fields | fields, separators=(",", ":"))
        return f"id: {position}\ndata: {data}\n\n".encode()


def prompt_text(body: dict[str, typing.Any], chat: bool) -> str:
    """Returns the prompt of a completion or chat completion as text."""
    if not chat:
        return str(body.get("prompt", ""))
    return "\n".join(
        f"{message.get('role')}: {message.get('content')}"
        for message in body.get("messages", ())
    )


def token(prompt: str, seed: int, position: int) -> str:
    """Returns the token at a position, which depends only on the arguments."""
    digest = hashlib.blake2b(
        f"{seed}\0{position}\0{prompt}".encode(), digest_size=4
    ).digest()
    word = _WORDS[digest[0] % len(_WORDS)]
    return f" {word}{int.from_bytes(digest[1:], 'big') % 1000}"


def expected_text(prompt: str, seed: int, tokens: int) -> str:
    """Returns the complete answer that an engine generates for a prompt."""
    return "".join(token(prompt, seed, i) for i in range(1, tokens + 1))
