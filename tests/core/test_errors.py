from citrondock_core.errors import CitrondockError


class TestCitrondockError:
    def test_message_names_step_and_peer(self):
        error = CitrondockError("no answer", step="claim", peer="store")

        assert str(error) == "claim at store: no answer"
