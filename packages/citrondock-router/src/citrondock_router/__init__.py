"""The router process."""
