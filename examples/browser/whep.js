// Plays a title in a page over WHEP: one key for all tries at one front, advice kept, the session closed.
// `peer` is an RTCPeerConnection; `how` may bring fetch, sleep and random of its own, as the tests do.

export class Refused extends Error {
  constructor(words, retryAfter) {
    super(words);
    this.retryAfter = retryAfter;
  }
}

export class Failed extends Error {}

export async function play(front, packageName, title, peer, how = {}) {
  const { patience = 5000, token = null, fetch = globalThis.fetch, now = () => performance.now() } = how;
  const sleep = how.sleep ?? ((ms) => new Promise((done) => setTimeout(done, ms)));
  const random = how.random ?? Math.random;
  peer.addTransceiver('video', { direction: 'recvonly' });
  await peer.setLocalDescription(await peer.createOffer());
  const key = how.key ?? crypto.randomUUID();
  const ends = now() + patience;
  const headers = { 'Content-Type': 'application/sdp', 'Idempotency-Key': key };
  if (token) headers.Authorization = `Bearer ${token}`;
  const url = new URL(`/whep/${encodeURIComponent(packageName)}/${encodeURIComponent(title)}`, front);
  for (let tries = 1; ; tries++) {
    let answered = null;
    let words = 'no answer';
    try {
      answered = await fetch(url, { method: 'POST', headers, body: peer.localDescription.sdp,
        signal: AbortSignal.timeout(Math.max(1, ends - now())) });
    } catch (wrong) {
      // It may have been set up all the same. The same front knows the key, so asking it again is safe.
      words = String(wrong.message ?? wrong);
    }
    if (answered?.status === 201) return started(url, answered, peer, headers, fetch);
    let wait = Math.min(2000, 100 * 2 ** Math.min(tries, 6)) * (0.5 + random() / 2);
    if (answered) {
      const problem = await answered.json().catch(() => ({}));
      words = problem.detail ?? `answered ${answered.status}`;
      if (answered.status !== 503) throw new Failed(words);
      wait = (problem.retryAfterMs ?? 1000 * Number(answered.headers.get('Retry-After') ?? 1)) * (1 + random() / 4);
    }
    if (now() + wait >= ends) throw answered ? new Refused(words, wait) : new Failed(words);
    await sleep(wait);
  }
}

async function started(url, answered, peer, headers, fetch) {
  const at = new URL(answered.headers.get('Location'), answered.url || url);
  const session = {
    url: at.href,
    allow: (rung) => fetch(new URL(at.pathname + '/layer', at), { method: 'POST',
      headers: { ...headers, 'Content-Type': 'application/json' },
      body: JSON.stringify({ mediaId: '0', encodingId: String(rung) }) }),
    async close() {
      peer.close();
      // keepalive: it goes out even while the page is being left
      await fetch(at, { method: 'DELETE', headers, keepalive: true }).catch(() => {});
    },
  };
  try {
    await peer.setRemoteDescription({ type: 'answer', sdp: await answered.text() });
  } catch (wrong) {
    // what cannot be played must not stay open at its server
    await session.close();
    throw new Failed(`the answer cannot be used: ${wrong.message}`);
  }
  return session;
}
