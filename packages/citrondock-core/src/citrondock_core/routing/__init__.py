"""Routing of plain and streamed HTTP requests: routes, targets, placement, retries."""
