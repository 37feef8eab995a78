"""Orders needed to bring an engine to its configured state."""

from collections.abc import Sequence

from citrondock_core.configuration import Pool
from citrondock_core.engine_control import EngineOrder, EngineOrderKind, EngineState


def missing_orders(pool: Pool, state: EngineState) -> Sequence[EngineOrder]:
    """Return the orders that bring an engine from its actual to the desired state.

    Parameters
    ----------
    pool : Pool
        Desired model, version, adapters and role; empty fields are ignored.
    state : EngineState
        State that the engine reports; what it is loading is not ordered again.

    Examples
    --------
    >>> pool = Pool(name="p", model="plume", adapters=("tags",))
    >>> [order.name for order in missing_orders(pool, EngineState())]
    ['plume', 'tags']
    """
    orders: list[EngineOrder] = []
    if pool.model and pool.model not in state.loading:
        orders += _model_orders(pool, state)
    orders += [
        EngineOrder(kind=EngineOrderKind.LOAD_ADAPTER, name=adapter)
        for adapter in pool.adapters
        if adapter not in state.adapters and adapter not in state.loading
    ]
    if pool.role and pool.role not in (state.role, *state.loading):
        orders.append(EngineOrder(kind=EngineOrderKind.SET_ROLE, name=pool.role))
    return orders


def _model_orders(pool: Pool, state: EngineState) -> Sequence[EngineOrder]:
    loaded = state.models.get(pool.model)
    if loaded is None:
        kind = EngineOrderKind.LOAD_MODEL
    elif pool.model_version and loaded != pool.model_version:
        kind = EngineOrderKind.SET_VERSION
    else:
        return []
    return [EngineOrder(kind=kind, name=pool.model, version=pool.model_version)]
