"""A resting connection of the viewers ends; the ends of their sessions are told to nobody, though another one is open."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from stage import SLACK_S, TROUBLE, CannotRunError, Viewers, run

# "within 1 s of the release by the media server or the front node"
LIMIT_S = 1.0
TITLE = "7f3a9c21e0b4d655"


async def play(make_stage) -> list[str]:
    """Nine sessions stand; their viewers' connection ends at rest, and they use a new one from then on."""
    stage = make_stage(servers=3)
    await stage.start()
    await asyncio.sleep(13)  # the servers are proven warm
    first = Viewers(stage, "first").connect()
    ids = []
    for _ in range(9):
        ids.append(first.set_up("lesson", TITLE, 3000))
        await asyncio.sleep(0.1)
    await asyncio.sleep(2.5)
    if any(len(first.answers.get(id, [])) != 1 or first.answers[id][0][1] != 200 for id in ids):
        raise CannotRunError("not all sessions stand")
    if TROUBLE:
        stage.record.line("first", "the resting connection is reset")
        first.wire.close(reset=True)
    # the viewers' next connection: it passes a test, and the end of a session is sent on it and answered
    second = Viewers(stage, "second").connect()
    second.test()
    await asyncio.wait_for(second.tested.wait(), 2)
    second.tear_down(ids.pop())
    await asyncio.sleep(1)
    ended = {}
    for server in stage.servers:
        for id in [id for id in ids if id in server.sessions]:
            ended[id] = stage.record.now()
            server.end(id)
            await asyncio.sleep(0.2)
    keep_on = asyncio.get_running_loop().create_task(test_each_second(second))
    await asyncio.sleep(12)
    keep_on.cancel()
    if not second.wire.open:
        raise CannotRunError("the viewers' second connection has ended too")
    late = []
    for id, at in ended.items():
        told = sorted(first.releases.get(id, []) + second.releases.get(id, []))
        stage.record.line("case", f"session {id} was released by its server at {at:.3f}, towards its client at {told}")
        if not told or told[0] > at + LIMIT_S + SLACK_S:
            late.append(id)
    if late:
        return [f"{len(late)} of {len(ended)} ends were not told within {LIMIT_S} s, nor within the 12 s that were watched"]
    return []


async def test_each_second(viewers: Viewers) -> None:
    """The connection stays open and in use."""
    while True:
        viewers.test()
        await asyncio.sleep(1)


if __name__ == "__main__":
    run(sys.argv[1], play)
