"""Client of the daemons that retries and reconnects as the protocol asks.

It streams completions with the OpenAI client, fetches the rest of an
interrupted stream from any daemon, and retries bookings under the same
idempotency key.
"""

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

_MAX_ATTEMPTS = 40
_RETRY_DELAY_S = 0.1
_RETRIED_REFUSALS = ("stopping", "answer_not_found", "answer_unreachable")


@dataclasses.dataclass(frozen=True)
class Outcome:
    """How a completion request ended.

    Attributes:
        request_id: ID of the request.
        text: Text of the answer, as far as it was received.
        is_complete: Whether all tokens were received.
        reconnects: Attempts that ended without a complete answer or a final
            refusal.
        refusal: Error code of the refusal; empty if there was none.
        first_token_s: Time to the first token; 0 if none was received.
        duration_s: Time until the request ended.
    """

    request_id: str
    text: str
    is_complete: bool
    reconnects: int
    refusal: str
    first_token_s: float
    duration_s: float


@dataclasses.dataclass(frozen=True)
class CompletionRequest:
    """A completion request.

    Attributes:
        model: Public name of the model.
        prompt: Text of the prompt.
        max_tokens: Number of tokens to generate.
        seed: Seed of the generated tokens.
    """

    model: str
    prompt: str
    max_tokens: int
    seed: int


class Caller:
    """Sends requests of one client account to several daemons in turn.

    Attributes:
        urls: Base URLs of the daemons' callers' ports.
        api_key: API key of the account.
    """

    def __init__(self, urls: list[str], api_key: str) -> None:
        self.urls = urls
        self.api_key = api_key
        self._daemon_indexes = itertools.cycle(range(len(urls)))
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

    async def complete(self, request: CompletionRequest) -> Outcome:
        """Streams a completion, retrying until it is complete or refused."""
        request_id = uuid.uuid4().hex
        loop = asyncio.get_running_loop()
        start_s = loop.time()
        texts: list[str] = []
        first_token_s = [0.0]
        reconnects = 0
        refusal = ""
        is_complete = False
        for attempt in range(_MAX_ATTEMPTS):
            try:
                if attempt == 0 or not texts:
                    stream = self._stream(request, request_id)
                else:
                    stream = self._reconnect(request_id, len(texts))
                async for text in stream:
                    if not texts:
                        first_token_s[0] = loop.time() - start_s
                    texts.append(text)
                is_complete = len(texts) >= request.max_tokens
                if is_complete:
                    break
            except openai.APIStatusError as error:
                refusal = _error_code(error.body)
                if refusal not in _RETRIED_REFUSALS:
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
            await asyncio.sleep(_RETRY_DELAY_S)
        return Outcome(
            request_id,
            "".join(texts),
            is_complete,
            reconnects,
            refusal,
            first_token_s[0],
            loop.time() - start_s,
        )

    async def book(self, service: str, reference: str, key: str) -> int:
        """Makes a booking at a plain service, with retries under the same key.

        Args:
            service: Public name of the service.
            reference: Reference of the booking.
            key: Idempotency key.

        Returns:
            HTTP status of the service's response, or of a refusal after which
            it is unknown whether the booking ran; 0 if all attempts failed.
        """
        for _ in range(_MAX_ATTEMPTS):
            url = self.urls[next(self._daemon_indexes)]
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
            await asyncio.sleep(_RETRY_DELAY_S)
        return 0

    async def _stream(
        self, request: CompletionRequest, request_id: str
    ) -> typing.AsyncIterator[str]:
        client = self._clients[next(self._daemon_indexes)]
        chunks = await client.completions.create(
            model=request.model,
            prompt=request.prompt,
            max_tokens=request.max_tokens,
            seed=request.seed,
            stream=True,
            extra_headers={"X-Request-Id": request_id},
        )
        async for chunk in chunks:
            if chunk.choices and chunk.choices[0].text:
                yield chunk.choices[0].text

    async def _reconnect(
        self, request_id: str, position: int
    ) -> typing.AsyncIterator[str]:
        url = self.urls[next(self._daemon_indexes)]
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


def _error_code(body: object) -> str:
    if isinstance(body, dict):
        return str(body.get("code", "unknown"))
    return "unknown"


def new_idempotency_key() -> str:
    """Returns a UUID version 7, as daemons refuse keys without a time stamp."""
    value = (time.time_ns() // 1_000_000) << 80
    value |= 0x7 << 76 | secrets.randbits(12) << 64
    value |= 0x2 << 62 | secrets.randbits(62)
    return str(uuid.UUID(int=value))
