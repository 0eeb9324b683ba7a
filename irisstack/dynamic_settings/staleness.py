"""For how long nobody has confirmed that what the node holds is the newest."""

from irisstack.dynamic_settings.events import Action, IncrementCounter, Log, LogLevel

STALE_AFTER_S = 18.0
"""Seconds without confirmation after which that is said."""


class StalenessMonitor:
    """Says once that the settings are stale, and once that they no longer are."""

    def __init__(self, now: float) -> None:
        self._confirmed_at = now
        self._is_stale = False

    @property
    def stale_at(self) -> float | None:
        """When the settings become stale; `None` if they are."""
        return None if self._is_stale else self._confirmed_at + STALE_AFTER_S

    def confirm(self, now: float, at: float, revision: int) -> list[Action]:
        """What is held was the newest at that time."""
        self._confirmed_at = max(self._confirmed_at, at)
        if not self._is_stale or now >= self._confirmed_at + STALE_AFTER_S:
            return []
        self._is_stale = False
        return [Log(LogLevel.INFO, "settings_fresh_again", {"revision": revision})]

    def check(self, now: float, revision: int) -> list[Action]:
        """What is to be said as time passes."""
        if self._is_stale or now < self._confirmed_at + STALE_AFTER_S:
            return []
        self._is_stale = True
        fields = {"revision": revision, "unconfirmed_s": round(now - self._confirmed_at, 1)}
        return [Log(LogLevel.WARNING, "settings_stale", fields), IncrementCounter("settings_stale")]
