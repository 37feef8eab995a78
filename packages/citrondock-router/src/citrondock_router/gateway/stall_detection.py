"""When a target is taken for silent."""

import attrs

from citrondock_router.gateway.exchange import Exchange, ExchangeState


@attrs.frozen(kw_only=True)
class StallOptions:
    """Silences after which a request that may run again goes elsewhere.

    Parameters
    ----------
    first_answer_targets : float
        Before the first bytes, as a multiple of the time for the first answer.
    pauses : float
        Within an answer, as a multiple of the longest pause that is on time.
    min_s : float
        Shortest of both.
    quiet_target_s : float
        Time for which a target has said nothing to anybody to be taken for silent.
    hung_s : float
        Silence after which a prompt goes elsewhere although its target answers others.
    """

    first_answer_targets: float = 2.0
    pauses: float = 3.5
    min_s: float = 0.35
    quiet_target_s: float = 0.6
    hung_s: float = 2.0


def is_stalled(exchange: Exchange, options: StallOptions, *, now_s: float) -> bool:
    """Return whether a request has waited too long for its target's next bytes."""
    is_sent = exchange.state in (ExchangeState.SENT, ExchangeState.RECEIVING)
    if not is_sent or not exchange.route.kind.may_run_again:
        return False
    route = exchange.route
    if exchange.state is ExchangeState.RECEIVING:
        longest_s = options.pauses * route.max_pause_s
    else:
        longest_s = options.first_answer_targets * route.first_answer_target_s
    longest_s = max(longest_s, options.min_s)
    silence_s = now_s - exchange.last_data_at_s
    if silence_s < longest_s:
        return False
    if exchange.facts.prompt is None or silence_s >= max(longest_s, options.hung_s):
        return True
    # A busy engine is slow with long prompts, and says so by answering others.
    load = exchange.choice.load if exchange.choice else None
    return load is not None and now_s - load.last_data_at_s >= options.quiet_target_s
