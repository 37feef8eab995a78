"""Numbers in headers that are out of range cost nothing but themselves."""

import pytest

from citrondock_platform.headers import PlatformHeaderCodec
from citrondock_router.gateway.header_codec import RequestHead

LONG_NUMBER = b"9" * 6_000


class TestHeaders:
    def facts(self, **headers):
        pairs = [
            (name.replace("_", "-").encode(), value) for name, value in headers.items()
        ]
        head = RequestHead(method=b"POST", target=b"/a/", headers=pairs)
        return PlatformHeaderCodec().request_facts(head)

    @pytest.mark.parametrize("usage", [LONG_NUMBER, b"3000000000,1", b"-5,1", b"1,-1"])
    def test_token_counts_out_of_range_leave_no_prompt(self, usage):
        assert self.facts(Token_Usage=usage, Model=b"m").prompt is None

    def test_part_sizes_out_of_range_leave_no_prompt(self):
        prefix = b"ab:" + b"9" * 12
        assert self.facts(Token_Usage=b"5,1", Prefix_Hash=prefix).prompt is None

    @pytest.mark.parametrize("deadline", [b"1e999", b"nan", LONG_NUMBER])
    def test_a_deadline_that_is_no_finite_number_is_ignored(self, deadline):
        assert self.facts(Deadline_Ms=deadline).time_left_s is None
