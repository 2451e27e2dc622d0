"""Plays a title for some seconds: python examples/watch.py http://127.0.0.1:8081 lesson t01

Start `bin/curlewshift standin server examples/small-site.xml` and `bin/curlewshift front examples/small-site.xml` first.
The offer is one that the stand-ins take; a real player's own would stand here.
"""

import secrets
import sys
import time

from curlewshift.client import Refused, SyncCaller
from curlewshift.signalling.sdp import offer_text

fronts, package, title = sys.argv[1].split(","), sys.argv[2], sys.argv[3]
offer = offer_text(secrets.token_hex(4), secrets.token_hex(12), "sha-256 " + ":".join(["A5"] * 32))
try:
    with SyncCaller(fronts).play(package, title, offer, patience=4.0, twice=True) as session:
        print(f"plays at {session.session.front}{session.session.path}")
        time.sleep(1.0)
    print("closed")
except Refused as refused:
    print(f"refused: {refused}; come again after {refused.retry_after:.1f} s")
    sys.exit(1)
