"""For callers: ask a front for a session and keep it, over retries that never make a second one."""

from curlewshift.client.caller import Caller, Failed, Refused, Session, Wrong
from curlewshift.client.sync import SyncCaller, SyncSession

__all__ = ["Caller", "Failed", "Refused", "Session", "SyncCaller", "SyncSession", "Wrong"]
