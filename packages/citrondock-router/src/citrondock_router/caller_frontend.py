"""HTTP frontend for callers: admits requests and passes them to the runner."""

import copy
from collections.abc import Callable

from cheroot.server import HTTPRequest

from citrondock_core.request import RefusalReason, RequestRefusedError
from citrondock_router.admission import Admission, new_request_id
from citrondock_router.call import Call
from citrondock_router.call_runner import CallRunner
from citrondock_router.caller_connection import CallerConnection
from citrondock_router.caller_response import render_refusal
from citrondock_router.caller_server import CallerServer
from citrondock_router.log import log_event
from citrondock_router.refusal_log import RefusalLog
from citrondock_router.request_gatherer import GathererOptions
from citrondock_router.settings import CallerSettings


class CallerFrontend:
    """Serves callers: admits or refuses each request.

    Parameters
    ----------
    settings : CallerSettings
        Address, limits and timeouts.
    admission : Admission
        Turns requests into calls or refuses them.
    runner : CallRunner
        Runs the admitted calls.
    on_refused : callable
        Called with the reason of each refusal at or before admission.
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
        self._refusal_log = RefusalLog()
        self._server = CallerServer(
            host=settings.host,
            port=settings.port,
            handler=self._handle,
            refuse=self._refuse_unparsed,
            check_head=admission.check_head,
            check_capacity=admission.check_capacity,
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
        """Start serving and return the port."""
        return self._server.start_serving()

    def stop(self) -> None:
        """Stop accepting connections and requests."""
        self._server.stop_serving()

    def _handle(self, request: HTTPRequest, connection: CallerConnection) -> None:
        request_id = new_request_id()
        # The worker finishes its request when this method returns. Another thread
        # renders the response later, from a copy of the request.
        request_copy = copy.copy(request)
        request_copy.outheaders = []
        request.sent_headers = True
        request.close_connection = True
        connection.detach()
        try:
            call = self._admit(request_copy, connection, request_id)
        except RequestRefusedError as error:
            self._refuse(request_copy, connection, error, request_id)
            return
        self._runner.submit(call)

    def _admit(
        self, request: HTTPRequest, connection: CallerConnection, request_id: str
    ) -> Call:
        try:
            return self._admission.admit(request, connection, request_id)
        except Exception as error:
            if isinstance(error, RequestRefusedError):
                raise
            log_event(
                "admission_error",
                level="ERROR",
                request_id=request_id,
                error=type(error).__name__,
                detail=str(error),
            )
            raise RequestRefusedError(
                "internal error", step="admission", cause=RefusalReason.NOT_READY
            ) from error

    def _refuse_unparsed(
        self,
        request: HTTPRequest,
        connection: CallerConnection,
        error: RequestRefusedError,
    ) -> None:
        self._refuse(request, connection, error, new_request_id())

    def _refuse(
        self,
        request: HTTPRequest,
        connection: CallerConnection,
        error: RequestRefusedError,
        request_id: str,
    ) -> None:
        self._refusal_log.write(
            error, request_id=request_id, caller=connection.remote_addr
        )
        self._on_refused(error.cause)
        if not request.close_connection:
            request.close_connection = not _drain_body(request)
        data = render_refusal(request, error, request_id)
        keep_alive = not request.close_connection
        self._server.response_sender.send(connection, data, keep_alive=keep_alive)


def _drain_body(request: HTTPRequest) -> bool:
    """Read the rest of the body; return False if it has not all arrived."""
    if request.chunked_read:
        return False
    expected_bytes = getattr(request.rfile, "remaining", 0)
    if expected_bytes == 0:
        return True
    return len(request.rfile.read()) == expected_bytes
