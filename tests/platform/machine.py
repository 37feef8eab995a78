"""What tests ask the machine: free ports and how a process treats signals."""

import signal
import socket
from pathlib import Path

HOST = "127.0.0.1"


def is_free(port: int) -> bool:
    """Return whether a port of the loopback address can be bound."""
    with socket.socket() as sock:
        try:
            sock.bind((HOST, port))
        except OSError:
            return False
        return True


def ignores(pid: int, number: signal.Signals) -> bool:
    """Return whether a process ignores a signal, as the kernel says."""
    return _is_in_mask(pid, "SigIgn", number)


def handles_or_ignores(pid: int, number: signal.Signals) -> bool:
    """Return whether a process handles or ignores a signal, as the kernel says."""
    return ignores(pid, number) or _is_in_mask(pid, "SigCgt", number)


def _is_in_mask(pid: int, mask_name: str, number: signal.Signals) -> bool:
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        name, _, mask = line.partition(":")
        if name == mask_name:
            return bool(int(mask, 16) >> (number - 1) & 1)
    return False
