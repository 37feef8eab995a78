"""Adapters to peers, the platform and targets."""
