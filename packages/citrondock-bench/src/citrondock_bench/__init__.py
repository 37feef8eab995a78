"""Load, experiment and capacity tools, and the demo fleet."""
