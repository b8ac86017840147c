import { reservePorts } from '@apricotrill/standins';
import { ManualClock } from '@apricotrill/utils';
import { Agent } from 'undici';
import { HttpClient } from '../../http/HttpClient.js';
import { PeerServer } from '../../peers/PeerServer/PeerServer.js';
import { throwFault } from '../../../test/throwFault.js';
import { createPeerReader } from '../createPeerReader.js';
import { SharedObjects } from '../SharedObjects/SharedObjects.js';
import { OBJECTS_PATH, ObjectServer } from './ObjectServer.js';

/** A configuration with many routes, as one object. */
const LARGE = Array.from({ length: 1_700 }, (_item, index) => ({
  name: `r-${index}`,
  host: 'a.example',
  pathPrefix: `/path-${index}/`,
  timeout: 5_000,
}));

const HOST = '127.0.0.1';

describe('ObjectServer', () => {
  const server = new ObjectServer({
    log: () => undefined,
    maxWait: 1_000,
    onRequest: () => undefined,
  });

  const peerServer = new PeerServer(throwFault);

  const client = new HttpClient();

  const agent = new Agent();

  afterAll(async () => {
    server.dispose();
    peerServer.dispose();
    await client.dispose();
    await agent.destroy();
  });

  // Guards against a large configuration that takes seconds to transfer from a reader to its group.
  it('compresses a large state to less than a tenth of its size', async () => {
    const objects = new SharedObjects<unknown>(
      new ManualClock(),
      'epoch',
      () => ({ era: 2, revision: 7 }),
      () => 40,
    );
    objects.update(new Map([['main', LARGE]]));
    server.add('configuration', objects);
    const [port] = await reservePorts(1);
    peerServer.addHandler(OBJECTS_PATH, server.handler);
    await peerServer.listen(HOST, port!);
    const address = `${HOST}:${port}`;
    const read = createPeerReader(client, 'configuration');
    const peer = { id: 'd-1', address, availabilityZone: 'a' };
    const result = await read(peer, { since: '', wait: 0 }, new AbortController().signal);
    expect(result).toMatchObject({ kind: 'state', state: { era: 2, revision: 7, isWhole: true } });
    expect(result.kind === 'state' && result.state.changes).toEqual([['main', LARGE]]);
    expect(result.kind === 'state' && result.age).toBeGreaterThanOrEqual(40);
    const { body } = await agent.request({
      origin: `http://${address}`,
      path: `${OBJECTS_PATH}/configuration?since=&wait=0`,
      method: 'GET',
      headers: { 'accept-encoding': 'gzip' },
    });
    const { byteLength } = await body.arrayBuffer();
    expect(byteLength).toBeLessThan(JSON.stringify(LARGE).length / 10);
  });

  // Guards against a reader that is busy for as many times a state's size as its group has daemons.
  it('serializes a state once for all daemons that request it', async () => {
    let serialized = 0;
    const item = (value: number) => ({
      toJSON: () => {
        serialized += 1;
        return value;
      },
    });
    const objects = new SharedObjects<unknown>(
      new ManualClock(),
      'epoch',
      () => ({ revision: 7 }),
      () => 0,
    );
    objects.update(new Map([['main', item(1)]]));
    server.add('items', objects);
    const [port] = await reservePorts(1);
    const ownServer = new PeerServer(throwFault);
    ownServer.addHandler(OBJECTS_PATH, server.handler);
    await ownServer.listen(HOST, port!);
    const read = createPeerReader<number>(client, 'items');
    const peer = { id: 'd-1', address: `${HOST}:${port}`, availabilityZone: 'a' };
    const readAll = (since: string) =>
      Promise.all(
        Array.from({ length: 10 }, () =>
          read(peer, { since, wait: 0 }, new AbortController().signal),
        ),
      );
    const first = await readAll('');
    expect(serialized).toBe(1);
    objects.update(new Map([['main', item(2)]]));
    const second = await readAll('epoch.1');
    expect(serialized).toBe(2);
    const getValues = (results: typeof first) =>
      results.map((result) => result.kind === 'state' && result.state.changes);
    expect(getValues(first)).toEqual(Array.from({ length: 10 }, () => [['main', 1]]));
    expect(getValues(second)).toEqual(Array.from({ length: 10 }, () => [['main', 2]]));
    ownServer.dispose();
  });
});
