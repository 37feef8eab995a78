"""Values at the two-year size, worked out from slopes, against their budgets."""

from collections.abc import Sequence

import attrs

from citrondock_bench import two_year
from citrondock_bench.capacity_document import CapacityDocument
from citrondock_bench.slope import Slope

COMMAND = "make capacity"
PERCENT = 100.0


@attrs.frozen(kw_only=True)
class Term:
    """One slope's part of a value: its growth from the reference size to ``size``.

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
class LineDefinition:
    """How one line of the page is worked out.

    Parameters
    ----------
    role, quantity, unit : str
        What it tells.
    budget : float
        Most that is allowed.
    terms : sequence of Term
        Added up.
    factor : float
        Multiplies the sum, for example by the count of nodes.
    mechanism : str
        What carries it.
    remedy : str
        What has to change when it does not fit.
    """

    role: str
    quantity: str
    unit: str
    budget: float
    terms: Sequence[Term]
    mechanism: str
    remedy: str
    factor: float = 1.0


@attrs.frozen(kw_only=True)
class CapacityLine:
    """One line with its value, or None where a slope was not measured."""

    definition: LineDefinition
    value: float | None
    formula: str

    @property
    def fits(self) -> bool:
        """Whether the value is measured and within its budget."""
        return self.value is not None and self.value <= self.definition.budget

    @property
    def margin_percent(self) -> float | None:
        """Part of the budget that is left."""
        if self.value is None:
            return None
        return PERCENT * (1 - self.value / self.definition.budget)


def _term_value(term: Term, slope: Slope) -> float:
    if term.reference is None:
        return max(0.0, slope.at(term.size))
    return max(0.0, slope.per_size * (term.size - term.reference))


def _term_formula(term: Term, slope: Slope) -> str:
    if term.reference is None:
        return f"{slope.intercept:.4g} + {slope.per_size:.4g} * {term.size:.4g}"
    return f"{slope.per_size:.4g} * ({term.size:.4g} - {term.reference:.4g})"


def work_out(definition: LineDefinition, document: CapacityDocument) -> CapacityLine:
    """Return a line with its value at the two-year size."""
    slopes = [document.find(term.slope) for term in definition.terms]
    if any(slope is None for slope in slopes):
        lacking = [
            term.slope
            for term, slope in zip(definition.terms, slopes, strict=True)
            if slope is None
        ]
        formula = "not measured: " + ", ".join(lacking)
        return CapacityLine(definition=definition, value=None, formula=formula)
    pairs = [
        (term, slope)
        for term, slope in zip(definition.terms, slopes, strict=True)
        if slope is not None
    ]
    total = sum(_term_value(term, slope) for term, slope in pairs)
    formula = " + ".join(_term_formula(term, slope) for term, slope in pairs)
    if definition.factor != 1.0:
        formula = f"{definition.factor:.4g} * ({formula})"
    return CapacityLine(
        definition=definition, value=definition.factor * total, formula=formula
    )


@attrs.frozen(kw_only=True)
class References:
    """Sizes that hold along the axes on which they do not vary."""

    node_count: int = 7
    account_count: int = 160
    requests_per_node_s: float = 4.0


def growth(figure: str, references: References) -> list[Term]:
    """Return the terms of a figure that was measured along all four axes.

    Parameters
    ----------
    figure : str
        First part of the slopes' names, for example ``"control_bytes"``.
    references : References
        Sizes at which the slope by nodes was measured.
    """
    return [
        Term(slope=f"{figure}_by_nodes", size=two_year.NODE_COUNT),
        Term(
            slope=f"{figure}_by_accounts",
            size=two_year.ACCOUNT_COUNT,
            reference=references.account_count,
        ),
        Term(
            slope=f"{figure}_by_requests",
            size=two_year.REQUESTS_PER_NODE_S,
            reference=references.requests_per_node_s,
        ),
        Term(
            slope=f"{figure}_by_changes",
            size=two_year.CHANGES_PER_S,
            reference=0.0,
        ),
    ]
