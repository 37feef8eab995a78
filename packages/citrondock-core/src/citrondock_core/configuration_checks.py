"""Checks that look across the parts of a configuration."""

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


def check_configuration(
    configuration: Configuration, document: LocatedValue, known_faults: Collection[str]
) -> list[Fault]:
    """Return the faults across the parts of a configuration.

    Parameters
    ----------
    configuration : Configuration
        What could be built of the text.
    document : LocatedValue
        The text, for the places and for names whose parts could not be built.
    known_faults : collection of str
        Paths that have a fault already; values there are defaults.
    """
    checks = _Checks(configuration, document, known_faults)
    return list(checks.run())


@attrs.frozen
class _Use:
    """A value that must be unique, with the place where it is used."""

    value: Hashable
    path: Path


class _Checks:
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
            yield from self._account(account)
        for pool in self._configuration.pools.values():
            yield from self._pool(pool)
        for service in self._configuration.services.values():
            yield from self._service(service)
        yield from self._names()
        yield from self._duplicates()
        yield from self._overlapping_paths()
        yield from self._cycles()

    def _account(self, account: ClientAccount) -> Iterator[Fault]:
        path = ("accounts", account.name)
        if account.weight > MAX_WEIGHT:
            yield self._out_of_range((*path, "weight"), f"{MAX_WEIGHT:g}")

    def _pool(self, pool: Pool) -> Iterator[Fault]:
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
            yield from self._target(target, (*path, "targets", target.name))

    def _target(self, target: Target, path: Path) -> Iterator[Fault]:
        if target.port > MAX_PORT:
            yield self._out_of_range((*path, "port"), str(MAX_PORT))
        if not _is_ip_number(target.host):
            yield self._fault(
                InvalidValueFault,
                (*path, "host"),
                f"{target.host!r} is not an IP number",
                'write it as in "10.0.0.1"',
            )
        if not target.availability_zone.strip():
            yield self._fault(
                InvalidValueFault,
                (*path, "availability_zone"),
                "is empty",
                "name the zone in which the target stands",
            )

    def _service(self, service: Service) -> Iterator[Fault]:
        path = ("services", service.name)
        if service.timeout_s > MAX_TIMEOUT_S:
            yield self._out_of_range((*path, "timeout_s"), f"{MAX_TIMEOUT_S:g}")
        yield from self._reference(service.pool, (*path, "pool"), "pools")
        for index, name in enumerate(service.depends_on):
            place = (*path, "depends_on", str(index))
            yield from self._reference(name, place, "services")
        pool = self._configuration.pools.get(service.pool)
        if pool is not None and self._sound((*path, "kind"), ("pools", pool.name)):
            yield from self._kinds(service, pool)
        yield from self._shape(service, path)

    def _reference(self, name: str, path: Path, section: str) -> Iterator[Fault]:
        part = self._document.get(section)
        known = [member.key for member in part.members] if part else []
        if name not in known and self._sound(path):
            yield self._fault(
                UnknownNameFault,
                path,
                f"{name!r} is not defined under {section!r}",
                suggest_name(name, known),
            )

    def _kinds(self, service: Service, pool: Pool) -> Iterator[Fault]:
        wanted = _POOL_KIND_OF[service.kind]
        if pool.kind is not wanted:
            yield self._fault(
                InvalidValueFault,
                ("services", service.name, "pool"),
                f"the pool {pool.name!r} is of kind {pool.kind.value!r}, "
                f"and a {service.kind.value} service needs {wanted.value!r}",
                "name another pool or change the kind",
            )
        yield from self._loaded(service, pool)

    def _loaded(self, service: Service, pool: Pool) -> Iterator[Fault]:
        """Check that the pool's engines are ordered to load what the service needs."""
        if not (pool.model and service.model) or service.kind is not ServiceKind.CHAT:
            return
        if service.model not in (pool.model, *pool.adapters):
            yield self._fault(
                InvalidValueFault,
                ("services", service.name, "model"),
                f"the engines of {pool.name!r} load no {service.model!r}",
                f"add it to pools.{pool.name}.adapters",
            )

    def _shape(self, service: Service, path: Path) -> Iterator[Fault]:
        if not self._sound((*path, "kind")):
            return
        needed, unused = ("model", "path")
        if service.kind is ServiceKind.PLAIN:
            needed, unused = unused, needed
        if not getattr(service, needed) and self._sound((*path, needed)):
            reason = f"a {service.kind.value} service needs it"
            remedy = f"add {needed!r} here"
            yield self._fault(MissingKeyFault, (*path, needed), reason, remedy)
        if getattr(service, unused):
            reason = f"a {service.kind.value} service has none"
            yield self._fault(InvalidValueFault, (*path, unused), reason, "remove it")
        if service.path and not _PATH.fullmatch(service.path):
            yield self._fault(
                InvalidValueFault,
                (*path, "path"),
                f"{service.path!r} is not a path prefix",
                'write it as in "/bookings", without a slash at the end',
            )

    def _names(self) -> Iterator[Fault]:
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
                    "is not a name",
                    "use letters, digits, '.', '_' and '-', "
                    f"at most {MAX_NAME_CHARACTERS}",
                )

    def _duplicates(self) -> Iterator[Fault]:
        pools = self._configuration.pools.values()
        services = self._configuration.services.values()
        targets = [(pool, target) for pool in pools for target in pool.targets]
        places = [("pools", pool.name, "targets", t.name) for pool, t in targets]
        names = [_Use(path[-1], path) for path in places]
        yield from self._repeated(names, "the target name")
        addresses = [
            _Use(f"{target.host}:{target.port}", path)
            for (_, target), path in zip(targets, places, strict=True)
        ]
        yield from self._repeated(addresses, "the address")
        for field in ("path", "model"):
            uses = [
                _Use(getattr(service, field), ("services", service.name, field))
                for service in services
                if getattr(service, field)
            ]
            yield from self._repeated(uses, f"the {field}")
        yield from self._repeated(self._key_uses(), "the key hash")

    def _key_uses(self) -> list[_Use]:
        return [
            _Use(
                f"{key_hash.salt}:{key_hash.digest[:8]}…",
                ("accounts", account.name, "key_hashes", str(index)),
            )
            for account in self._configuration.accounts.values()
            for index, key_hash in enumerate(account.key_hashes)
        ]

    def _repeated(self, uses: list[_Use], what: str) -> Iterator[Fault]:
        first_paths: dict[Hashable, Path] = {}
        for use in uses:
            first_path = first_paths.setdefault(use.value, use.path)
            if first_path is not use.path:
                yield self._fault(
                    DuplicateFault,
                    use.path,
                    f"{what} {use.value} is used by {'.'.join(first_path)} already",
                    "change or remove one of the two",
                )

    def _overlapping_paths(self) -> Iterator[Fault]:
        places = {
            service.path: ("services", service.name, "path")
            for service in self._configuration.services.values()
            if _PATH.fullmatch(service.path)
        }
        for path in [*places, CHAT_PATH]:
            for outer in _outer_paths(path):
                if outer in places or outer == CHAT_PATH:
                    yield self._overlap(places, outer, path)
        if CHAT_PATH in places:
            yield self._overlap(places, CHAT_PATH, CHAT_PATH)

    def _overlap(self, places: Mapping[str, Path], outer: str, inner: str) -> Fault:
        place = places.get(inner) or places[outer]
        other = outer if inner in places else inner
        return self._fault(
            DuplicateFault,
            place,
            f"the path overlaps with {other!r}",
            "choose paths of which none begins another",
        )

    def _cycles(self) -> Iterator[Fault]:
        services = self._configuration.services
        settled: set[str] = set()
        for name in services:
            cycle = _cycle_from(name, lambda n: _dependencies(services, n), settled)
            if cycle:
                yield self._fault(
                    DependencyCycleFault,
                    ("services", cycle[0], "depends_on"),
                    f"{' needs '.join(map(repr, cycle))}",
                    "remove one of these dependencies",
                )

    def _sound(self, *paths: Path) -> bool:
        return not any(".".join(path) in self._known_faults for path in paths)

    def _has_fault_below(self, path: Path) -> bool:
        prefix = ".".join(path)
        return any(known.startswith(prefix) for known in self._known_faults)

    def _out_of_range(self, path: Path, limit: str) -> Fault:
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


def _is_ip_number(host: str) -> bool:
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return False
    return True


def _outer_paths(path: str) -> list[str]:
    parts = path.split("/")
    return ["/".join(parts[:count]) for count in range(2, len(parts))]


def _dependencies(services: Mapping[str, Service], name: str) -> tuple[str, ...]:
    service = services.get(name)
    return service.depends_on if service is not None else ()


def _cycle_from(
    start: str, dependencies: Callable[[str], tuple[str, ...]], settled: set[str]
) -> list[str]:
    """Return the first cycle that can be reached, its first name twice."""
    trail: list[str] = []
    iterators: list[Iterator[str]] = []
    following: Iterator[str] = iter((start,))
    while True:
        name = next(following, None)
        if name is None:
            if not trail:
                return []
            settled.add(trail.pop())
            following = iterators.pop()
        elif name in trail:
            settled.update(trail)
            return [*trail[trail.index(name) :], name]
        elif name not in settled:
            trail.append(name)
            iterators.append(following)
            following = iter(dependencies(name))
