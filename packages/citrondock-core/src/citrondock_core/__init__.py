"""Aggregates of the The router process fleet, with no I/O and no clock of their own."""
