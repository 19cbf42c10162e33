"""Kills the leading controller, twice, while loads are in flight. No engine may be overcommitted, and every model must be served
afterwards."""

from placement_callers import kill_leaders_during_loads
from session import Session

with Session() as session:
    kill_leaders_during_loads(session, ("scribe", "clerk", "atlas", "folio"), fencing="checked")
