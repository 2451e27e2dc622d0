"""Two tune-ins of one viewing out at once, after connections to media servers were reset under requests."""

import asyncio
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from standins import (
    LESSON,
    Bulletin,
    CannotRun,
    Events,
    Front,
    MediaServer,
    Viewers,
    configuration,
    main,
    settings,
    teardown_text,
)

# the servers are warm by then, as their warm-up takes 8 s
BEFORE_S = 14.0
# how long connections are reset under requests, which is the page's figure for such a day
TROUBLE_S = 6.0
AFTER_S = 8.0
VIEWING_S = 6.0
FRONTS = 3


async def case(record, folder, trouble, fronts):
    """Plays the case; returns what broke the rule."""
    chance = random.Random(53)
    servers = [
        await MediaServer(number, record, work=lambda: chance.uniform(0.02, 0.08), asked=0.3).open() for number in (1, 2, 3)
    ]
    for server in servers:
        server.all_servers = servers
    events = Events([server.listed for server in servers])
    bulletin = await Bulletin("bulletin", events, record).open()
    for number in range(FRONTS):
        document = settings(fronts=FRONTS, my_number=number, extra__kind_streams=[16, 32])
        fronts.append(Front(folder, f"n{number + 1}", configuration(events, bulletin, document), record))
        fronts[-1].start()
    for front in fronts:
        await front.ready()
    await asyncio.sleep(9.0)

    async def load(number, front, viewers):
        connection = await viewers.connect(f"{front.name}-c1")

        def leave(session):
            if any(status == 200 for _, status in viewers.answers.get(session, ())):
                record("viewer-leaves", session=session)
                connection.write(teardown_text(session))

        await asyncio.sleep(number / FRONTS)
        for request in range(10**6):
            session = f"{0x5A00000000000000 + (number << 32) + request * 7919:016x}"
            viewers.request(connection, session, cls=LESSON)
            asyncio.get_running_loop().call_later(VIEWING_S, leave, session)
            await asyncio.sleep(1.0)

    crowds = [Viewers(front.port, record) for front in fronts]
    loads = [asyncio.ensure_future(load(number, front, crowds[number])) for number, front in enumerate(fronts)]
    await asyncio.sleep(BEFORE_S - 9.0)
    if trouble:
        record("trouble-begins", what="each answer of a media server is lost and its connection reset")
        for server in servers:
            server.loses_answer = lambda: True
    await asyncio.sleep(TROUBLE_S)
    for server in servers:
        server.loses_answer = lambda: False
    if trouble:
        record("trouble-ends")
    await asyncio.sleep(AFTER_S)
    for loading in loads:
        loading.cancel()
    if any(front.process.poll() is not None for front in fronts):
        raise CannotRun("a front node ended")
    if not any(status == 200 for viewers in crowds for answers in viewers.answers.values() for _, status in answers):
        raise CannotRun("no request was served")
    return [
        f"session {session} had two tune-ins out at {at:.3f} s"
        for at, session in sorted(t for server in servers for t in server.twice)
    ]


main(case, Path(__file__).resolve().parent)
