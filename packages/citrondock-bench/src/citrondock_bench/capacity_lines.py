"""One line of the capacity page: a value at the two-year size and its budget."""

from collections.abc import Sequence

import attrs

from citrondock_bench import two_year
from citrondock_bench.capacity_document import CapacityDocument
from citrondock_bench.slope import Slope

PERCENT = 100.0


@attrs.frozen(kw_only=True)
class Term:
    """One slope's part of a value: its growth from a reference size to ``size``.

    Parameters
    ----------
    slope : str
        Name of the slope.
    size : float
        Two-year size.
    reference : float or None
        Size at which the first term was measured; None for the first term, which
        counts whole.
    """

    slope: str
    size: float
    reference: float | None = None


@attrs.frozen(kw_only=True)
class WorkedOut:
    """A value with the formula that gave it."""

    value: float
    formula: str

    def times(self, factor: float) -> "WorkedOut":
        """Return a multiple."""
        return WorkedOut(
            value=factor * self.value, formula=f"{factor:.4g} * ({self.formula})"
        )


@attrs.frozen(kw_only=True)
class CapacityLine:
    """One line of the page.

    Parameters
    ----------
    role, quantity, unit : str
        What it tells.
    budget : float or None
        Most that is allowed; None where the target names no budget.
    worked_out : WorkedOut or None
        Value at the two-year size; None where a slope was not measured.
    command : str
        What measured it.
    mechanism : str
        What carries it.
    remedy : str
        What has to change where it does not fit.
    """

    role: str
    quantity: str
    unit: str
    budget: float | None
    worked_out: WorkedOut | None
    command: str
    mechanism: str
    remedy: str = ""

    @property
    def fits(self) -> bool:
        """Whether the value is measured and within its budget."""
        if self.worked_out is None:
            return False
        return self.budget is None or self.worked_out.value <= self.budget

    @property
    def margin_percent(self) -> float | None:
        """Part of the budget that is left."""
        if self.worked_out is None or self.budget is None:
            return None
        return PERCENT * (1 - self.worked_out.value / self.budget)


@attrs.frozen(kw_only=True)
class References:
    """Sizes that hold along the axes on which they do not vary."""

    node_count: int = 7
    account_count: int = 160
    requests_per_node_s: float = 4.0


REFERENCES = References()


def _last_median(slope: Slope) -> float:
    return slope.points[-1].figure.median


def _term_value(term: Term, slope: Slope) -> float:
    if term.reference is None:
        # A falling line is no promise beyond the sizes that were measured.
        return slope.at(term.size) if slope.per_size > 0 else _last_median(slope)
    return max(0.0, slope.per_size) * (term.size - term.reference)


def _term_formula(term: Term, slope: Slope) -> str:
    if term.reference is None and slope.per_size <= 0:
        return f"{_last_median(slope):.4g} (falls with size)"
    if term.reference is None:
        return f"{slope.intercept:.4g} + {slope.per_size:.4g} * {term.size:.4g}"
    growth = max(0.0, slope.per_size)
    return f"{growth:.4g} * ({term.size:.4g} - {term.reference:.4g})"


def add_terms(document: CapacityDocument, terms: Sequence[Term]) -> WorkedOut | None:
    """Return the sum of the terms, or None where a slope was not measured."""
    value = 0.0
    formulas = []
    for term in terms:
        slope = document.find(term.slope)
        if slope is None:
            return None
        value += _term_value(term, slope)
        formulas.append(_term_formula(term, slope))
    return WorkedOut(value=value, formula=" + ".join(formulas))


def grown(
    document: CapacityDocument,
    figure: str,
    *,
    requests_per_node_s: float = two_year.REQUESTS_PER_NODE_S,
) -> WorkedOut | None:
    """Return a figure at the two-year size from its slopes along all four axes.

    Parameters
    ----------
    document : CapacityDocument
        Measured slopes.
    figure : str
        First part of the slopes' names, for example ``"control_bytes"``.
    requests_per_node_s : float
        Rate of requests; 0 leaves the data path out.
    """
    accounts = Term(
        slope=f"{figure}_by_accounts",
        size=two_year.ACCOUNT_COUNT,
        reference=REFERENCES.account_count,
    )
    requests = Term(
        slope=f"{figure}_by_requests",
        size=requests_per_node_s,
        reference=REFERENCES.requests_per_node_s,
    )
    changes = Term(
        slope=f"{figure}_by_changes", size=two_year.CHANGES_PER_S, reference=0.0
    )
    nodes = Term(slope=f"{figure}_by_nodes", size=two_year.NODE_COUNT)
    return add_terms(document, [nodes, accounts, requests, changes])
