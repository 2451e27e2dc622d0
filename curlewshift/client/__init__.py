"""Client library: requests a session at a front and controls it. Retries never set up a second session."""

from curlewshift.client.caller import Caller, Failed, Refused, Session, Wrong
from curlewshift.client.sync import SyncCaller, SyncSession

__all__ = ["Caller", "Failed", "Refused", "Session", "SyncCaller", "SyncSession", "Wrong"]
