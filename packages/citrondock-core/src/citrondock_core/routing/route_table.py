"""Route lookup, and the active configuration."""

from collections.abc import Iterable

import attrs

from citrondock_core.routing.route import Route, RoutingConfiguration


class RouteTable:
    """Finds routes by host and longest path prefix.

    Examples
    --------
    >>> RouteTable([]).match("a.example", "/x/y") is None
    True
    """

    def __init__(self, routes: Iterable[Route]) -> None:
        self._by_host: dict[str, dict[str, Route]] = {}
        for route in routes:
            self._by_host.setdefault(route.host, {})[route.path_prefix] = route

    def match(self, host: str, path: str) -> Route | None:
        """Return the route for a lower-case host and a path without query, or None."""
        by_prefix = self._by_host.get(host)
        if by_prefix is None:
            return None
        end = len(path)
        while (slash := path.rfind("/", 0, end)) >= 0:
            route = by_prefix.get(path[: slash + 1])
            if route is not None:
                return route
            end = slash
        return None


@attrs.frozen
class ActiveConfiguration:
    """A configuration with the lookup table of its routes."""

    configuration: RoutingConfiguration
    table: RouteTable


class ConfigurationHolder:
    """Holds the newest configuration; an older one never replaces it."""

    def __init__(self) -> None:
        self.active: ActiveConfiguration | None = None

    @property
    def version(self) -> int:
        """Version of the active configuration, or 0 before the first one."""
        return self.active.configuration.version if self.active else 0

    def activate_if_newer(self, configuration: RoutingConfiguration) -> bool:
        """Activate a configuration if its version is higher; return whether it is."""
        if configuration.version <= self.version:
            return False
        table = RouteTable(configuration.routes)
        self.active = ActiveConfiguration(configuration, table)
        return True
