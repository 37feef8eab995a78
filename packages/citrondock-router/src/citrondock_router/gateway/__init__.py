"""Gateway process that carries requests between clients and targets."""
