"""Validation of a caller's request to a model."""

import dataclasses
import hashlib
import json
import typing

from turmericcroft import errors
from turmericcroft.intent import document
from turmericcroft.routing import ring

_CHARS_PER_TOKEN = 4
_DEFAULT_MAX_TOKENS = 256


@dataclasses.dataclass(frozen=True)
class ModelRequest:
    """A validated request.

    Attributes:
        request_id: Unique id, also returned to the caller.
        account: Client account.
        public_name: Model name with its adapter.
        chat: Whether it is a chat completion.
        stream: Whether the caller wants server-sent events.
        body: JSON body for the engine.
        affinity_key: Hash that selects the preferred server.
        fingerprint: Hash of account and body, for quarantine.
        priority: Scheduling priority; 1 is the highest.
        first_token_s: Target for the time to first token.
        between_tokens_s: Target for the time between tokens.
        prompt_tokens: Estimated length of the prompt in tokens.
    """

    request_id: str
    account: str
    public_name: str
    chat: bool
    stream: bool
    body: bytes
    affinity_key: int
    fingerprint: str
    priority: int
    first_token_s: float
    between_tokens_s: float
    prompt_tokens: int


def parse(
    raw: bytes,
    chat: bool,
    request_id: str,
    account: document.Account,
    configuration: document.Document,
) -> ModelRequest:
    """Validates a body against OpenAI's API and the configuration.

    Raises:
        errors.InvalidRequestRefusal: The body is malformed, or prompt and
            answer exceed the model's context.
        errors.UnknownModelRefusal: The account may not call such a model.
    """
    body = _parse_object(raw)
    prompt = _chat_prompt(body) if chat else _completion_prompt(body)
    max_tokens = _max_tokens(body)
    deployment = find_deployment(
        str(body.get("model", "")),
        document.Kind.MODEL,
        account.name,
        configuration,
    )
    prompt_tokens = len(prompt) // _CHARS_PER_TOKEN + 1
    if prompt_tokens + max_tokens > deployment.max_context_tokens:
        raise errors.InvalidRequestRefusal(
            f"expected at most {deployment.max_context_tokens} tokens of "
            f"prompt and answer, found about {prompt_tokens + max_tokens}"
        )
    body["max_tokens"] = max_tokens
    body.setdefault("seed", _seed(request_id))
    body["stream"], stream = True, bool(body.get("stream", False))
    encoded = json.dumps(body, separators=(",", ":")).encode()
    return ModelRequest(
        request_id=request_id,
        account=account.name,
        public_name=deployment.public_name,
        chat=chat,
        stream=stream,
        body=encoded,
        affinity_key=ring.affinity_key(
            account.name,
            deployment.key,
            prompt,
            configuration.policy.affinity_head_chars,
        ),
        fingerprint=fingerprint(account.name, body),
        priority=deployment.priority,
        first_token_s=deployment.first_token_ms / 1000.0,
        between_tokens_s=deployment.between_tokens_ms / 1000.0,
        prompt_tokens=prompt_tokens,
    )


def find_deployment(
    name: str,
    kind: document.Kind,
    account: str,
    configuration: document.Document,
) -> document.Deployment:
    """Finds the deployment of a model or service by its public name.

    Of several versions, the one with the lowest priority number is returned,
    and among equals the last by version. A deployment that only other
    accounts may call is reported like one that does not exist.

    Raises:
        errors.UnknownModelRefusal: The account may not call any deployment
            of this name.
    """
    found = [
        deployment
        for deployment in configuration.deployments.values()
        if deployment.public_name == name
        and deployment.kind is kind
        and account in deployment.accounts
    ]
    if not found:
        raise errors.UnknownModelRefusal(
            f"expected the name of a {kind.value} that this account may "
            f"call, found {name!r}"
        )
    found.sort(key=lambda deployment: deployment.version, reverse=True)
    return min(found, key=lambda deployment: deployment.priority)


def fingerprint(account: str, body: dict[str, typing.Any]) -> str:
    """Hashes a request so that copies of it are recognised.

    The seed is excluded, because the daemon sets it for each request, and so
    is whether the caller wants a stream.
    """
    canonical = {k: v for k, v in body.items() if k not in ("seed", "stream")}
    text = json.dumps([account, canonical], sort_keys=True)
    return hashlib.blake2b(text.encode(), digest_size=16).hexdigest()


def _parse_object(raw: bytes) -> dict[str, typing.Any]:
    try:
        body = json.loads(raw)
    except (ValueError, RecursionError) as error:
        raise errors.InvalidRequestRefusal(
            f"body: expected JSON, found {type(error).__name__}"
        ) from error
    if not isinstance(body, dict):
        raise errors.InvalidRequestRefusal(
            f"body: expected an object, found {type(body).__name__}"
        )
    if body.get("n", 1) != 1:
        raise errors.InvalidRequestRefusal("n: expected 1, found another")
    return body


def _completion_prompt(body: dict[str, typing.Any]) -> str:
    prompt = body.get("prompt")
    if not isinstance(prompt, str) or not prompt:
        raise errors.InvalidRequestRefusal(
            f"prompt: expected a non-empty text, found {type(prompt).__name__}"
        )
    return prompt


def _chat_prompt(body: dict[str, typing.Any]) -> str:
    messages = body.get("messages")
    if not isinstance(messages, list) or not messages:
        raise errors.InvalidRequestRefusal(
            "messages: expected a non-empty list, found "
            f"{type(messages).__name__}"
        )
    parts = []
    for index, message in enumerate(messages):
        if not isinstance(message, dict):
            raise errors.InvalidRequestRefusal(
                f"messages[{index}]: expected an object, found "
                f"{type(message).__name__}"
            )
        parts.append(f"{message.get('role')}: {_content(message)}")
    return "\n".join(parts)


def _content(message: dict[str, typing.Any]) -> str:
    content = message.get("content")
    if isinstance(content, list):
        return "".join(
            str(part.get("text", ""))
            for part in content
            if isinstance(part, dict)
        )
    return "" if content is None else str(content)


def _max_tokens(body: dict[str, typing.Any]) -> int:
    value = body.pop("max_completion_tokens", None)
    if value is None:
        value = body.get("max_tokens")
    if value is None:
        return _DEFAULT_MAX_TOKENS
    if type(value) is not int or value < 1:
        raise errors.InvalidRequestRefusal(
            f"max_tokens: expected a whole number above 0, found {value!r}"
        )
    return value


def _seed(request_id: str) -> int:
    digest = hashlib.blake2b(request_id.encode(), digest_size=4).digest()
    return int.from_bytes(digest, "big") >> 1
