"""Interface to order model engines to load models and adapters or change role."""

import enum
from abc import ABC, abstractmethod
from collections.abc import Mapping

import attrs

from citrondock_core.configuration import Target
from citrondock_core.errors import CitrondockError


class EngineControlError(CitrondockError):
    """An engine gave no usable answer; it is unknown whether an order took effect."""


class OrderFencedError(EngineControlError):
    """The engine has seen a higher fencing token; the order had no effect."""


class OrderLimitedError(EngineControlError):
    """The weight store can't serve another load now; the order was not started."""


class EngineOrderKind(enum.Enum):
    """Kinds of orders to an engine."""

    LOAD_MODEL = "load_model"
    LOAD_ADAPTER = "load_adapter"
    SET_VERSION = "set_version"
    SET_ROLE = "set_role"

    @property
    def loads_weights(self) -> bool:
        """Whether the order makes the engine read from the weight store."""
        return self is not EngineOrderKind.SET_ROLE


@attrs.frozen(kw_only=True)
class EngineOrder:
    """An order to an engine.

    Parameters
    ----------
    kind : EngineOrderKind
        Kind of the order.
    name : str
        Name of the model, adapter or role.
    version : str
        Version of the model.
    """

    kind: EngineOrderKind
    name: str
    version: str = ""


@attrs.frozen(kw_only=True)
class EngineState:
    """State that an engine reports.

    Parameters
    ----------
    models : mapping of str to str
        Versions of the loaded models, by model name.
    adapters : frozenset of str
        Names of the loaded adapters.
    role : str
        Current role of the engine.
    loading : frozenset of str
        Names of the models and adapters being loaded.
    """

    models: Mapping[str, str] = attrs.field(factory=dict)
    adapters: frozenset[str] = frozenset()
    role: str = ""
    loading: frozenset[str] = frozenset()


class EngineControl(ABC):
    """Client for the control interface of engines."""

    @abstractmethod
    def state(self, target: Target, *, timeout_s: float) -> EngineState:
        """Return the state of an engine, or raise `EngineControlError`."""

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
        """Send an order once, without retries.

        Raises
        ------
        OrderFencedError
            The engine has already seen a higher fencing token.
        OrderLimitedError
            The engine can't load more now; the order was not started.
        EngineControlError
            It is unknown whether the order took effect.
        """
