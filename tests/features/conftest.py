import pytest


@pytest.fixture
def context(shared_context):
    """Begin and end each scenario on the fleet that the scenarios of a module share."""
    shared_context.begin()
    yield shared_context
    shared_context.end()
