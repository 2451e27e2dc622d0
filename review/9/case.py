"""The end of a session that was handed over is told on a connection on which an answer has stopped short."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from stage import ANSWER, DESCRIPTION, REPORT, SLACK_S, TROUBLE, CannotRunError, Viewers, message, run

# "within 8 s of its end if no release could be sent"
LIMIT_S = 8.0
TITLE = "7f3a9c21e0b4d655"
STANDING = 60


async def come_and_leave(viewers: Viewers) -> None:
    """Ten viewers a second come, one after the other, and as many leave."""
    watching = []
    while True:
        watching.append(viewers.set_up("lesson", TITLE, 3000))
        await asyncio.sleep(0.1)
        if len(watching) > STANDING:
            viewers.tear_down(watching.pop(0))


async def play(make_stage) -> list[str]:
    """The session ends 0.2 s after the first half of another session's answer was sent on the same connection."""
    stage = make_stage(servers=3)
    server = stage.servers[0]
    await stage.start()
    viewers = Viewers(stage).connect()
    handed = viewers.set_up("lesson", TITLE, 3000, at=server.name)
    server.sessions[handed] = None
    await asyncio.sleep(13)
    # a few viewers at once, as always: the node opens a second connection to this server
    server.answer_after_s = 0.05
    early = [viewers.set_up("lesson", TITLE, 3000) for _ in range(12)]
    await asyncio.sleep(1)
    for id in early:
        viewers.tear_down(id)
    server.answer_after_s = 0.005
    if len(server.wires) < 2:
        raise CannotRunError("the node has one connection only to this server")
    traffic = asyncio.get_running_loop().create_task(come_and_leave(viewers))
    await asyncio.sleep(STANDING / 10 + 3)
    ended = []

    def end(wire) -> None:
        ended.append(stage.record.now())
        server.end(handed, wire)

    def answer_and_end(wire, id, parameters) -> bool:
        if wire in server.sessions.values():
            return False
        server.on_set_up = lambda wire, id, parameters: False
        asyncio.get_running_loop().call_later(0.2, end, wire)
        if not TROUBLE:
            return False
        whole = message(ANSWER, id, (DESCRIPTION, server.description_of(id)), (REPORT, b"x0:0.3"))
        stage.record.line(server.name, f"-> the first half of the answer {id} on {server.port_of(wire)}, and no more of it")
        server.sessions[id] = server.out.pop(id)
        wire.send(whole[: len(whole) // 2])
        return True

    server.on_set_up = answer_and_end
    for _ in range(10):
        # some viewers at once: one of their set-ups finds the first connections to this server in use
        burst = [viewers.set_up("lesson", TITLE, 3000) for _ in range(9)]
        await asyncio.sleep(0.7)
        if ended:
            break
        for id in burst:
            viewers.tear_down(id)
        await asyncio.sleep(0.3)
    await asyncio.sleep(LIMIT_S + 12)
    traffic.cancel()
    if not ended:
        raise CannotRunError("no set-up reached this server")
    told = [at - ended[0] for at in viewers.releases.get(handed, [])]
    stage.record.line("case", f"session {handed} ended at {ended[0]:.3f}; released towards its client after {told} s")
    if not told or told[0] > LIMIT_S + SLACK_S:
        seen = f"after {told[0]:.2f} s" if told else f"not at all within {stage.record.now() - ended[0]:.1f} s"
        return [f"session {handed} was over, and was released towards its client {seen}; the limit is {LIMIT_S} s"]
    return []


if __name__ == "__main__":
    run(sys.argv[1], play)
