"""Viewers told too late that their media server was lost, as it came back before the front node had looked."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from standins import LESSON, READY, Bulletin, CannotRun, Events, Front, MediaServer, Viewers, configuration, main, settings

# how often media servers tell how full their links are, all at the same time; from 2.1 to 4.8 s in brest-claims
NOTES_EVERY_S = 4.25
# how long the machine is lost: the page's figure
LOST_FOR_S = 5.0
# from the start of a media server until the list tells it: the most that the site file names
LISTED_AFTER_S = 2.4
# the machine is lost so long after a note: it is then back before the front node has tried a second connection
AFTER_NOTE_S = 0.5
TOLD_WITHIN_S = 8.0 + 0.05


async def case(record, folder, trouble, fronts):
    """Plays the case; returns what broke the rule."""
    servers = [await MediaServer(number, record, asked=0.3).open() for number in (1, 2, 3, 4)]
    events = Events([server.listed for server in servers])
    bulletin = await Bulletin("bulletin", events, record).open()
    document = settings(extra__told_every_ms=NOTES_EVERY_S * 1000)
    front = Front(folder, "n1", configuration(events, bulletin, document), record)
    fronts.append(front)
    front.start()
    await front.ready()
    # the servers are warm by then
    await asyncio.sleep(9.0)
    viewers = Viewers(front.port, record)
    connection = await viewers.connect("c1")
    sessions = [f"{0x5A00000000000000 + number * 7919:016x}" for number in range(12)]
    for session in sessions:
        viewers.request(connection, session, cls=LESSON)
        await asyncio.sleep(0.2)
    await viewers.until(lambda: all(session in viewers.answers for session in sessions), 4.0)
    if any(viewers.answers.get(session, [(0, 0)])[0][1] != 200 for session in sessions):
        raise CannotRun("not all requests were served")

    async def notes():
        while True:
            for server in servers:
                server.note()
            await asyncio.sleep(NOTES_EVERY_S)

    telling = asyncio.ensure_future(notes())
    await asyncio.sleep(2 * NOTES_EVERY_S + AFTER_NOTE_S)
    lost = max(servers, key=lambda server: len(server.sessions))
    ended, at = [], record.now()
    if trouble:
        ended = await lost.vanish()
        at = record.now()
        await asyncio.sleep(LOST_FOR_S)
        await lost.return_cold()
        await asyncio.sleep(LISTED_AFTER_S)
        events.add((lost.listed, READY))
    await asyncio.sleep(at + 16.0 - record.now())
    telling.cancel()
    if front.process.poll() is not None:
        raise CannotRun("the front node ended")
    broken = []
    for session in ended:
        told = min(viewers.releases.get(session.hex(), [float("inf")]))
        if told - at > TOLD_WITHIN_S:
            broken.append(f"session {session.hex()} was over at {at:.3f} s, its viewer was told {told - at:.3f} s later")
    return broken


main(case, Path(__file__).resolve().parent)
