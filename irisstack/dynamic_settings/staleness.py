"""Reports settings that have not been confirmed as current for too long."""

from irisstack.dynamic_settings.events import Action, IncrementCounter, Log, LogLevel

STALE_AFTER_S = 18.0
"""Seconds without confirmation after which the settings are reported as stale."""


class StalenessMonitor:
    """Logs once that the settings became stale and once that they are current again."""

    def __init__(self, now: float) -> None:
        self._confirmed_at = now
        self._is_stale = False

    @property
    def stale_at(self) -> float | None:
        """When the settings become stale; `None` if they already are."""
        return None if self._is_stale else self._confirmed_at + STALE_AFTER_S

    def confirm(self, now: float, confirmed_at: float, revision: int) -> list[Action]:
        """Record that the settings were current at `confirmed_at`; returns the log line, if one is due."""
        self._confirmed_at = max(self._confirmed_at, confirmed_at)
        if not self._is_stale or now >= self._confirmed_at + STALE_AFTER_S:
            return []
        self._is_stale = False
        return [Log(LogLevel.INFO, "settings_fresh_again", {"revision": revision})]

    def check(self, now: float, revision: int) -> list[Action]:
        """The log line and the counter if the settings have become stale."""
        if self._is_stale or now < self._confirmed_at + STALE_AFTER_S:
            return []
        self._is_stale = True
        fields = {"revision": revision, "unconfirmed_s": round(now - self._confirmed_at, 1)}
        return [Log(LogLevel.WARNING, "settings_stale", fields), IncrementCounter("settings_stale")]
