import pytest


@pytest.fixture
def scene(shared_scene):
    """Begin and end each scenario on the fleet that a module's scenarios share."""
    shared_scene.begin()
    yield shared_scene
    shared_scene.end()
