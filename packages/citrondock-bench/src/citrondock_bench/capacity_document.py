"""Results of a capacity run, stored as JSON under ``docs/capacity``."""

import json
import os
from pathlib import Path

import attrs
import cattrs
import psutil

from citrondock_bench.configuration_slopes import ConfigurationSlopes
from citrondock_bench.slope import Slope
from citrondock_bench.spread import Spread
from citrondock_bench.state_slopes import StateSlopes

BYTES_PER_GB = 1_000_000_000


@attrs.frozen(kw_only=True)
class Machine:
    """Machine on which the figures were measured."""

    core_count: int
    memory_gb: float

    @classmethod
    def here(cls) -> "Machine":
        """Return the machine that this process runs on."""
        memory = psutil.virtual_memory().total / BYTES_PER_GB
        return cls(core_count=os.cpu_count() or 1, memory_gb=round(memory, 1))


@attrs.frozen(kw_only=True)
class DataPathFigures:
    """Figures of ``make bench`` over several runs."""

    first_token_overhead_p95_ms: Spread
    pause_overhead_p95_ms: Spread
    tokens_per_s: Spread
    cpu_s_per_1000_tokens: Spread
    peak_memory_mb: Spread


@attrs.frozen(kw_only=True)
class CapacityDocument:
    """Results of a capacity run.

    Parameters
    ----------
    measured_on : str
        Date (UTC) in ISO format.
    is_trial : bool
        Whether other work ran on the machine.
    run_count : int
        Runs at each size.
    machine : Machine
        Machine of the run.
    slopes : list of Slope
        Measured slopes.
    data_path : DataPathFigures or None
        Figures of the data path; None if not measured.
    configuration : ConfigurationSlopes or None
        Cost of distributing the configuration; None if not measured.
    state : StateSlopes or None
        Cost of claims and membership; None if not measured.
    """

    measured_on: str
    is_trial: bool
    run_count: int
    machine: Machine
    slopes: list[Slope]
    data_path: DataPathFigures | None = None
    configuration: ConfigurationSlopes | None = None
    state: StateSlopes | None = None

    def find(self, name: str) -> Slope | None:
        """Return the slope with that name, or None if it was not measured."""
        return next((slope for slope in self.slopes if slope.name == name), None)

    def write(self, path: Path) -> None:
        """Write the document as JSON."""
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_text(json.dumps(cattrs.unstructure(self), indent=1) + "\n")

    @classmethod
    def read(cls, path: Path) -> "CapacityDocument":
        """Read a document that `write` wrote."""
        return cattrs.structure(json.loads(path.read_text()), cls)
