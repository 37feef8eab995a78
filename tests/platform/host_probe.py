"""Queries of the operating system: free ports and the signal masks of a process."""

import signal
import socket
from pathlib import Path

HOST = "127.0.0.1"


def is_port_free(port: int) -> bool:
    """Return whether a port of the loopback address can be bound."""
    with socket.socket() as sock:
        try:
            sock.bind((HOST, port))
        except OSError:
            return False
        return True


def ignores(pid: int, signal_number: signal.Signals) -> bool:
    """Return whether a process ignores a signal, according to ``/proc``."""
    return _is_in_mask(pid, "SigIgn", signal_number)


def handles_or_ignores(pid: int, signal_number: signal.Signals) -> bool:
    """Return whether a process handles or ignores a signal, according to ``/proc``."""
    return ignores(pid, signal_number) or _is_in_mask(pid, "SigCgt", signal_number)


def _is_in_mask(pid: int, mask_name: str, signal_number: signal.Signals) -> bool:
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        name, _, mask = line.partition(":")
        if name == mask_name:
            return bool(int(mask, 16) >> (signal_number - 1) & 1)
    return False
