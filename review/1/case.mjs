/* eslint-disable import-x/extensions, no-await-in-loop, no-restricted-syntax --
   Node needs the extensions of modules; the steps of a case follow each other */
import { writeFileSync } from 'node:fs';
import process from 'node:process';
import { setInterval, clearInterval } from 'node:timers';
import { setTimeout as wait } from 'node:timers/promises';
import { URL } from 'node:url';
import { call } from '../lib/caller.mjs';
import { Fleet } from '../lib/fleet.mjs';
import { Replica } from '../lib/replica.mjs';
import { createState } from '../lib/state.mjs';
import { Store } from '../lib/store.mjs';

const HAS_TROUBLE = process.env.TROUBLE !== '0';
const CHATS = 96;
const TIMEOUT_MS = 5000;
const DEADLINE_MS = 12_000;
const PAUSE_MS = 150;
const EVENTS = 27;
const CRASH_AT_MS = 3600;
const GREY_SHARE = 0.45;
/** A requester abandons a stream after the longest of 2 s, 4 objectives, 8 pauses. */
const ABANDON_MS = Math.max(2000, 4 * 600, 8 * 300);

const record = [];
const note = (text) => record.push(text);

const state = { isGrey: false, greyCount: 0, running: new Map() };

function handleChat({ id, headers, response, replica }) {
  const first = Number(headers['last-event-id'] ?? 0) + 1;
  note(`${Date.now()} ${replica.id} received ${id}, from event ${first}`);
  if (state.isGrey) {
    state.greyCount += 1;
    const isFailed =
      Math.floor(state.greyCount * GREY_SHARE) > Math.floor((state.greyCount - 1) * GREY_SHARE);
    if (isFailed) {
      note(`${Date.now()} ${replica.id} answered ${id} with 500`);
      response.writeHead(500, {
        'X-Attempt-Id': id,
        'X-Response-Signature': `${id}.500`,
        'content-length': 5,
      });
      response.end('error');
      return;
    }
  }
  replica.running.add(id);
  response.writeHead(200, {
    'Content-Type': 'text/event-stream',
    'X-Attempt-Id': id,
    'X-Response-Signature': `${id}.200`,
  });
  let event = first;
  const timer = setInterval(() => {
    response.write(`id: ${event}\ndata: piece ${event} of ${id}\n\n`);
    event += 1;
    if (event > EVENTS) {
      clearInterval(timer);
      response.end();
    }
  }, PAUSE_MS);
  response.once('close', () => {
    clearInterval(timer);
    replica.running.delete(id);
  });
}

function describeEnd({ hasLeft, isComplete, error }) {
  if (hasLeft) {
    return 'abandoned by its requester';
  }
  return isComplete ? 'whole' : `broken off (${error})`;
}

async function run() {
  const store = new Store();
  await store.listen();
  const replicas = Array.from(
    { length: 4 },
    (_item, index) => new Replica(`i-engine${index}`, 'huvo11a', handleChat),
  );
  for (const replica of replicas) {
    Object.assign(replica, { slots: 128, running: new Set() });
    await replica.listen();
    store.put('servers', replica.id, replica.getEntry());
  }
  store.put(
    'config',
    'main',
    createState(7, { chat: { timeoutMs: TIMEOUT_MS, targetLatencyMs: 600, itlTargetMs: 300 } }),
  );
  const fleet = new Fleet();
  try {
    await fleet.start(3, () => store.address);
    await wait(3500);
    const calls = Array.from({ length: CHATS }, (_item, index) => {
      const headers = {
        'X-Deadline-Ms': String(DEADLINE_MS),
        'X-Model': 'm',
        'X-Token-Usage': '200,120',
        'X-Prefix-Hash': `aa${index}:200`,
      };
      const one = call(fleet.daemons[index % 3].callers, {
        path: '/chat/x',
        headers,
        body: `prompt ${index}`,
      });
      note(`${one.sentAt} sent ${one.id} to ${fleet.daemons[index % 3].settings.nodeName}`);
      return one;
    });
    await wait(CRASH_AT_MS);
    const [busiest] = [...replicas].sort((left, right) => right.running.size - left.running.size);
    if (HAS_TROUBLE) {
      state.isGrey = true;
      note(
        `${Date.now()} ${busiest.id} crashes with ${busiest.running.size} streams; the others fail ${GREY_SHARE} of their requests`,
      );
      store.delete('servers', busiest.id);
      busiest.crash();
    }
    const watch = setInterval(() => {
      calls
        .filter(
          ({ endedAt, lastDataAt, sentAt }) =>
            endedAt === undefined && Date.now() - (lastDataAt ?? sentAt) > ABANDON_MS,
        )
        .forEach((one) => {
          Object.assign(one, { endedAt: Date.now(), hasLeft: true });
          one.leave();
        });
    }, 20);
    const ended = await Promise.all(calls.map((one) => one.ended));
    clearInterval(watch);
    const late = ended.filter(({ sentAt, endedAt }) => endedAt - sentAt > TIMEOUT_MS);
    const open = late.filter(({ sentAt, endedAt }) => endedAt - sentAt > TIMEOUT_MS + 500);
    ended.forEach((one) => {
      const end = describeEnd(one);
      note(
        `${one.endedAt} ${one.id} ${one.status}, last event ${/id: (\d+)\n(?![\s\S]*id: )/.exec(one.body)?.[1]}, ${end}, after ${one.endedAt - one.sentAt} ms`,
      );
    });
    note(
      `unanswered at ${TIMEOUT_MS} ms: ${late.length}; still without an end 0.5 s later: ${open.length}`,
    );
    fleet.daemons.forEach(({ lines, settings }) =>
      note(
        `${settings.nodeName}: ${lines
          .filter((line) => line.includes('fault'))
          .slice(0, 3)
          .join('\n')}`,
      ),
    );
    return open.length >= 8 && open.length > late.length / 4;
  } finally {
    await fleet.end();
    store.close();
    replicas.forEach((replica) => replica.crash());
  }
}

let code = 2;
try {
  code = (await run()) ? 1 : 0;
} catch (error) {
  note(String(error?.stack));
}
note(`exit ${code}`);
writeFileSync(new URL('record.txt', import.meta.url), `${record.join('\n')}\n`);
process.exit(code);
