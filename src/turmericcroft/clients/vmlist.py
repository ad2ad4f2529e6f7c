"""Client of the platform's VM list."""

import dataclasses
import enum
import typing

import aiohttp
import cattrs

from turmericcroft import errors


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


_CONVERTER = cattrs.Converter()
_FETCH_ERRORS = (
    aiohttp.ClientError,
    OSError,
    cattrs.BaseValidationError,
    KeyError,
    ValueError,
)


class VmList:
    """VM list client that owns its HTTP session."""

    def __init__(self, url: str, timeout_s: float) -> None:
        self.url = url.rstrip("/")
        self.timeout_s = timeout_s
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
                response.raise_for_status()
                raw: typing.Any = await response.json()
                return _CONVERTER.structure(raw["vms"], tuple[Vm, ...])
        except _FETCH_ERRORS as error:
            raise errors.PlatformError(
                f"VM list: expected a list of VMs, found {error!r}"
            ) from error
