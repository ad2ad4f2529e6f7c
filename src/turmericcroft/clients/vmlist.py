"""Client of the platform's VM list."""

import collections
import dataclasses
import enum
import json
from urllib import parse as urls

import aiohttp
import cattrs

from turmericcroft import errors
from turmericcroft.clients import bounded
from turmericcroft.fleet import addresses
from turmericcroft.fleet import stored_records


class VmState(enum.Enum):
    """State of a VM in the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


class VmRole(enum.Enum):
    """Kind of backend server that a VM runs."""

    MODEL = "model"
    SERVICE = "service"


@dataclasses.dataclass(frozen=True)
class Vm:
    """The VM of a backend server.

    Attributes:
        name: Unique name of the backend server.
        role: Model engine or plain service.
        availability_zone: Availability zone of the VM.
        url: Base URL of the backend server.
        runs: Public names of the models or services that it runs now.
        state: Live or leaving.
        price_per_h: Price of the VM for an hour.
        slots: Number of requests that it can process concurrently.
        boot_id: Changes when the VM is replaced under the same name.
    """

    name: str
    role: VmRole
    availability_zone: str
    url: str
    runs: tuple[str, ...]
    state: VmState
    price_per_h: float
    slots: int
    boot_id: str


# Stops at the first fault of an entry.
_CONVERTER = cattrs.Converter(detailed_validation=False)
_FETCH_ERRORS = (aiohttp.ClientError, OSError, *errors.DECODING_FAULTS)
_MAX_BODY_BYTES = 8_388_608
_STATUS_OK = 200
_MAX_SLOTS = 1_000_000
_MAX_PRICE = 1e9


class VmList:
    """VM list client that owns its HTTP session.

    Attributes:
        skipped: Number of entries that could not be read, by cause.
    """

    def __init__(self, url: str, timeout_s: float) -> None:
        self.url = url.rstrip("/")
        self.timeout_s = timeout_s
        self.skipped: collections.Counter[str] = collections.Counter()
        self._session: aiohttp.ClientSession | None = None

    async def close(self) -> None:
        """Closes the connections."""
        if self._session is not None:
            await self._session.close()

    async def fetch(self) -> tuple[Vm, ...]:
        """Fetches the list, which lags behind the actual state of the VMs.

        Raises:
            errors.PlatformError: The list could not be fetched or parsed.
        """
        if self._session is None:
            self._session = aiohttp.ClientSession()
        timeout = aiohttp.ClientTimeout(total=self.timeout_s)
        try:
            async with self._session.get(
                f"{self.url}/vms", timeout=timeout
            ) as response:
                if response.status != _STATUS_OK:
                    raise errors.PlatformError(
                        "VM list: expected status 200, found "
                        f"{response.status:03}"
                    )
                body = await bounded.read_body(
                    response, _MAX_BODY_BYTES, errors.PlatformError
                )
                raw = json.loads(body)["vms"]
                return stored_records.parse_each(raw, _parse_vm, self.skipped)
        except _FETCH_ERRORS as error:
            raise errors.PlatformError(
                f"VM list: expected a list of VMs, found {error!r}"
            ) from error


def _parse_vm(raw: object) -> Vm:
    """Parses one entry; raises errors.PlatformError if it can't be used."""
    try:
        vm = _CONVERTER.structure(raw, Vm)
        address = urls.urlsplit(vm.url)
        text = "".join((vm.name, vm.availability_zone, vm.boot_id, *vm.runs))
        is_usable = (
            addresses.is_host(address.hostname or "")
            and (address.port is None or addresses.is_port(address.port))
            and 1 <= vm.slots <= _MAX_SLOTS
            and 0.0 <= vm.price_per_h <= _MAX_PRICE
            and text.isprintable()
        )
    except errors.DECODING_FAULTS as error:
        raise errors.PlatformError(f"a VM can't be read: {error!r}") from error
    if not is_usable:
        raise errors.PlatformError("a VM's values are out of bounds")
    return vm
