"""Extrapolates measured slopes to the two-year size and compares with budgets."""

from collections.abc import Sequence

import attrs

from citrondock_bench import two_year
from citrondock_bench.capacity_document import CapacityDocument
from citrondock_bench.slope import Slope

PERCENT = 100.0


@attrs.frozen(kw_only=True)
class Term:
    """Contribution of one slope to an estimate.

    Parameters
    ----------
    slope : str
        Name of the slope.
    size : float
        Size to which the slope is extrapolated.
    reference : float or None
        Size that held on this axis while the first term's slope was measured: the
        term adds the growth from there to `size`. None for the first term, which
        adds its whole value at `size`.
    """

    slope: str
    size: float
    reference: float | None = None


@attrs.frozen(kw_only=True)
class Estimate:
    """An estimated value and the formula it was calculated with, as text."""

    value: float
    formula: str

    def times(self, factor: float) -> "Estimate":
        """Return the estimate multiplied by a factor."""
        return Estimate(
            value=factor * self.value, formula=f"{factor:.4g} * ({self.formula})"
        )


@attrs.frozen(kw_only=True)
class CapacityRow:
    """One table row of the capacity page: an estimate and its budget.

    Parameters
    ----------
    role, quantity, unit : str
        Role of the router, quantity that is estimated, and its unit.
    budget : float or None
        Upper limit; None if there is none for this quantity.
    estimate : Estimate or None
        Value at the two-year size; None where a slope was not measured.
    command : str
        Command that measures the quantity.
    mechanism : str
        Design that keeps the quantity low.
    remedy : str
        What would have to change if the estimate exceeds the budget.
    """

    role: str
    quantity: str
    unit: str
    budget: float | None
    estimate: Estimate | None
    command: str
    mechanism: str
    remedy: str = ""

    @property
    def fits(self) -> bool:
        """Whether the quantity was measured and is within its budget."""
        if self.estimate is None:
            return False
        return self.budget is None or self.estimate.value <= self.budget

    @property
    def margin_percent(self) -> float | None:
        """Unused part of the budget; negative if the estimate exceeds it."""
        if self.estimate is None or self.budget is None:
            return None
        return PERCENT * (1 - self.estimate.value / self.budget)


@attrs.frozen(kw_only=True)
class ReferenceSizes:
    """Sizes of the measured fleet on the axes that are not being varied."""

    node_count: int = 7
    account_count: int = 160
    requests_per_node_s: float = 4.0


REFERENCE_SIZES = ReferenceSizes()


def _last_median(slope: Slope) -> float:
    return slope.points[-1].figure.median


def _term_value(term: Term, slope: Slope) -> float:
    if term.reference is None:
        # A falling line says nothing about sizes beyond those measured, so the figure
        # at the largest measured size is used instead.
        return slope.at(term.size) if slope.per_size > 0 else _last_median(slope)
    return max(0.0, slope.per_size) * (term.size - term.reference)


def _term_formula(term: Term, slope: Slope) -> str:
    if term.reference is None and slope.per_size <= 0:
        return f"{_last_median(slope):.4g} (falls with size)"
    if term.reference is None:
        return f"{slope.intercept:.4g} + {slope.per_size:.4g} * {term.size:.4g}"
    growth = max(0.0, slope.per_size)
    return f"{growth:.4g} * ({term.size:.4g} - {term.reference:.4g})"


def sum_terms(document: CapacityDocument, terms: Sequence[Term]) -> Estimate | None:
    """Return the sum of the terms, or None if a slope was not measured."""
    value = 0.0
    formulas = []
    for term in terms:
        slope = document.find(term.slope)
        if slope is None:
            return None
        value += _term_value(term, slope)
        formulas.append(_term_formula(term, slope))
    return Estimate(value=value, formula=" + ".join(formulas))


def estimate_at_two_years(
    document: CapacityDocument,
    figure: str,
    *,
    requests_per_node_s: float = two_year.REQUESTS_PER_NODE_S,
) -> Estimate | None:
    """Extrapolate a figure to the two-year size along all four axes.

    The slope by nodes counts whole; the other axes add their growth from the
    reference sizes.

    Parameters
    ----------
    document : CapacityDocument
        Measured slopes.
    figure : str
        First part of the slopes' names, for example ``"control_bytes"``.
    requests_per_node_s : float
        Requests per node and second; 0 leaves out the cost of the data path.

    Returns
    -------
    Estimate or None
        None if a slope was not measured.
    """
    accounts = Term(
        slope=f"{figure}_by_accounts",
        size=two_year.ACCOUNT_COUNT,
        reference=REFERENCE_SIZES.account_count,
    )
    requests = Term(
        slope=f"{figure}_by_requests",
        size=requests_per_node_s,
        reference=REFERENCE_SIZES.requests_per_node_s,
    )
    changes = Term(
        slope=f"{figure}_by_changes", size=two_year.CHANGES_PER_S, reference=0.0
    )
    nodes = Term(slope=f"{figure}_by_nodes", size=two_year.NODE_COUNT)
    return sum_terms(document, [nodes, accounts, requests, changes])
