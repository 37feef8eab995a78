"""Routing decisions for HTTP requests: routes, targets, placement and retries."""
