/* eslint-disable import-x/extensions, no-await-in-loop, no-restricted-syntax --
   Node needs the extensions of modules; the steps of a case follow each other */
import { writeFileSync } from 'node:fs';
import process from 'node:process';
import { clearInterval, setInterval, setTimeout } from 'node:timers';
import { setTimeout as wait } from 'node:timers/promises';
import { URL } from 'node:url';
import { call } from '../lib/caller.mjs';
import { Fleet } from '../lib/fleet.mjs';
import { Link } from '../lib/proxy.mjs';
import { Replica } from '../lib/replica.mjs';
import { createState } from '../lib/state.mjs';
import { Store } from '../lib/store.mjs';

const HAS_TROUBLE = process.env.TROUBLE !== '0';
const ZONES = ['heredia-a', 'cartago-b', 'alajuela-c'];
const WORK_MS = 85;
const CLUMP = 12;
const CLUMP_INTERVAL_MS = 120;
const DEADLINE_MS = 1500;
const CUT_MS = 9000;
const CONTACT_MS = 3000;
const LATE_MS = 500;
/** What "more than a few" is taken to be. */
const FEW = 5;

const record = [];
const note = (text) => record.push(`${Date.now()} ${text}`);
const arrivals = [];

function handle({ id, response, replica }) {
  arrivals.push({ id, at: Date.now(), replica: replica.id });
  setTimeout(() => {
    response.writeHead(200, {
      'X-Attempt-Id': id,
      'X-Response-Signature': `${id}.200`,
      'content-length': 2,
    });
    response.end('ok');
  }, WORK_MS);
}

async function run() {
  const store = new Store();
  await store.listen();
  const replicas = ZONES.map(
    (zone, index) => new Replica(`i-app${index}`, 'wuno96b', handle, zone),
  );
  const links = [];
  for (const replica of replicas) {
    replica.slots = 64;
    await replica.listen();
    store.put('servers', replica.id, replica.getEntry());
  }
  store.put('config', 'main', createState(7));
  // The first daemon reaches the replicas over links that can be cut, so that it sees their addresses.
  for (const replica of replicas) {
    const link = new Link(replica.address, note);
    await link.listen();
    links.push(link);
  }
  const showLinks = (text) =>
    links.reduce((shown, { target, address }) => shown.replaceAll(target, address), text);
  const ownAddress = await store.listenAs(showLinks);
  const fleet = new Fleet();
  const calls = [];
  try {
    await fleet.start(3, (index) => (index === 0 ? ownAddress : store.address));
    await wait(2000);
    const traffic = setInterval(() => {
      for (let index = 0; index < CLUMP; index += 1) {
        const one = call(fleet.daemons[0].callers, {
          path: '/pay/x',
          headers: { 'X-Deadline-Ms': String(DEADLINE_MS) },
          body: `order ${calls.length}`,
        });
        calls.push(one);
        setTimeout(() => one.leave(), DEADLINE_MS);
      }
    }, CLUMP_INTERVAL_MS);
    await wait(4000);
    let healedAt;
    if (HAS_TROUBLE) {
      note(`${fleet.daemons[0].settings.nodeName} is cut off from the replicas`);
      links.forEach((link) => link.cut());
    }
    await wait(CUT_MS);
    if (HAS_TROUBLE) {
      healedAt = Date.now();
      note('the links are back');
      links.forEach((link) => link.heal());
    }
    await wait(3000);
    clearInterval(traffic);
    await wait(4000);
    const ended = await Promise.all(calls.map((one) => one.ended));
    const results = {};
    ended.forEach(({ status, error }) => {
      results[status ?? error] = (results[status ?? error] ?? 0) + 1;
    });
    const byId = new Map(ended.map((one) => [one.id, one]));
    const late = arrivals.filter(({ id, at }) => at > byId.get(id).endedAt + LATE_MS);
    const counted = late.filter(({ at }) => healedAt === undefined || at > healedAt + CONTACT_MS);
    late.forEach(({ id, at, replica }) => {
      const { status, endedAt } = byId.get(id);
      note(
        `${id} reached ${replica} ${at - endedAt} ms after its requester had got ${status} and left, ${at - healedAt} ms after the links were back`,
      );
    });
    note(
      `${calls.length} orders: ${JSON.stringify(results)}; ${late.length} reached a replica late, ${counted.length} of them by machines in touch`,
    );
    return counted.length > FEW;
  } finally {
    calls.forEach((one) => one.leave());
    await fleet.end();
    links.forEach((link) => link.close());
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
