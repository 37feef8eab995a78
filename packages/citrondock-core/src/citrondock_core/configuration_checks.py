"""Checks of a configuration as a whole: references, duplicates, ranges, cycles."""

import ipaddress
import re
from collections.abc import Callable, Collection, Hashable, Iterator, Mapping

import attrs

from citrondock_core.configuration import (
    ClientAccount,
    Configuration,
    Pool,
    PoolKind,
    Service,
    ServiceKind,
    Target,
)
from citrondock_core.faults import (
    DependencyCycleFault,
    DuplicateFault,
    Fault,
    InvalidValueFault,
    Location,
    MissingKeyFault,
    UnknownNameFault,
)
from citrondock_core.located_json import LocatedValue
from citrondock_core.structuring import suggest_name

CHAT_PATH = "/v1/chat/completions"
MAX_PORT = 65_535
MAX_WEIGHT = 1_000_000.0
MAX_TIMEOUT_S = 86_400.0
MAX_NAME_CHARACTERS = 64

_NAME = re.compile(rf"\w[\w.-]{{0,{MAX_NAME_CHARACTERS - 1}}}")
_PATH = re.compile(r"(/[A-Za-z0-9._~-]+)+")
_POOL_KIND_OF = {
    ServiceKind.CHAT: PoolKind.ENGINE,
    ServiceKind.PLAIN: PoolKind.APPLICATION,
}

Path = tuple[str, ...]
"""Keys that lead from the root of the document to a value."""


def check_configuration(
    configuration: Configuration, document: LocatedValue, known_faults: Collection[str]
) -> list[Fault]:
    """Return the faults that show only in the configuration as a whole.

    Parameters
    ----------
    configuration : Configuration
        What could be built from the text.
    document : LocatedValue
        The parsed text, for the locations of faults and for the names of entries
        that could not be built.
    known_faults : collection of str
        Dotted paths that have a fault already; the configuration holds default
        values there.
    """
    checker = _ConfigurationChecker(configuration, document, known_faults)
    return list(checker.run())


@attrs.frozen
class _UniqueValue:
    """A value that must be unique, with the path at which it is used."""

    value: Hashable
    path: Path


class _ConfigurationChecker:
    """Runs all checks over one configuration and yields their faults."""

    def __init__(
        self,
        configuration: Configuration,
        document: LocatedValue,
        known_faults: Collection[str],
    ) -> None:
        self._configuration = configuration
        self._document = document
        self._known_faults = known_faults

    def run(self) -> Iterator[Fault]:
        for account in self._configuration.accounts.values():
            yield from self._check_account(account)
        for pool in self._configuration.pools.values():
            yield from self._check_pool(pool)
        for service in self._configuration.services.values():
            yield from self._check_service(service)
        yield from self._check_names()
        yield from self._check_duplicates()
        yield from self._check_overlapping_paths()
        yield from self._check_cycles()

    def _check_account(self, account: ClientAccount) -> Iterator[Fault]:
        path = ("accounts", account.name)
        if account.weight > MAX_WEIGHT:
            yield self._too_large((*path, "weight"), f"{MAX_WEIGHT:g}")

    def _check_pool(self, pool: Pool) -> Iterator[Fault]:
        path = ("pools", pool.name)
        if not pool.targets and not self._has_fault_below((*path, "targets")):
            yield self._fault(
                InvalidValueFault, path, "has no targets", "add one or remove it"
            )
        if pool.kind is PoolKind.APPLICATION and (pool.model or pool.adapters):
            yield self._fault(
                InvalidValueFault,
                path,
                "names a model or adapters, but its kind is 'application'",
                "remove them or make it an engine pool",
            )
        for target in pool.targets:
            yield from self._check_target(target, (*path, "targets", target.name))

    def _check_target(self, target: Target, path: Path) -> Iterator[Fault]:
        if target.port > MAX_PORT:
            yield self._too_large((*path, "port"), str(MAX_PORT))
        if not _is_ip_address(target.host):
            yield self._fault(
                InvalidValueFault,
                (*path, "host"),
                f"{target.host!r} is not an IP address",
                'write it as in "10.0.0.1"',
            )
        if not target.availability_zone.strip():
            yield self._fault(
                InvalidValueFault,
                (*path, "availability_zone"),
                "is empty",
                "name the zone in which the target runs",
            )

    def _check_service(self, service: Service) -> Iterator[Fault]:
        path = ("services", service.name)
        if service.timeout_s > MAX_TIMEOUT_S:
            yield self._too_large((*path, "timeout_s"), f"{MAX_TIMEOUT_S:g}")
        yield from self._check_reference(service.pool, (*path, "pool"), "pools")
        for index, name in enumerate(service.depends_on):
            reference = (*path, "depends_on", str(index))
            yield from self._check_reference(name, reference, "services")
        pool = self._configuration.pools.get(service.pool)
        if pool is not None and self._has_no_fault(
            (*path, "kind"), ("pools", pool.name)
        ):
            yield from self._check_pool_kind(service, pool)
        yield from self._check_kind_fields(service, path)

    def _check_reference(self, name: str, path: Path, section: str) -> Iterator[Fault]:
        part = self._document.get(section)
        known = [member.key for member in part.members] if part else []
        if name not in known and self._has_no_fault(path):
            yield self._fault(
                UnknownNameFault,
                path,
                f"{name!r} is not defined under {section!r}",
                suggest_name(name, known),
            )

    def _check_pool_kind(self, service: Service, pool: Pool) -> Iterator[Fault]:
        required = _POOL_KIND_OF[service.kind]
        if pool.kind is not required:
            yield self._fault(
                InvalidValueFault,
                ("services", service.name, "pool"),
                f"the pool {pool.name!r} is of kind {pool.kind.value!r}, "
                f"and a {service.kind.value} service needs {required.value!r}",
                "name another pool or change the kind",
            )
        yield from self._check_model_loaded(service, pool)

    def _check_model_loaded(self, service: Service, pool: Pool) -> Iterator[Fault]:
        """Check that the pool's engines are to load the model that the service uses."""
        if not (pool.model and service.model) or service.kind is not ServiceKind.CHAT:
            return
        if service.model not in (pool.model, *pool.adapters):
            yield self._fault(
                InvalidValueFault,
                ("services", service.name, "model"),
                f"the engines of {pool.name!r} do not load {service.model!r}",
                f"add it to pools.{pool.name}.adapters",
            )

    def _check_kind_fields(self, service: Service, path: Path) -> Iterator[Fault]:
        if not self._has_no_fault((*path, "kind")):
            return
        required, unused = ("model", "path")
        if service.kind is ServiceKind.PLAIN:
            required, unused = unused, required
        if not getattr(service, required) and self._has_no_fault((*path, required)):
            reason = f"is required for a {service.kind.value} service"
            remedy = f"add {required!r} here"
            yield self._fault(MissingKeyFault, (*path, required), reason, remedy)
        if getattr(service, unused):
            reason = f"is not allowed for a {service.kind.value} service"
            yield self._fault(InvalidValueFault, (*path, unused), reason, "remove it")
        if service.path and not _PATH.fullmatch(service.path):
            yield self._fault(
                InvalidValueFault,
                (*path, "path"),
                f"{service.path!r} is not a path prefix",
                'write it as in "/bookings", without a slash at the end',
            )

    def _check_names(self) -> Iterator[Fault]:
        paths: list[Path] = []
        for section in ("accounts", "pools", "services"):
            part = self._document.get(section)
            paths += [(section, member.key) for member in part.members] if part else []
        for pool in self._configuration.pools.values():
            paths += [("pools", pool.name, "targets", t.name) for t in pool.targets]
        for path in paths:
            if path[-1].strip() and not _NAME.fullmatch(path[-1]):
                yield self._fault(
                    InvalidValueFault,
                    path,
                    "is not a valid name",
                    "use letters, digits, '.', '_' and '-', "
                    f"at most {MAX_NAME_CHARACTERS}",
                )

    def _check_duplicates(self) -> Iterator[Fault]:
        pools = self._configuration.pools.values()
        services = self._configuration.services.values()
        targets = [(pool, target) for pool in pools for target in pool.targets]
        document_paths = [
            ("pools", pool.name, "targets", t.name) for pool, t in targets
        ]
        names = [_UniqueValue(path[-1], path) for path in document_paths]
        yield from self._find_repeated(names, "the target name")
        addresses = [
            _UniqueValue(f"{target.host}:{target.port}", path)
            for (_, target), path in zip(targets, document_paths, strict=True)
        ]
        yield from self._find_repeated(addresses, "the address")
        for field in ("path", "model"):
            field_values = [
                _UniqueValue(getattr(service, field), ("services", service.name, field))
                for service in services
                if getattr(service, field)
            ]
            yield from self._find_repeated(field_values, f"the {field}")
        yield from self._find_repeated(self._key_hash_values(), "the key hash")

    def _key_hash_values(self) -> list[_UniqueValue]:
        return [
            _UniqueValue(
                f"{key_hash.salt}:{key_hash.digest[:8]}…",
                ("accounts", account.name, "key_hashes", str(index)),
            )
            for account in self._configuration.accounts.values()
            for index, key_hash in enumerate(account.key_hashes)
        ]

    def _find_repeated(
        self, values: list[_UniqueValue], description: str
    ) -> Iterator[Fault]:
        first_paths: dict[Hashable, Path] = {}
        for unique in values:
            first_path = first_paths.setdefault(unique.value, unique.path)
            if first_path is not unique.path:
                yield self._fault(
                    DuplicateFault,
                    unique.path,
                    f"{description} {unique.value} is used by "
                    f"{'.'.join(first_path)} already",
                    "change or remove one of the two",
                )

    def _check_overlapping_paths(self) -> Iterator[Fault]:
        document_paths = {
            service.path: ("services", service.name, "path")
            for service in self._configuration.services.values()
            if _PATH.fullmatch(service.path)
        }
        for path in [*document_paths, CHAT_PATH]:
            for parent in _parent_paths(path):
                if parent in document_paths or parent == CHAT_PATH:
                    yield self._overlap_fault(document_paths, parent, path)
        if CHAT_PATH in document_paths:
            yield self._overlap_fault(document_paths, CHAT_PATH, CHAT_PATH)

    def _overlap_fault(
        self, document_paths: Mapping[str, Path], parent: str, path: str
    ) -> Fault:
        document_path = document_paths.get(path) or document_paths[parent]
        other = parent if path in document_paths else path
        return self._fault(
            DuplicateFault,
            document_path,
            f"the path overlaps with {other!r}",
            "choose paths of which none is a prefix of another",
        )

    def _check_cycles(self) -> Iterator[Fault]:
        services = self._configuration.services
        explored: set[str] = set()
        for name in services:
            cycle = _find_cycle(name, lambda n: _dependencies(services, n), explored)
            if cycle:
                yield self._fault(
                    DependencyCycleFault,
                    ("services", cycle[0], "depends_on"),
                    f"{' needs '.join(map(repr, cycle))}",
                    "remove one of these dependencies",
                )

    def _has_no_fault(self, *paths: Path) -> bool:
        return not any(".".join(path) in self._known_faults for path in paths)

    def _has_fault_below(self, path: Path) -> bool:
        prefix = ".".join(path)
        return any(known.startswith(prefix) for known in self._known_faults)

    def _too_large(self, path: Path, limit: str) -> Fault:
        remedy = f"write at most {limit}"
        return self._fault(InvalidValueFault, path, "is too large", remedy)

    def _fault(self, cls: type[Fault], path: Path, reason: str, remedy: str) -> Fault:
        return cls(
            reason, location=self._locate(path), path=".".join(path), remedy=remedy
        )

    def _locate(self, path: Path) -> Location:
        value = self._document
        for name in path:
            child = value.get(name)
            if child is None and name.isdecimal() and int(name) < len(value.items):
                child = value.items[int(name)]
            if child is None:
                break
            value = child
        return value.location


def _is_ip_address(host: str) -> bool:
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return False
    return True


def _parent_paths(path: str) -> list[str]:
    parts = path.split("/")
    return ["/".join(parts[:count]) for count in range(2, len(parts))]


def _dependencies(services: Mapping[str, Service], name: str) -> tuple[str, ...]:
    service = services.get(name)
    return service.depends_on if service is not None else ()


def _find_cycle(
    start: str, dependencies: Callable[[str], tuple[str, ...]], explored: set[str]
) -> list[str]:
    """Return the first cycle reachable from ``start``, or an empty list.

    The cycle begins and ends with the same name. The search is depth-first; names in
    ``explored`` are skipped, and those that it has explored are added.
    """
    path: list[str] = []
    iterators: list[Iterator[str]] = []
    remaining: Iterator[str] = iter((start,))
    while True:
        name = next(remaining, None)
        if name is None:
            if not path:
                return []
            explored.add(path.pop())
            remaining = iterators.pop()
        elif name in path:
            explored.update(path)
            return [*path[path.index(name) :], name]
        elif name not in explored:
            path.append(name)
            iterators.append(remaining)
            remaining = iter(dependencies(name))
