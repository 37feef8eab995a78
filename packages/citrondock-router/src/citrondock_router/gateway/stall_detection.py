"""Detects targets that have stopped sending a response."""

import attrs

from citrondock_router.gateway.exchange import Exchange, ExchangeState


@attrs.frozen(kw_only=True)
class StallOptions:
    """Timeouts after which another target is looked for, if a request may run again.

    Parameters
    ----------
    first_byte_factor : float
        Timeout for the first byte of a response, as a multiple of the route's target
        for it.
    pause_factor : float
        Timeout between two parts of a response, as a multiple of the longest pause
        that the route counts as on time.
    min_timeout_s : float
        Lower bound of both timeouts.
    idle_target_s : float
        A target that has sent nothing to any request for this long is stalled.
    max_wait_s : float
        Timeout that applies to a prompt even if its target responds to others.
    """

    first_byte_factor: float = 2.0
    pause_factor: float = 3.5
    min_timeout_s: float = 0.35
    idle_target_s: float = 0.6
    max_wait_s: float = 2.0


def is_stalled(exchange: Exchange, options: StallOptions, *, now_s: float) -> bool:
    """Return whether a request has waited too long for its target's next bytes."""
    is_sent = exchange.state in (ExchangeState.SENT, ExchangeState.RECEIVING)
    if not is_sent or not exchange.route.kind.may_run_again:
        return False
    if exchange.is_waiting or now_s < exchange.may_search_from_s:
        return False
    is_receiving = exchange.state is ExchangeState.RECEIVING
    if is_receiving and exchange.is_client_slow:
        # Nothing is read from the target now.
        return False
    timeout_s = first_byte_timeout_s(exchange, options)
    if is_receiving:
        pause_s = options.pause_factor * exchange.route.max_pause_s
        timeout_s = max(pause_s, options.min_timeout_s)
    waited_s = now_s - exchange.last_data_at_s
    if waited_s < timeout_s:
        return False
    if exchange.facts.prompt is None or waited_s >= max(timeout_s, options.max_wait_s):
        return True
    # A busy engine is slow with long prompts but still sends data to other requests.
    load = exchange.choice.load if exchange.choice else None
    return load is not None and now_s - load.last_data_at_s >= options.idle_target_s


def first_byte_timeout_s(exchange: Exchange, options: StallOptions) -> float:
    """Return the time after which a request's target has sent too late a first byte."""
    timeout_s = options.first_byte_factor * exchange.route.first_answer_target_s
    return max(timeout_s, options.min_timeout_s)
