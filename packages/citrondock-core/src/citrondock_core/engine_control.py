"""Orders to model engines, and the state that they report."""

import enum
from abc import ABC, abstractmethod
from collections.abc import Mapping

import attrs

from citrondock_core.configuration import Target
from citrondock_core.errors import CitrondockError


class EngineControlError(CitrondockError):
    """An engine gave no usable answer; an order may be in force or not."""


class OrderFencedError(EngineControlError):
    """The engine has seen a larger fencing token; the order took no effect."""


class OrderLimitedError(EngineControlError):
    """The weight store has no room for another load now; nothing was begun."""


class EngineOrderKind(enum.Enum):
    """What an engine is told to do."""

    LOAD_MODEL = "load_model"
    LOAD_ADAPTER = "load_adapter"
    SET_VERSION = "set_version"
    SET_ROLE = "set_role"

    @property
    def loads_weights(self) -> bool:
        """Whether the engine reads from the weight store."""
        return self is not EngineOrderKind.SET_ROLE


@attrs.frozen(kw_only=True)
class EngineOrder:
    """One order.

    Parameters
    ----------
    kind : EngineOrderKind
        What to do.
    name : str
        Model, adapter or role.
    version : str
        Version of the model.
    """

    kind: EngineOrderKind
    name: str
    version: str = ""


@attrs.frozen(kw_only=True)
class EngineState:
    """What an engine has loaded.

    Parameters
    ----------
    models : mapping of str to str
        Versions by model.
    adapters : frozenset of str
        Loaded adapters.
    role : str
        Role in which it serves.
    loading : frozenset of str
        Names of models and adapters being loaded.
    """

    models: Mapping[str, str] = attrs.field(factory=dict)
    adapters: frozenset[str] = frozenset()
    role: str = ""
    loading: frozenset[str] = frozenset()


class EngineControl(ABC):
    """Gives orders to engines and reads their state."""

    @abstractmethod
    def state(self, target: Target, *, timeout_s: float) -> EngineState:
        """Return the engine's state, or raise `EngineControlError`."""

    @abstractmethod
    def order(
        self,
        target: Target,
        order: EngineOrder,
        *,
        fencing_token: int,
        order_id: str,
        timeout_s: float,
    ) -> None:
        """Give one order once, without a retry.

        Raises
        ------
        OrderFencedError
            A later holder has given orders already.
        OrderLimitedError
            The load wasn't begun.
        EngineControlError
            It is not known whether the order is in force.
        """
