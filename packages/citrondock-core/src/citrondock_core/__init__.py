"""Aggregates of the router fleet, with no I/O and no clock of their own."""
