import { checkArtwork, createChat, HASTY, placeHold } from '../test/calls.js';
import { askChat } from '../test/chat.js';
import { getDecisions } from '../test/decisions.js';
import { Deployment } from '../test/Deployment.js';
import type { LineLog } from '../test/LineLog.js';
import { LocalDaemon } from '../test/LocalDaemon.js';

const FAST = ['--step-base', '2', '--step-per-request', '0', '--prefill-per-token', '0'];

const getEnds = (log: LineLog) => getDecisions(log, 'relay').map(({ end }) => end);

describe('connections that stop responding while new ones work', () => {
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

  // Guards against a draft that stalls forever. A device between daemon and engine loses track of
  // the connection, and neither side sees an error. A second answer on a newer connection to the
  // same engine must not be cut off, since the path is suspect and not the server.
  it('resumes an answer on a new connection without affecting another answer', async () => {
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

  // Guards against one check after another that runs into its timeout after a path was lost. Three
  // pooled connections stop responding while idle, and checks are sent on them one by one. When one
  // is found silent, the others in the pool must be replaced too.
  it('replaces the whole pool after one silent connection', async () => {
    const portal = await deployment.startProxiedBackend('portal');
    const { log, port } = await startDaemon();
    const check = () => checkArtwork(port, '17', { headers: HASTY });
    await portal.injectFault({ kind: 'stall' });
    const first = [check(), check(), check()];
    await portal.proxy.waitForConnections(3);
    await portal.injectFault({ kind: 'unstall' });
    await Promise.all(first);
    portal.proxy.silenceConnections();
    expect(await check()).toMatchObject({ status: 200 });
    const later = await Promise.all([check(), check(), check()]);
    expect(later.map(({ status }) => status)).toEqual([200, 200, 200]);
    expect(getEnds(log).filter((end) => end === 'broken')).toHaveLength(1);
  });

  // Guards against a hold that ends as `unknown` although the portal is healthy. A pooled
  // connection stops responding while idle, and the hold is the first request to use it. Requests
  // that are not repeatable must not use an untested connection.
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
