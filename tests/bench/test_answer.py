import json

from citrondock_bench.answer import ChatAnswer, Outcome, read_refusal
from citrondock_bench.http_call import HttpResponse


def event(content=None, *, request_id="r1", usage=None):
    message = {"id": request_id, "choices": []}
    if content is not None:
        message["choices"] = [{"delta": {"content": content}}]
    if usage:
        message["usage"] = usage
    return f"data: {json.dumps(message)}\n\n".encode()


USAGE = {"prompt_tokens": 3, "completion_tokens": 2}
END = b"data: [DONE]\n\n"


def check_answer(data, *, complete=True, piece_bytes=7):
    answer = ChatAnswer(lambda: "a b")
    for start in range(0, len(data), piece_bytes):
        answer.feed(data[start : start + piece_bytes])
    head = HttpResponse(status=200, headers={"x-request-id": "r1"}, complete=complete)
    return answer.check(head)


class TestChatAnswer:
    def test_complete_answer_is_whole(self):
        data = event("a ") + event("b") + event(usage=USAGE)
        assert check_answer(data + END).outcome is Outcome.WHOLE

    def test_answer_without_end_marker_is_cut(self):
        assert check_answer(event("a") + event(usage=USAGE)).outcome is Outcome.CUT

    def test_answer_with_incomplete_framing_is_cut(self):
        data = event("a b") + event(usage=USAGE) + END
        assert check_answer(data, complete=False).outcome is Outcome.CUT

    def test_answer_with_id_of_another_request_is_wrong(self):
        data = event("a b", request_id="r2") + event(usage=USAGE) + END
        assert check_answer(data).outcome is Outcome.WRONG

    def test_answer_with_unexpected_text_is_wrong(self):
        data = event("a ") + event(usage=USAGE) + END
        assert check_answer(data).outcome is Outcome.WRONG

    def test_data_after_end_marker_is_wrong(self):
        data = event("a b") + event(usage=USAGE) + END + event("late")
        assert check_answer(data).outcome is Outcome.WRONG

    def test_error_event_sets_the_error(self):
        data = event("a") + b'data: {"error": {"reason": "target_failed"}}\n\n'
        assert check_answer(data).error == "error event: target_failed"


class TestReadRefusal:
    def test_body_without_refusal_is_named_after_the_status(self):
        assert read_refusal(502, b"<html>").reason == "untyped_502"
