"""Event loop that carries requests between clients and targets."""
