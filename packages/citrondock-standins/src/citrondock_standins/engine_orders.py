"""Orders to an engine, such as loading a model, with optional fencing checks."""

from collections.abc import Mapping, Sequence

import attrs

ORDER_KINDS = ("load_model", "load_adapter", "set_version", "set_role")
LOAD_KINDS = ("load_model", "load_adapter", "set_version")


@attrs.frozen(kw_only=True)
class Order:
    """An order; ``name`` names the model, the adapter or the role."""

    kind: str = attrs.field(validator=attrs.validators.in_(ORDER_KINDS))
    name: str
    fencing_token: int = attrs.field(validator=attrs.validators.instance_of(int))
    version: str = ""
    order_id: str = ""
    holder: str = ""


@attrs.frozen(kw_only=True)
class OrderOutcome:
    """Response to an order, with the time at which the order takes effect."""

    order: Order
    status: int
    reason: str
    received_at_s: float
    done_at_s: float


class WeightStore:
    """Source of model weights, with a rate limit shared by all engines."""

    def __init__(self, *, loads_per_s: float) -> None:
        self._period_s = 1.0 / loads_per_s
        self._next_free_s = 0.0

    def try_start_load(self, *, now_s: float) -> bool:
        """Start a load unless the rate limit forbids it; return whether it started."""
        if now_s < self._next_free_s:
            return False
        self._next_free_s = now_s + self._period_s
        return True


class OrderHandler:
    """Receives orders and holds the resulting models, adapters and role."""

    def __init__(
        self,
        *,
        checks_fencing: bool,
        load_s: float,
        weights: WeightStore,
        models: Sequence[str] = (),
    ) -> None:
        self._checks_fencing = checks_fencing
        self._load_s = load_s
        self._weights = weights
        self._highest_token = 0
        self._role = "both"
        self._models = {name: "" for name in models}
        self._adapters: set[str] = set()
        self._log: list[OrderOutcome] = []
        self._pending: list[OrderOutcome] = []

    def receive(self, order: Order, *, now_s: float) -> OrderOutcome:
        """Accept or refuse an order; a load takes effect after its loading time."""
        status, reason = 200, "accepted"
        is_load = order.kind in LOAD_KINDS
        if self._checks_fencing and order.fencing_token < self._highest_token:
            status, reason = 409, f"fencing token {self._highest_token} was seen"
        elif is_load and not self._weights.try_start_load(now_s=now_s):
            status, reason = 429, "weight store rate limit"
        outcome = OrderOutcome(
            order=order,
            status=status,
            reason=reason,
            received_at_s=now_s,
            done_at_s=now_s + (self._load_s if is_load else 0.0),
        )
        self._log.append(outcome)
        if status == 200:
            self._highest_token = max(self._highest_token, order.fencing_token)
            self._pending.append(outcome)
        return outcome

    def serves(self, model: str, *, now_s: float) -> bool:
        """Whether a model or adapter is served; an engine without models serves all."""
        self._apply(now_s)
        return not self._models or model in self._models or model in self._adapters

    def state(self, *, now_s: float) -> Mapping[str, object]:
        """Return the role, what is loaded and all orders, as a JSON document."""
        self._apply(now_s)
        return {
            "role": self._role,
            "models": self._models,
            "adapters": sorted(self._adapters),
            "loading": [outcome.order.name for outcome in self._pending],
            "checks_fencing": self._checks_fencing,
            "highest_fencing_token": self._highest_token,
            "orders": [attrs.asdict(outcome) for outcome in self._log],
        }

    def _apply(self, now_s: float) -> None:
        done = [each for each in self._pending if each.done_at_s <= now_s]
        self._pending = [each for each in self._pending if each not in done]
        for outcome in sorted(done, key=lambda each: each.done_at_s):
            order = outcome.order
            if order.kind == "set_role":
                self._role = order.name
            elif order.kind == "load_adapter":
                self._adapters.add(order.name)
            else:
                self._models[order.name] = order.version
