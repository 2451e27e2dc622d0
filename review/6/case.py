"""A media server stands still and then answers what it took: the node drops the connection that the viewers read."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from stage import SLACK_S, TROUBLE, Viewers, run

TITLE = "7f3a9c21e0b4d655"
# "No message exceeds 16 KiB"; "up to 90 [set-ups a second] on one day"; "stand still for 7.7 to 23 s"
DESCRIPTION_BYTES, RATE, STILL_S = 16000, 90, 7.7
# how long a viewer of the paid class waits, and "up to half a second after its time it only earns nothing"
WAIT_S, LATE_S = 5.0, 0.5


async def play(make_stage) -> list[str]:
    """Paid set-ups come on one connection from viewers while one of the title's three holders stands still."""
    stage = make_stage(servers=3)
    for server in stage.servers:
        server.description_bytes = DESCRIPTION_BYTES
    await stage.start()
    await asyncio.sleep(13)  # the servers are proven warm
    viewers = Viewers(stage).connect()
    if TROUBLE:
        stage.servers[0].stand_still()
    began = stage.record.now()
    for number in range(int(RATE * (STILL_S - 0.2))):
        await asyncio.sleep(max(0.0, began + number / RATE - stage.record.now()))
        if viewers.ended_at:
            break
        viewers.set_up("paid", TITLE, int(WAIT_S * 1000))
    await asyncio.sleep(max(0.0, began + STILL_S - stage.record.now()))
    if TROUBLE:
        stage.servers[0].go_on()
    await asyncio.sleep(WAIT_S + LATE_S + 1)
    lost = []
    for id, sent_at in viewers.sent.items():
        answers = viewers.answers.get(id, [])
        if len(answers) != 1 or answers[0][0] > sent_at + WAIT_S + LATE_S + SLACK_S:
            lost.append(id)
            stage.record.line("case", f"{id} sent at {sent_at:.3f} has the answers {[(at, status) for at, status, _ in answers]}")
    if lost:
        when = f"the node ended their connection at {viewers.ended_at:.3f}" if viewers.ended_at else "the connection is open"
        return [f"{len(lost)} of {len(viewers.sent)} set-ups that the node took did not get one answer in their time; {when}"]
    return []


if __name__ == "__main__":
    run(sys.argv[1], play)
