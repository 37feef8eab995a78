"""A fleet behind proxies that stays fast with many connections on the machine."""

import contextlib
import os
import re
from pathlib import Path

from citrondock_standins.fleet import EVERY_SENDER, Fleet

_TABLE = Path("/proc/net/tcp")
_ROW = re.compile(
    r"^\s*\d+: 0100007F:(?P<port>[0-9A-F]{4}) (?:\S+\s+){7}(?P<inode>\d+)", re.M
)
_SOCKET = re.compile(r"socket:\[(\d+)\]")


class ProxiedFleet(Fleet):
    """Finds the senders of connections in bursts, by one pass over all sockets.

    Asking each process for its connections reads the table of sockets once for each,
    which takes seconds when a load leaves thousands of closed connections behind.
    """

    _senders: dict[int, str] | None = None

    def _sender_of(self, address: tuple[str, int]) -> str:
        _, port = address
        known = self._senders or {}
        if port not in known:
            self._senders = known = self._scan()
        # A port may be another router's the next time.
        return known.pop(port, EVERY_SENDER)

    def _scan(self) -> dict[int, str]:
        """Return the routers by the local ports of their connections."""
        owners = {
            inode: name
            for name, router in self.routers.items()
            for inode in _sockets_of(router.process.pid)
        }
        return {
            int(row["port"], 16): owners[row["inode"]]
            for row in _ROW.finditer(_TABLE.read_text())
            if row["inode"] in owners
        }


def _sockets_of(pid: int) -> list[str]:
    """Return the inodes of a process's sockets."""
    inodes = []
    with contextlib.suppress(OSError):
        for entry in os.scandir(f"/proc/{pid}/fd"):
            with contextlib.suppress(OSError):
                match = _SOCKET.match(os.readlink(entry.path))
                inodes += [match[1]] if match else []
    return inodes
