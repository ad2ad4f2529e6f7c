"""A caller that follows the protocol: OpenAI client, reconnect, retry."""

import asyncio
import dataclasses
import itertools
import json
import secrets
import time
import typing
import uuid

import aiohttp
import httpx2
import openai

_MAX_TRIES = 40
_RETRY_PAUSE_S = 0.1


@dataclasses.dataclass(frozen=True)
class Outcome:
    """How a request ended.

    Attributes:
        request_id: Its id.
        text: The answer.
        whole: Whether the end of the answer came.
        reconnects: Connections lost on the way.
        refusal: Code of the refusal, if it was refused.
        first_token_s: Time to the first token.
        took_s: Time to the end.
    """

    request_id: str
    text: str
    whole: bool
    reconnects: int
    refusal: str
    first_token_s: float
    took_s: float


@dataclasses.dataclass(frozen=True)
class Ask:
    """A request to send.

    Attributes:
        model: Model name.
        prompt: Prompt.
        max_tokens: Tokens wanted.
        seed: Seed of the answer.
    """

    model: str
    prompt: str
    max_tokens: int
    seed: int


class Caller:
    """Sends requests of one client account to any of several daemons."""

    def __init__(self, urls: list[str], api_key: str) -> None:
        self.urls = urls
        self.api_key = api_key
        self._turn = itertools.cycle(range(len(urls)))
        self._clients = [
            openai.AsyncOpenAI(
                base_url=f"{url}/v1",
                api_key=api_key,
                max_retries=0,
                timeout=60.0,
            )
            for url in urls
        ]
        self._session = aiohttp.ClientSession(
            headers={"Authorization": f"Bearer {api_key}"}
        )

    async def close(self) -> None:
        """Closes all connections."""
        for client in self._clients:
            await client.close()
        await self._session.close()

    async def complete(self, ask: Ask) -> Outcome:
        """Streams a completion and follows it to its end."""
        request_id = uuid.uuid4().hex
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        texts: list[str] = []
        first_s = [0.0]
        reconnects = 0
        refusal = ""
        whole = False
        for attempt in range(_MAX_TRIES):
            try:
                if attempt == 0 or not texts:
                    stream = self._stream(ask, request_id)
                else:
                    stream = self._reconnect(request_id, len(texts))
                async for text in stream:
                    if not texts:
                        first_s[0] = loop.time() - began_s
                    texts.append(text)
                whole = len(texts) >= ask.max_tokens
                if whole:
                    break
            except openai.APIStatusError as error:
                refusal = _code(error.body)
                if refusal not in ("stopping", "answer_not_found"):
                    break
                refusal = ""
            except (
                openai.APIConnectionError,
                aiohttp.ClientError,
                httpx2.HTTPError,
                OSError,
            ):
                pass
            reconnects += 1
            await asyncio.sleep(_RETRY_PAUSE_S)
        return Outcome(
            request_id,
            "".join(texts),
            whole,
            reconnects,
            refusal,
            first_s[0],
            loop.time() - began_s,
        )

    async def book(self, service: str, reference: str, key: str) -> int:
        """Books through a plain service; returns the HTTP status."""
        for _ in range(_MAX_TRIES):
            url = self.urls[next(self._turn)]
            try:
                async with self._session.post(
                    f"{url}/v1/services/{service}/bookings/{reference}",
                    json={"reference": reference},
                    headers={"Idempotency-Key": key},
                ) as response:
                    body = await response.json()
                    refused = isinstance(body.get("error"), dict)
                    if not refused or body["error"]["ran"] == "unknown":
                        return response.status
            except (aiohttp.ClientError, OSError):
                pass
            await asyncio.sleep(_RETRY_PAUSE_S)
        return 0

    async def _stream(
        self, ask: Ask, request_id: str
    ) -> typing.AsyncIterator[str]:
        client = self._clients[next(self._turn)]
        chunks = await client.completions.create(
            model=ask.model,
            prompt=ask.prompt,
            max_tokens=ask.max_tokens,
            seed=ask.seed,
            stream=True,
            extra_headers={"X-Request-Id": request_id},
        )
        async for chunk in chunks:
            if chunk.choices and chunk.choices[0].text:
                yield chunk.choices[0].text

    async def _reconnect(
        self, request_id: str, position: int
    ) -> typing.AsyncIterator[str]:
        url = self.urls[next(self._turn)]
        async with self._session.get(
            f"{url}/v1/answers/{request_id}",
            headers={"Last-Event-ID": str(position)},
        ) as response:
            if response.status != 200:
                raise aiohttp.ClientPayloadError(await response.text())
            async for line in response.content:
                if not line.startswith(b"data: {"):
                    continue
                choices = json.loads(line[len(b"data: ") :]).get("choices")
                if choices and choices[0].get("text"):
                    yield choices[0]["text"]


def _code(body: object) -> str:
    if isinstance(body, dict):
        return str(body.get("code", "unknown"))
    return "unknown"


def new_idempotency_key() -> str:
    """Makes a UUID version 7, which carries its time."""
    value = (time.time_ns() // 1_000_000) << 80
    value |= 0x7 << 76 | secrets.randbits(12) << 64
    value |= 0x2 << 62 | secrets.randbits(62)
    return str(uuid.UUID(int=value))
