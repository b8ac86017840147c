import { connect } from 'node:net';
import { Balancer } from '../test/Balancer.js';
import { Fleet } from '../test/Fleet.js';
import { FleetCaller, describeResult, isAnswered } from '../test/FleetCaller.js';
import type { CallResult } from '../test/FleetCaller.js';
import { waitForDecision } from '../test/decisions.js';
import type { FleetDaemon } from '../test/FleetDaemon.js';
import { Binary, Subprocess } from '../test/Subprocess.js';
import { SHARDS, createKey, startShards } from '../test/shards.js';

/** Long enough for nine daemons, each with its notice to the load balancer. */
const TEST_TIMEOUT_MS = 240_000;

const CALLERS = 8;

/** A call of the load and the daemon that received it. */
interface SentCall {
  entry: FleetDaemon;
  answer: CallResult;
}

describe('restarts of nine daemons', () => {
  const fleet = new Fleet();
  const caller = new FleetCaller();

  beforeAll(async () => {
    await fleet.prepare();
    // Slow enough for streams that outlast the notice to the load balancer.
    const engine = ['--step-base', '40', '--step-per-request', '0', '--slots', '32'];
    await fleet.backends.startBackend('engines', engine);
    await fleet.backends.startBackend('engines', engine);
    await fleet.backends.startBackend('portal');
    await fleet.start(9);
    await startShards(fleet.daemons, caller);
  }, TEST_TIMEOUT_MS);

  afterEach(async () => {
    expect(await fleet.checkHistory(caller.calls)).toEqual([]);
  });

  afterAll(() => fleet.dispose());

  /** Sends calls of every kind, one after another, until the load is over. */
  async function sendCalls(balancer: Balancer, place: number, load: { isOver: boolean }) {
    const sent: SentCall[] = [];
    const send = async (call: (entry: FleetDaemon) => Promise<CallResult>) => {
      const entry = await balancer.pick();
      sent.push({ entry, answer: await call(entry) });
    };
    while (!load.isOver) {
      const key = createKey((place + sent.length) % SHARDS);
      // Sequential, since each caller has one call at a time.
      // eslint-disable-next-line no-await-in-loop
      await send((entry) => caller.placeHold(entry, key));
      // eslint-disable-next-line no-await-in-loop
      await send((entry) => caller.checkArtwork(entry, key));
      // eslint-disable-next-line no-await-in-loop
      await send((entry) => caller.chat(entry, 20));
    }
    return sent;
  }

  /** Keeps the fleet under load until the work is done. @returns all calls of the load */
  async function runUnderLoad(work: () => Promise<void>): Promise<SentCall[]> {
    const balancer = new Balancer(fleet.daemons);
    const load = { isOver: false };
    const callers = Array.from({ length: CALLERS }, (_, place) => sendCalls(balancer, place, load));
    await work();
    load.isOver = true;
    return (await Promise.all(callers)).flat();
  }

  // Guards against callers that lose streams, and holds that are refused or run twice, at each
  // release. All daemons are restarted in turn under load. A daemon must not stop before the load
  // balancer knows, cut off requests in flight, or leave its shards to a takeover as after a crash.
  it(
    'do not lose, repeat or cut off any call when all daemons restart in turn under load',
    async () => {
      const codes: (number | string)[] = [];
      const sent = await runUnderLoad(async () => {
        for (const daemon of fleet.daemons) {
          // Sequential, as in a rolling restart by operators.
          // eslint-disable-next-line no-await-in-loop
          codes.push(await daemon.stop());
          // eslint-disable-next-line no-await-in-loop
          await daemon.start();
          // eslint-disable-next-line no-await-in-loop
          await daemon.waitUntilReady();
        }
      });
      expect(codes).toEqual(fleet.daemons.map(() => 0));
      const failed = sent.filter(({ answer }) => !isAnswered(answer));
      expect(failed.map(({ entry, answer }) => `${entry.id}: ${describeResult(answer)}`)).toEqual(
        [],
      );
      expect(sent.length).toBeGreaterThan(CALLERS * fleet.daemons.length);
    },
    TEST_TIMEOUT_MS,
  );

  // Guards against a long answer that is cut off at a release. The daemon is told to stop during a
  // stream that lasts longer than its notice to the load balancer.
  it(
    'wait for the longest answer, but not for idle connections',
    async () => {
      const [daemon] = fleet.daemons as [FleetDaemon];
      const idle = connect(daemon.port, '127.0.0.1');
      idle.on('error', () => undefined);
      let stopped: Promise<number | string> | undefined;
      const answer = await caller.chat(daemon, 120, {
        onToken: (count) => {
          if (count === 5) {
            stopped = daemon.stop();
          }
        },
      });
      expect(describeResult(answer)).toBe('answered');
      expect(await stopped).toBe(0);
      await daemon.start();
      await fleet.waitUntilJoined();
    },
    TEST_TIMEOUT_MS,
  );

  // Guards against the crash of one daemon affecting callers of others. One daemon is killed under
  // load, and disconnected callers repeat their requests. No shared state may depend on the killed
  // daemon alone.
  it(
    'disconnect only callers of the daemon that is killed',
    async () => {
      const [daemon] = fleet.daemons as [FleetDaemon];
      const sent = await runUnderLoad(async () => {
        await daemon.waitForDecision('choose');
        await daemon.kill();
        await daemon.start();
        await daemon.waitUntilReady();
      });
      const cut = sent.filter(({ answer }) => answer.end.kind === 'cut');
      expect(cut.filter(({ entry }) => entry !== daemon)).toEqual([]);
      await Promise.all(
        cut.map(async ({ answer: { key } }) => {
          const again = key === undefined ? caller.chat(fleet.daemons[1]!, 20) : undefined;
          expect(again === undefined || isAnswered(await again)).toBe(true);
        }),
      );
    },
    TEST_TIMEOUT_MS,
  );

  // Guards against a second process of a daemon that ends again and again, or that disturbs the first one.
  it('let a process wait whose ports another one holds', async () => {
    const first = fleet.daemons[0]!;
    const second = new Subprocess(Binary.Router, first.args);
    await waitForDecision(second.log, 'daemon', ({ event }) => event === 'port-unavailable');
    expect(describeResult(await caller.chat(first, 20))).toBe('answered');
    second.signal('SIGTERM');
    expect(await second.exited).toBe(0);
    expect(describeResult(await caller.chat(first, 20))).toBe('answered');
  });
});
