"""Abstract interfaces to the platform's services, and the immutable values that they return."""

import enum
from abc import ABC, abstractmethod

from msgspec import Struct


class Row(Struct, frozen=True):
    """A row of the table service. ``version`` is 0 when the row does not exist."""

    key: str
    version: int
    value: bytes


class MachineState(enum.Enum):
    """The state of a machine according to the machine list."""

    LIVE = "live"
    LEAVING = "leaving"
    GONE = "gone"


class MachineRole(enum.Enum):
    """The kind of process that runs on a machine."""

    ENGINE = "engine"
    APPLICATION = "application"
    DAEMON = "daemon"


class Machine(Struct, frozen=True):
    """An entry of the machine list.

    :param application: the name of the application that it serves, if that is its role.
    """

    name: str
    address: str
    zone: str
    cell: str
    role: MachineRole
    state: MachineState = MachineState.LIVE
    application: str = ""


class TableService(ABC):
    """A transactional table of versioned rows, written by compare-and-set."""

    @abstractmethod
    async def read(self, key: str) -> Row:
        """Return a row.

        :raises PlatformUnavailable: the service did not answer.
        """

    @abstractmethod
    async def write(self, key: str, base_version: int, value: bytes) -> Row:
        """Write a row if it is at ``base_version``; 0 creates it.

        :returns: the row as written.
        :raises RowConflict: the row is at another version.
        :raises PlatformUnavailable: not written; if ``outcome_unknown``, it may have been.
        """


class ObjectStore(ABC):
    """A store of named binary objects."""

    @abstractmethod
    async def get(self, name: str) -> bytes | None:
        """Return an object, or None if it does not exist.

        :raises PlatformUnavailable: the service did not answer.
        """

    @abstractmethod
    async def put(self, name: str, value: bytes) -> None:
        """Write an object.

        :raises PlatformUnavailable: the object may or may not have been written.
        """


class MachineList(ABC):
    """The platform's list of machines, which lags behind their actual state."""

    @abstractmethod
    async def machines(self, cell: str) -> tuple[Machine, ...]:
        """Return the machines of a cell.

        :raises PlatformUnavailable: the service did not answer.
        """
