"""The callers' interface: admits requests and hands them to the runner."""

import copy
from collections.abc import Callable

from cheroot.server import HTTPRequest

from citrondock_core.request import RefusalReason, RequestRefusedError
from citrondock_router.admission import Admission, new_request_id
from citrondock_router.call_runner import CallRunner
from citrondock_router.caller_connection import CallerConnection
from citrondock_router.caller_response import render_refusal
from citrondock_router.caller_server import CallerServer
from citrondock_router.log import log_event
from citrondock_router.request_gatherer import GathererOptions
from citrondock_router.settings import CallerSettings


class CallerFront:
    """Serves callers on their port.

    Parameters
    ----------
    settings : CallerSettings
        Address and limits.
    admission : Admission
        Decides what is taken in.
    runner : CallRunner
        Gets what was taken in.
    on_refused : callable
        Told the reason of each refusal at admission.
    """

    def __init__(
        self,
        *,
        settings: CallerSettings,
        admission: Admission,
        runner: CallRunner,
        on_refused: Callable[[RefusalReason], None],
    ) -> None:
        self._admission = admission
        self._runner = runner
        self._on_refused = on_refused
        self._server = CallerServer(
            host=settings.host,
            port=settings.port,
            handler=self._handle,
            wants_body=admission.wants_body,
            options=GathererOptions(
                max_head_bytes=settings.max_head_bytes,
                max_body_bytes=settings.max_body_bytes,
                max_connections=settings.max_connections,
                head_timeout_s=settings.head_timeout_s,
                body_timeout_s=settings.body_timeout_s,
                idle_timeout_s=settings.idle_timeout_s,
            ),
            worker_count=settings.worker_count,
            tls_certificate_path=settings.tls_certificate_path,
            tls_key_path=settings.tls_key_path,
        )

    def start(self) -> int:
        """Serve from now on and return the port."""
        return self._server.start_serving()

    def stop(self) -> None:
        """Accept nothing more."""
        self._server.stop_serving()

    def _handle(self, request: HTTPRequest, connection: CallerConnection) -> None:
        request_id = new_request_id()
        # The worker is done with its request when this returns; the answer is rendered
        # later, by another thread, from a copy.
        answered = copy.copy(request)
        answered.outheaders = []
        request.sent_headers = True
        try:
            call = self._admission.admit(answered, connection, request_id)
        except RequestRefusedError as error:
            self._refuse(request, connection, error, request_id)
            return
        request.close_connection = True
        connection.detach()
        self._runner.submit(call)

    def _refuse(
        self,
        request: HTTPRequest,
        connection: CallerConnection,
        error: RequestRefusedError,
        request_id: str,
    ) -> None:
        log_event(
            "request_refused",
            request_id=request_id,
            cause=error.cause.value,
            step=error.step,
            ran=error.ran.value,
            caller=connection.remote_addr,
            detail=error.reason,
        )
        self._on_refused(error.cause)
        whole = _read_rest(request)
        request.close_connection |= not whole
        connection.wfile.write(render_refusal(request, error, request_id))
        request.chunked_write = False
        if not whole:
            connection.detach()
            self._server.gatherer.discard(connection)


def _read_rest(request: HTTPRequest) -> bool:
    """Read what is left of a body; whether all of it was there."""
    if request.chunked_read:
        return False
    expected_bytes = getattr(request.rfile, "remaining", 0)
    if expected_bytes == 0:
        return True
    return len(request.rfile.read()) == expected_bytes
