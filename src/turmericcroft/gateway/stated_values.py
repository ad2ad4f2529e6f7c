"""Parses values of headers in which clients and servers describe work."""

from turmericcroft.clients import header_values
from turmericcroft.gateway import facts


def parse_generation(
    model: bytes,
    token_usage: bytes | None,
    prompt_parts: bytes,
    length_hint: bytes | None,
) -> facts.Generation | None:
    """Parses a request to a model.

    Args:
        model: Name of the model.
        token_usage: Number of prompt tokens and maximum number of output
            tokens, separated by a comma; None if it is not stated.
        prompt_parts: Content id and number of tokens of each part.
        length_hint: The client's estimate of the output tokens.

    Returns:
        None if there are no two numbers of tokens. One that can't be read is
        not 0: the request would take nothing from its account's quota.

    Example:
        >>> parse_generation(b"m", b"1460,x", b"", None)
        >>> stated = parse_generation(b"m", b"1460,80", b"a1:800,b2:660", None)
        >>> [part.tokens for part in stated.parts]
        [800, 660]
    """
    prompt, _, output = (token_usage or b"").partition(b",")
    prompt_tokens = header_values.parse_int(prompt)
    output_tokens = header_values.parse_int(output)
    if prompt_tokens is None or output_tokens is None:
        return None
    entries = prompt_parts.split(b",")
    split_entries = [entry.strip().partition(b":") for entry in entries]
    return facts.Generation(
        model=model.decode("latin-1"),
        prompt_tokens=prompt_tokens,
        max_output_tokens=output_tokens,
        parts=tuple(
            facts.PromptPart(
                content_id.decode("latin-1"),
                header_values.parse_int(length) or 0,
            )
            for content_id, _, length in split_entries
            if content_id
        ),
        expected_output_tokens=header_values.parse_int(length_hint) or 0,
    )


def parse_load(value: bytes | None) -> facts.ServerLoad | None:
    """Parses the load that a server states: 3 or 4 numbers, by commas.

    They are the running and waiting requests, the slots and, on a shared VM,
    the time that work takes there, in hundredths of the usual.

    Example:
        >>> parse_load(b"3,0,8"), parse_load(b"3,0")
        (ServerLoad(running=3, waiting=0, slots=8, slowdown=0.0), None)
    """
    fields = [
        header_values.parse_int(field) for field in (value or b"").split(b",")
    ]
    numbers = [number for number in fields if number is not None]
    if len(numbers) != len(fields) or len(numbers) not in (3, 4):
        return None
    running, waiting, slots = numbers[:3]
    return facts.ServerLoad(running, waiting, slots, sum(numbers[3:]) / 100)
