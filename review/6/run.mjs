/* eslint-disable no-await-in-loop -- the steps of a day follow one another */
/* eslint-disable import-x/extensions -- plain modules are named in full */
import process from 'node:process';
import { clearInterval, setInterval } from 'node:timers';
import { setTimeout as sleep } from 'node:timers/promises';
import { URL } from 'node:url';
import { call, createAttemptId } from '../lib-2/call.mjs';
import { Record } from '../lib-2/Record.mjs';
import { Replica } from '../lib-2/Replica.mjs';
import {
  BOUNDS,
  Deployment,
  HOST_NAME,
  KEY,
  SERVICE,
  ZONES,
  createDesiredState,
  runCase,
} from '../lib-2/deployment.mjs';

const HAS_TROUBLE = process.env.TROUBLE !== '0';

const CYCLES = 6;

/** `core_cut` of the site: one machine for 5.5 s. */
const CUT_MS = 5_500;

/** The entry goes this long before the end of the cut. */
const LEAVES_BEFORE_MS = 1_000;

/** How long a replica that has left goes on: `drainMs` and "at times many seconds". */
const SERVES_ON_MS = 9_000;

const CYCLE_MS = 11_000;

const REQUEST_INTERVAL_MS = 25;

const record = new Record(new URL('record.txt', import.meta.url));

const { startedAt } = record;

const write = (text) => record.write(text);

async function play(cleanUp) {
  const deployment = new Deployment({ daemonCount: 3 });
  cleanUp.push(() => deployment.stop());
  const { store } = deployment;
  /** Which daemon took each request. */
  const takenBy = new Map();
  /** When the last cut of each daemon's link to the store ended; undefined while it is cut. */
  const healedAt = new Map();
  /** When the store accepted that a replica is gone. */
  const goneAt = new Map();
  const violations = [];
  let replicaCount = 0;

  const onArrival = ({ replica, attempt }) => {
    const now = Date.now();
    const daemon = takenBy.get(attempt);
    const gone = goneAt.get(replica);
    write(`arrival ${attempt} at ${replica} from ${daemon}`);
    const isInTouch =
      healedAt.get(daemon) !== undefined && now - healedAt.get(daemon) > BOUNDS.contactMs;
    if (gone !== undefined && now - gone > BOUNDS.drainMs) {
      const detail = `${attempt} reaches ${replica} ${now - gone} ms after it was gone, from ${daemon}`;
      write(`late: ${detail}${isInTouch ? '' : ', which is not in touch'}`);
      if (isInTouch) {
        violations.push(
          `${detail}, in touch since ${now - healedAt.get(daemon) - BOUNDS.contactMs} ms`,
        );
      }
    }
  };

  const addReplica = async () => {
    replicaCount += 1;
    const zone = ZONES[(replicaCount - 1) % ZONES.length];
    const replica = new Replica({
      id: `i-${replicaCount}`,
      service: SERVICE,
      zone,
      workMs: 30,
      onArrival,
    });
    await replica.listen();
    deployment.closing.push(() => replica.close());
    store.put('servers', replica.id, replica.entry());
    write(`replica ${replica.id} started`);
    return replica;
  };

  const replicas = [await addReplica(), await addReplica(), await addReplica()];
  if (!(await deployment.start(createDesiredState(7)))) {
    return { code: 2, text: 'a daemon did not get ready' };
  }
  deployment.daemons.forEach(({ name }) => healedAt.set(name, startedAt - 60_000));
  // Replicas check in again from time to time.
  const beats = setInterval(() => {
    replicas.forEach((replica) => {
      store.put('servers', replica.id, replica.checkIn());
    });
  }, 1_200);

  let answered = 0;
  let others = 0;
  let turn = 0;
  const traffic = setInterval(() => {
    turn += 1;
    const daemon = deployment.daemons[turn % deployment.daemons.length];
    const attempt = createAttemptId();
    takenBy.set(attempt, daemon.name);
    write(`sent ${attempt} to ${daemon.name}`);
    call({
      host: daemon.host,
      port: daemon.port,
      method: 'POST',
      target: `/lodge/${turn}`,
      headers: {
        Host: HOST_NAME,
        'X-Attempt-Id': attempt,
        'X-Deadline-Ms': 1_500,
        Authorization: `Bearer ${KEY}`,
      },
      body: 'a thesis',
      timeoutMs: 1_500,
    }).then(({ status, end }) => {
      write(`answer ${attempt} ${status ?? end}`);
      if (status === 200) {
        answered += 1;
      } else {
        others += 1;
      }
    });
  }, REQUEST_INTERVAL_MS);

  await sleep(4_000);
  for (let cycle = 0; cycle < CYCLES; cycle += 1) {
    const begin = Date.now();
    const index = cycle % deployment.daemons.length;
    const daemon = deployment.daemons[index];
    if (HAS_TROUBLE) {
      write(`${daemon.name} is cut off from the store`);
      healedAt.set(daemon.name, undefined);
      deployment.links[index].cut();
    }
    await sleep(CUT_MS - LEAVES_BEFORE_MS - 1_500);
    // The new replica starts first, then the old one leaves.
    const newReplica = await addReplica();
    await sleep(1_500);
    const old = replicas.shift();
    replicas.push(newReplica);
    store.remove('servers', old.id);
    goneAt.set(old.id, Date.now());
    write(`replica ${old.id} is gone from the store`);
    sleep(SERVES_ON_MS).then(() => old.close());
    await sleep(LEAVES_BEFORE_MS);
    if (HAS_TROUBLE) {
      deployment.links[index].heal();
      healedAt.set(daemon.name, Date.now());
      write(`${daemon.name} reaches the store again`);
    }
    await sleep(begin + CYCLE_MS - Date.now());
  }
  clearInterval(traffic);
  clearInterval(beats);
  await sleep(1_500);
  const total = `${answered} requests answered with 200, ${others} otherwise`;
  write(total);
  violations.forEach((violation) => write(`DRAIN broken: ${violation}`));
  return violations.length > 0
    ? {
        code: 1,
        text: `${total}; DRAIN broken ${violations.length} times; the first: ${violations[0]}`,
      }
    : { code: 0, text: `${total}; DRAIN held` };
}

await runCase(play, record);
