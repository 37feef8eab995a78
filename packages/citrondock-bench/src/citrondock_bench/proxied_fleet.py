"""A proxied fleet that finds the sender of a connection fast, also among thousands."""

import contextlib
import os
import re
from pathlib import Path

from citrondock_standins.fleet import EVERY_SENDER, Fleet

_TCP_TABLE = Path("/proc/net/tcp")
_TCP_ROW = re.compile(
    r"^\s*\d+: 0100007F:(?P<port>[0-9A-F]{4}) (?:\S+\s+){7}(?P<inode>\d+)", re.M
)
_SOCKET_LINK = re.compile(r"socket:\[(\d+)\]")


class ProxiedFleet(Fleet):
    """A fleet that looks up the senders of connections by one scan of all sockets.

    Listing the connections of each process would read the system's socket table once
    per process, which takes seconds after a load has left thousands of closed
    connections in it.
    """

    _senders: dict[int, str] | None = None

    def _sender_of(self, address: tuple[str, int]) -> str:
        _, port = address
        known = self._senders or {}
        if port not in known:
            self._senders = known = self._scan_connections()
        # Forget the port: another router may reuse it later.
        return known.pop(port, EVERY_SENDER)

    def _scan_connections(self) -> dict[int, str]:
        """Return the name of the owning router for each local port in use."""
        owners = {
            inode: name
            for name, router in self.routers.items()
            for inode in _socket_inodes(router.process.pid)
        }
        return {
            int(row["port"], 16): owners[row["inode"]]
            for row in _TCP_ROW.finditer(_TCP_TABLE.read_text())
            if row["inode"] in owners
        }


def _socket_inodes(pid: int) -> list[str]:
    """Return the inodes of the sockets that a process holds."""
    inodes = []
    with contextlib.suppress(OSError):
        for entry in os.scandir(f"/proc/{pid}/fd"):
            with contextlib.suppress(OSError):
                match = _SOCKET_LINK.match(os.readlink(entry.path))
                inodes += [match[1]] if match else []
    return inodes
