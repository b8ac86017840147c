/* eslint-disable import-x/extensions, no-await-in-loop, no-restricted-syntax --
   Node needs the extensions of modules; the steps of a case follow each other */
import { writeFileSync } from 'node:fs';
import process from 'node:process';
import { setTimeout as wait } from 'node:timers/promises';
import { setTimeout } from 'node:timers';
import { URL } from 'node:url';
import { call } from '../lib/caller.mjs';
import { Fleet } from '../lib/fleet.mjs';
import { Replica } from '../lib/replica.mjs';
import { createState } from '../lib/state.mjs';
import { Store } from '../lib/store.mjs';

const HAS_TROUBLE = process.env.TROUBLE !== '0';
const DAEMONS = 3;
const RESTART_MS = 300;
const FOREIGN_ENTRIES = 6;
/** One replica leaves a share of its requests unanswered for a while, and again. */
const GREY_SHARE = 0.45;
const GREY_MS = 6500;
const GREY_PERIOD_MS = 13_000;
const ZONES = ['heredia-a', 'cartago-b', 'alajuela-c'];
/** Work of a request as on the sheet of the small deployment: 15 ms, one in a hundred five times as long. */
const WORK_MS = 15;
const TAIL = 100;
const TAIL_X = 5;
const CALL_INTERVAL_MS = 15;
const RUN_MS = 100_000;
/** The rule: on two machines at least, processes end by themselves three times in the day. */
const MACHINES = 2;
const EXITS = 3;

const record = [];
const note = (text) => record.push(`${Date.now()} ${text}`);

const work = { count: 0, greyCount: 0, startedAt: undefined };

/** Whether a grey replica leaves this request without an answer. */
function isLeftUnanswered(replica) {
  const isGrey =
    replica.id === 'i-app0' &&
    work.startedAt !== undefined &&
    (Date.now() - work.startedAt) % GREY_PERIOD_MS < GREY_MS;
  work.greyCount += isGrey ? 1 : 0;
  return isGrey && (work.greyCount * GREY_SHARE) % 1 < GREY_SHARE;
}

function handle({ id, response, replica }) {
  if (isLeftUnanswered(replica)) {
    return;
  }
  work.count += 1;
  const duration = work.count % TAIL === 0 ? WORK_MS * TAIL_X : WORK_MS;
  setTimeout(() => {
    response.writeHead(200, {
      'X-Attempt-Id': id,
      'X-Response-Signature': `${id}.200`,
      'X-Replica-Load': '1,0,6',
      'content-length': 2,
    });
    response.end('ok');
  }, duration);
}

/** Returns the message of an uncaught error, without its stack. */
function findError(lines) {
  const text = lines.find((line) => /^TypeError/m.test(line) && !line.startsWith('{')) ?? '';
  return /^TypeError.*$/m.exec(text)?.[0] ?? '';
}

/** Starts a daemon again whenever it ends, as the platform does. */
function keepAlive(daemon, state) {
  daemon.child.once('exit', (code, signal) => {
    if (state.isOver) {
      return;
    }
    note(`${daemon.settings.nodeName} ended by itself, code ${code}, signal ${signal}`);
    setTimeout(() => {
      if (!state.isOver) {
        daemon.start();
        keepAlive(daemon, state);
      }
    }, RESTART_MS);
  });
}

async function run() {
  const store = new Store();
  await store.listen();
  const replicas = [0, 1, 2].map(
    (index) => new Replica(`i-app${index}`, 'wuno96b', handle, ZONES[index]),
  );
  for (const replica of replicas) {
    await replica.listen();
    store.put('servers', replica.id, replica.getEntry());
  }
  store.put('config', 'main', createState(7));
  const fleet = new Fleet();
  const state = { isOver: false };
  try {
    await fleet.start(DAEMONS, () => store.address);
    fleet.daemons.forEach((daemon) => keepAlive(daemon, state));
    await wait(2000);
    if (HAS_TROUBLE) {
      work.startedAt = Date.now();
      note(
        `another writer puts ${FOREIGN_ENTRIES} entries whose address cannot be read, such as 127.0.0.1:70000`,
      );
      for (let index = 0; index < FOREIGN_ENTRIES; index += 1) {
        const zone = ZONES[index % ZONES.length];
        const entry = { ...replicas[0].getEntry(), zone, address: `127.0.0.1:${70_000 + index}` };
        store.put('servers', `i-other${index}`, entry);
      }
    }
    const results = {};
    const calls = [];
    for (let index = 0; index * CALL_INTERVAL_MS < RUN_MS; index += 1) {
      const isCheck = index % 3 !== 0;
      const daemon = fleet.daemons[Math.floor(index / 3) % DAEMONS];
      const one = call(daemon.callers, {
        method: isCheck ? 'GET' : 'POST',
        path: isCheck ? '/check/x' : '/pay/x',
        headers: { 'X-Deadline-Ms': '1500' },
        body: isCheck ? undefined : `order ${index}`,
      });
      one.ended.then(({ status, error }) => {
        const key = `${isCheck ? 'check' : 'pay'}: ${status ?? error}`;
        results[key] = (results[key] ?? 0) + 1;
      });
      calls.push(one);
      await wait(CALL_INTERVAL_MS);
    }
    await wait(1700);
    calls.forEach((one) => one.leave());
    state.isOver = true;
    note(`answers: ${JSON.stringify(results)}`);
    const machines = fleet.daemons.filter(({ exits }) => exits.length >= EXITS);
    fleet.daemons.forEach(({ settings, exits, lines }) => {
      note(`${settings.nodeName}: ${exits.length} exits; ${findError(lines)}`);
    });
    return machines.length >= MACHINES;
  } finally {
    state.isOver = true;
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
