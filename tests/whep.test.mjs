// The page's script against a front that is a list of answers: node --test tests/whep.test.mjs
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Failed, Refused, play } from '../examples/browser/whep.js';

const peer = (bad = false) => ({
  closed: 0, localDescription: null, addTransceiver() {}, createOffer: async () => ({ type: 'offer', sdp: 'v=0' }),
  async setLocalDescription(offer) { this.localDescription = offer; },
  async setRemoteDescription() { if (bad) throw new Error('no such codec'); },
  close() { this.closed++; } });

function front(...answers) {
  const asked = [];
  let clock = 0;
  const fetch = async (url, how) => {
    asked.push({ url: String(url), ...how });
    if (how.method !== 'POST' || String(url).endsWith('/layer')) return new Response(null, { status: 200 });
    const answer = answers.shift();
    if (answer instanceof Error) throw answer;
    return new Response(answer.body ?? '{}', answer);
  };
  return { asked, slept: [], how: { fetch, now: () => clock, random: () => 0, sleep: async (ms) => { clock += ms; } } };
}
const plays = { status: 201, body: 'v=0', headers: { Location: '/session/x' } };

test('a lost answer is asked for again under the same key, and the session is closed', async () => {
  const { asked, how } = front(new Error('reset'), plays);
  const one = peer();
  const session = await play('http://127.0.0.1:1', 'clip', 't', one, how);
  assert.equal(asked.length, 2);
  assert.equal(asked[0].headers['Idempotency-Key'], asked[1].headers['Idempotency-Key']);
  await session.allow(1);
  await session.close();
  assert.deepEqual(asked.slice(2).map((call) => [call.method, call.url]),
    [['POST', 'http://127.0.0.1:1/session/x/layer'], ['DELETE', 'http://127.0.0.1:1/session/x']]);
  assert.equal(one.closed, 1);
});

test('a refusal is waited out as advised, and handed on if patience ends before', async () => {
  const full = { status: 503, body: '{"detail":"full","retryAfterMs":700}' };
  const { asked, how } = front(full, plays);
  await play('http://127.0.0.1:1', 'clip', 't', peer(), how);
  assert.equal(how.now(), 700);
  assert.equal(asked.length, 2);
  const later = front({ ...full, body: '{"retryAfterMs":9000}' });
  await assert.rejects(play('http://127.0.0.1:1', 'clip', 't', peer(), later.how), Refused);
  assert.equal(later.asked.length, 1);
});

test('a failure is an end, and nothing is tried again', async () => {
  const { asked, how } = front({ status: 502, body: '{"detail":"it may have run"}' });
  await assert.rejects(play('http://127.0.0.1:1', 'paid', 't', peer(), how), Failed);
  assert.equal(asked.length, 1);
});

test('an answer that cannot be used leaves no session open', async () => {
  const { asked, how } = front(plays);
  await assert.rejects(play('http://127.0.0.1:1', 'clip', 't', peer(true), how), /cannot be used/);
  assert.equal(asked.at(-1).method, 'DELETE');
});

test('a front that never answers ends with patience', async () => {
  const { asked, how } = front(...Array(50).fill(new Error('reset')));
  await assert.rejects(play('http://127.0.0.1:1', 'clip', 't', peer(), how), Failed);
  assert.ok(asked.length > 3 && asked.length < 12);
});
