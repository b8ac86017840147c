import { checkArtwork, createChat, HASTY, placeHold } from '../test/calls.js';
import { askChat } from '../test/chat.js';
import { getDecisions } from '../test/decisions.js';
import { Deployment } from '../test/Deployment.js';
import type { LineLog } from '../test/LineLog.js';
import { LocalDaemon } from '../test/LocalDaemon.js';

const FAST = ['--step-base', '2', '--step-per-request', '0', '--prefill-per-token', '0'];

const getEnds = (log: LineLog) => getDecisions(log, 'relay').map(({ end }) => end);

describe('connections that go silent while new ones work', () => {
  let deployment: Deployment;
  const daemons: LocalDaemon[] = [];

  beforeEach(async () => {
    deployment = new Deployment();
    await deployment.prepare();
  });

  afterEach(async () => {
    await Promise.all(daemons.splice(0).map((daemon) => daemon.dispose()));
    await deployment.dispose();
  });

  async function startDaemon(): Promise<LocalDaemon> {
    const daemon = await LocalDaemon.start(deployment);
    daemons.push(daemon);
    return daemon;
  }

  // Symptom: a draft stands still in the middle, for ever. Sequence: something between daemon and
  // engine loses track of the connection; neither side sees an error. Cause: only errors were
  // taken for the end of a connection. And a second answer on a younger connection to the same
  // engine must not be cut off for it: the path is suspect, not the server.
  it('goes on over a new connection, and leaves its neighbour alone', async () => {
    const engine = await deployment.startProxiedBackend('engines', FAST);
    const { log, port } = await startDaemon();
    const silent = createChat(port, 40);
    const neighbour = createChat(port, 2500);
    let neighbouring: ReturnType<typeof askChat> | undefined;
    const onToken = (count: number) => {
      if (count === 10) {
        engine.proxy.silenceConnections();
        neighbouring = askChat(neighbour.chatRequest);
      }
    };
    const answer = await askChat({ ...silent.chatRequest, headers: HASTY, onToken });
    expect(answer).toMatchObject({ status: 200, whole: true, tokens: silent.expected });
    expect((await neighbouring)?.tokens).toEqual(neighbour.expected);
    expect(getEnds(log)).toEqual(['broken', 'completed', 'completed']);
  });

  // Symptom: after a path was lost, one check after another runs into its time limit. Sequence:
  // three pooled connections go silent while idle, checks are sent on them one by one. Cause: the
  // pool kept the neighbours of a connection that had been found silent.
  it('replaces the whole pool after one silent connection', async () => {
    const portal = await deployment.startProxiedBackend('portal');
    const { log, port } = await startDaemon();
    const check = () => checkArtwork(port, '17', { headers: HASTY });
    await portal.injectFault({ kind: 'stall' });
    const first = [check(), check(), check()];
    await portal.proxy.waitForCount(3);
    await portal.injectFault({ kind: 'unstall' });
    await Promise.all(first);
    portal.proxy.silenceConnections();
    expect(await check()).toMatchObject({ status: 200 });
    const later = await Promise.all([check(), check(), check()]);
    expect(later.map(({ status }) => status)).toEqual([200, 200, 200]);
    expect(getEnds(log).filter((end) => end === 'broken')).toHaveLength(1);
  });

  // Symptom: a hold ends as `unknown` although the portal is well. Sequence: a pooled connection
  // goes silent while idle, and the hold is the first to use it. Cause: what may not be repeated
  // was sent on a connection nobody had proved.
  it('never sends a hold on a connection that was idle', async () => {
    const portal = await deployment.startProxiedBackend('portal');
    const { log, port } = await startDaemon();
    await checkArtwork(port, '17');
    portal.proxy.silenceConnections();
    expect(await placeHold(port, 'hold-1')).toMatchObject({ status: 200 });
    expect(getEnds(log)).toEqual(['completed', 'completed']);
    const runs = await portal.getRuns();
    expect(runs.filter(({ idempotencyKey }) => idempotencyKey === 'hold-1')).toHaveLength(1);
  });
});
