"""Decides when clients whose requests were refused should send them again.

It answers a burst beyond capacity: clients that are all asked back at once meet the
same burst, and are refused again.
"""

import math

MIN_RETURN_S = 0.05
MAX_RETURN_S = 5.0
"""Bounds of the time after which a client is asked back."""

MAX_SHARE_OF_TIME_LEFT = 1 / 3
"""Longest pause of a client, as a share of the time until its deadline; the rest is
left to serve it."""

SERVED_HALF_LIFE_S = 2.0
"""Half-life of the rate at which requests were served."""


class ReturnSchedule:
    """Gives each refused request of a service the next place in a line.

    The line moves at the rate at which this router's requests are served. Each place
    takes as long as the request needs at that rate.
    """

    def __init__(self) -> None:
        self._decay_per_s = math.log(2) / SERVED_HALF_LIFE_S
        self._served_cost = 0.0
        self._served_at_s = 0.0
        self._line_ends_at_s = 0.0

    def record_served(self, cost: float, *, now_s: float) -> None:
        """Count a request that is sent to a target."""
        self._served_cost = self._decayed_cost(now_s) + cost
        self._served_at_s = now_s

    def return_after_s(self, cost: float, *, time_left_s: float, now_s: float) -> float:
        """Return the time after which the client should send its request again.

        Parameters
        ----------
        cost : float
            Cost of the request, in the unit of `record_served`.
        time_left_s : float
            Time until the client's deadline.
        now_s : float
            Monotonic time.
        """
        longest_s = min(time_left_s * MAX_SHARE_OF_TIME_LEFT, MAX_RETURN_S)
        served_per_s = self._decayed_cost(now_s) * self._decay_per_s
        place_s = cost / served_per_s if served_per_s > 0 else MAX_RETURN_S
        begins_at_s = max(self._line_ends_at_s, now_s)
        self._line_ends_at_s = min(begins_at_s + place_s, now_s + MAX_RETURN_S)
        return max(min(begins_at_s - now_s, longest_s), MIN_RETURN_S)

    def _decayed_cost(self, now_s: float) -> float:
        age_s = now_s - self._served_at_s
        return self._served_cost * math.exp(-age_s * self._decay_per_s)
