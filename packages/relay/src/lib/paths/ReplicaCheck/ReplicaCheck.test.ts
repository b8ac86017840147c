import { createServer as createHttpServer } from 'node:http';
import { createServer } from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';
import { reservePorts } from '@apricotrill/standins';
import { createReplica } from '../../../test/fixtures.js';
import { pathOptions } from '../pathOptions.js';
import { CheckResult, ReplicaCheck, isReached } from './ReplicaCheck.js';

const HOST = '127.0.0.1';

describe('ReplicaCheck', () => {
  const disposals: (() => void)[] = [];

  let mayCheck: boolean;
  let check: ReplicaCheck;

  beforeEach(() => {
    mayCheck = true;
    check = new ReplicaCheck({ getHealthPath: () => '/healthz', mayCheck: () => mayCheck });
  });

  afterEach(() => disposals.splice(0).forEach((dispose) => dispose()));

  async function listen(server: Server): Promise<string> {
    await new Promise<void>((resolve) => {
      server.listen(0, HOST, resolve);
    });
    disposals.push(() => server.close());
    return `${HOST}:${(server.address() as AddressInfo).port}`;
  }

  /** A server that accepts connections and sends nothing. @returns its address */
  function listenSilently(): Promise<string> {
    const sockets: Socket[] = [];
    disposals.push(() => sockets.forEach((socket) => socket.destroy()));
    return listen(createServer((socket) => sockets.push(socket)));
  }

  it('reaches a replica that responds', async () => {
    const address = await listen(createHttpServer((_request, response) => response.end()));
    expect(await check.run(createReplica('i-1', { address }))).toBe(CheckResult.Responds);
  });

  it('is certain that a replica is down if its port refuses connections', async () => {
    const [port] = await reservePorts(1);
    const replica = createReplica('i-1', { address: `${HOST}:${port}` });
    expect(await check.run(replica)).toBe(CheckResult.Refuses);
  });

  it('is not certain of a replica whose connection opens and carries nothing', async () => {
    const address = await listenSilently();
    expect(await check.run(createReplica('i-1', { address }))).toBe(CheckResult.Silent);
  });

  // Guards against a busy replica that counts as lost since its health check waits for a slot.
  it('reaches a replica that sends something over another connection meanwhile', async () => {
    const address = await listenSilently();
    const result = check.run(createReplica('i-1', { address }));
    const contact = setInterval(() => check.recordContact('i-1'), 1);
    expect(await result).toBe(CheckResult.Responds);
    clearInterval(contact);
  });

  // Guards against health checks beyond the limit that a replica states.
  it('sends no health check that the replica does not allow', async () => {
    mayCheck = false;
    const address = await listenSilently();
    expect(await check.run(createReplica('i-1', { address }))).toBe(CheckResult.Accepts);
  });

  // Guards against a sound replica that counts as out of reach since it allows few health checks.
  it('reaches a replica that allows no health check while it sends something else', async () => {
    mayCheck = false;
    const address = await listenSilently();
    const result = check.run(createReplica('i-1', { address }));
    check.recordContact('i-1');
    expect(await result).toBe(CheckResult.Responds);
  });

  // Guards against the failure of a check that began before the replica went on.
  it('checks anew although an earlier check has not ended', async () => {
    let isSilent = true;
    const address = await listen(
      createHttpServer((_request, response) => {
        if (!isSilent) {
          response.end();
        }
      }),
    );
    const replica = createReplica('i-1', { address });
    const earlier = check.run(replica);
    await new Promise((resolve) => {
      setTimeout(resolve, pathOptions.responseTimeout / 2);
    });
    isSilent = false;
    expect(await check.runAnew(replica)).toBe(CheckResult.Responds);
    expect(await earlier).toBe(CheckResult.Silent);
  });

  // Guards against a middlebox that accepts connections in place of a replica that allows no checks.
  it('is certain only if a replica responds or its port refuses connections', () => {
    const results = Object.values(CheckResult).map((result) => [result, isReached(result)]);
    expect(Object.fromEntries(results)).toEqual({
      responds: true,
      accepts: undefined,
      silent: undefined,
      refuses: false,
    });
  });
});
