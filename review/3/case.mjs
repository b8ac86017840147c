/* eslint-disable import-x/extensions, no-await-in-loop, no-restricted-syntax --
   Node needs the extensions of modules; the steps of a case follow each other */
import { writeFileSync } from 'node:fs';
import { createServer } from 'node:http';
import process from 'node:process';
import { clearInterval, setInterval } from 'node:timers';
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
const THAW_MS = 300;
const CUT_MS = 9000;
const RAMP_INTERVAL_MS = 100;
const BEFORE_CUT_MS = 8000;
const AFTER_CUT_MS = 9000;
const EVENT_MS = 500;

const record = [];
const note = (text) => record.push(`${Date.now()} ${text}`);

/** The platform's API for duties, which doesn't check the fence. */
class Platform {
  calls = [];

  server = createServer((request, response) => {
    let text = '';
    request.on('data', (bytes) => {
      text += bytes;
    });
    request.once('end', () => {
      const body = JSON.parse(text);
      const path = request.url;
      const subject = path === '/scale' ? `${path} ${body.backend} ${body.zone}` : path;
      const holder = request.headers['x-duty-holder'];
      const fence = Number(request.headers['x-fencing-token']);
      this.calls.push({ at: Date.now(), subject, holder, fence, text });
      note(`platform got ${subject} from ${holder}, fence ${fence}: ${text}`);
      response
        .writeHead(200, { 'content-type': 'application/json', 'content-length': 2 })
        .end('{}');
    });
  });

  async listen() {
    await new Promise((resolve) => {
      this.server.listen(0, '127.0.0.1', resolve);
    });
    this.server.keepAliveTimeout = 20_000;
    this.address = `127.0.0.1:${this.server.address().port}`;
  }
}

function handleChat({ id, response }) {
  response.writeHead(200, {
    'Content-Type': 'text/event-stream',
    'X-Attempt-Id': id,
    'X-Response-Signature': `${id}.200`,
  });
  let event = 1;
  const timer = setInterval(() => {
    response.write(`id: ${event}\ndata: piece\n\n`);
    event += 1;
  }, EVENT_MS);
  response.once('close', () => clearInterval(timer));
}

/** Calls with a lower fence than was seen before for their subject, beyond the excuse of the rule. */
function findStale(calls, healedAt) {
  const highest = new Map();
  return calls.filter(({ at, subject, fence }) => {
    const seen = highest.get(subject) ?? 0;
    highest.set(subject, Math.max(seen, fence));
    const isExcused = healedAt !== undefined && at >= healedAt && at <= healedAt + THAW_MS;
    return fence < seen && !isExcused;
  });
}

async function run() {
  const store = new Store();
  await store.listen();
  const platform = new Platform();
  await platform.listen();
  const replicas = ZONES.map((zone, index) =>
    Object.assign(new Replica(`i-engine${index}`, 'huvo11a', handleChat, zone), { slots: 128 }),
  );
  for (const replica of replicas) {
    await replica.listen();
    store.put('servers', replica.id, replica.getEntry());
  }
  const autoscaling = {
    minReplicas: 1,
    maxReplicas: 16,
    bootTimeS: 30,
    zonePrices: Object.fromEntries(ZONES.map((zone) => [zone, 1])),
  };
  store.put(
    'config',
    'main',
    createState(7, { chat: { timeoutMs: 60_000 }, engines: { autoscaling } }),
  );
  const links = [];
  for (let index = 0; index < 3; index += 1) {
    const pair = { store: new Link(store.address, note), api: new Link(platform.address, note) };
    await pair.store.listen();
    await pair.api.listen();
    links.push(pair);
  }
  const fleet = new Fleet();
  const calls = [];
  try {
    await fleet.start(
      3,
      (index) => links[index].store.address,
      (index) => ({
        cloudApi: { address: links[index].api.address, dutyPerS: 50 },
        bounds: {
          fencingEnforced: false,
          leaseMs: 3000,
          thawMs: THAW_MS,
          windowS: 5,
          usageTolerance: 0.05,
          usageDelayS: 10,
        },
      }),
    );
    const findHolder = () =>
      fleet.daemons.findIndex(({ lines }) => lines.some((line) => line.includes('"lease-gained"')));
    for (const end = Date.now() + 20_000; findHolder() < 0 && Date.now() < end;) {
      await wait(100);
    }
    const holder = findHolder();
    if (holder < 0) {
      throw new Error('no daemon has the duties');
    }
    note(`${fleet.daemons[holder].settings.nodeName} has the duties; traffic begins to grow`);
    const ramp = setInterval(() => {
      const index = calls.length;
      const headers = {
        'X-Deadline-Ms': '60000',
        'X-Model': 'm',
        'X-Token-Usage': '200,800',
        'X-Prefix-Hash': `bb${index}:200`,
      };
      calls.push(
        call(fleet.daemons[index % 3].callers, {
          path: '/chat/x',
          headers,
          body: `prompt ${index}`,
        }),
      );
    }, RAMP_INTERVAL_MS);
    await wait(BEFORE_CUT_MS);
    let healedAt;
    if (HAS_TROUBLE) {
      note(`${fleet.daemons[holder].settings.nodeName} is cut off from the platform`);
      links[holder].store.cut();
      links[holder].api.cut();
    }
    await wait(CUT_MS);
    if (HAS_TROUBLE) {
      note('the link is back');
      healedAt = Date.now();
      links[holder].store.heal();
      links[holder].api.heal();
    }
    await wait(AFTER_CUT_MS);
    clearInterval(ramp);
    const stale = findStale(platform.calls, healedAt);
    stale.forEach(({ at, subject, holder: name, fence, text }) =>
      note(
        `STALE: ${subject} from ${name}, fence ${fence}, ${at - (healedAt ?? at)} ms after the link was back: ${text}`,
      ),
    );
    note(
      `${platform.calls.length} calls, ${calls.length} streams, ${stale.length} calls with a lower fence than seen`,
    );
    return stale.length > 0;
  } finally {
    calls.forEach((one) => one.leave());
    await fleet.end();
    links.forEach((pair) => Object.values(pair).forEach((link) => link.close()));
    store.close();
    platform.server.close();
    platform.server.closeAllConnections();
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
