import { once } from 'node:events';
import { setTimeout as wait } from 'node:timers/promises';
import { Client, credentials, status } from '@grpc/grpc-js';
import { reservePorts } from '@apricotrill/standins';
import { ManualClock } from '@apricotrill/utils';
import { MeshError, MeshFailure } from '../MeshError.js';
import { callMethod } from '../meshService.js';
import type { MeshOptions } from '../meshOptions.js';
import { FreezableProxy } from '../../test/FreezableProxy.js';
import { Mesh } from './Mesh.js';

/** Duration of a handler that outlasts several pings, in milliseconds. */
const SLOW_HANDLER_TIME = 300;

const disposables: { dispose(): void }[] = [];

afterEach(() => disposables.splice(0).forEach((disposable) => disposable.dispose()));

async function createMesh(self: string, options: Partial<MeshOptions> = {}, port = 0) {
  const clock = new ManualClock();
  const mesh = new Mesh({ self, host: '127.0.0.1', port, clock, options });
  disposables.push(mesh);
  const address = `127.0.0.1:${await mesh.listen()}`;
  return { mesh, clock, address };
}

async function createProxy(address: string) {
  const proxy = new FreezableProxy();
  disposables.push(proxy);
  const port = await proxy.listen(Number(address.split(':')[1]));
  return { proxy, address: `127.0.0.1:${port}` };
}

async function getFailure(call: Promise<unknown>) {
  const error = await call.then(
    () => undefined,
    (reason: unknown) => reason,
  );
  expect(error).toBeInstanceOf(MeshError);
  return error as MeshError;
}

describe('Mesh', () => {
  it('delivers typed bodies with topic and sender, and counts their bytes by topic', async () => {
    const alpha = await createMesh('alpha');
    const beta = await createMesh('beta');
    beta.mesh.handle('double', (message, { from }) => ({ from, doubled: Number(message) * 2 }));
    expect(await alpha.mesh.call(beta.address, 'double', 21)).toEqual({
      from: 'alpha',
      doubled: 42,
    });
    const sent = alpha.mesh.traffic.getTopic('double');
    const received = beta.mesh.traffic.getTopic('double');
    expect(sent).toMatchObject({ messagesIn: 1, messagesOut: 1 });
    expect([sent.bytesOut, sent.bytesIn]).toEqual([received.bytesIn, received.bytesOut]);
    expect(sent.bytesOut).toBeGreaterThan('double'.length + 'alpha'.length);
  });

  it('distinguishes rejections, handler failures and unreachable peers, with step and peer', async () => {
    const alpha = await createMesh('alpha', { maxMessageBytes: 1000 });
    const beta = await createMesh('beta');
    beta.mesh.handle('throw', () => {
      throw new Error('no such shard');
    });
    const failed = await getFailure(alpha.mesh.call(beta.address, 'throw', null));
    expect(failed).toMatchObject({ failure: MeshFailure.HandlerFailed, peer: beta.address });
    expect(failed.message).toContain('no such shard');
    const failures = await Promise.all(
      [
        alpha.mesh.call(beta.address, 'unknown', null),
        alpha.mesh.call(beta.address, 'throw', 'x'.repeat(1001)),
        alpha.mesh.call('localhost:80', 'throw', null),
        alpha.mesh.call('127.0.0.1:1', 'throw', null),
      ].map(getFailure),
    );
    expect(failures.map(({ failure }) => failure)).toEqual([
      MeshFailure.Refused,
      MeshFailure.Refused,
      MeshFailure.Refused,
      MeshFailure.Unreachable,
    ]);
    expect(failures[0]!.step).toBe('mesh-call unknown');
  });

  it('rejects bytes that are not a valid envelope', async () => {
    const beta = await createMesh('beta');
    const client = new Client(`ipv4:${beta.address}`, credentials.createInsecure());
    disposables.push({ dispose: () => client.close() });
    const { path, requestSerialize, responseDeserialize } = callMethod;
    const sendRaw = (bytes: Buffer) =>
      new Promise<number | undefined>((resolve) => {
        client.makeUnaryRequest(path, requestSerialize, responseDeserialize, bytes, (error) =>
          resolve(error?.code),
        );
      });
    const truncated = Buffer.from([0x83, 0x64, 0x70]);
    const notStrings = Buffer.from([0x83, 1, 2, 3]);
    const codes = await Promise.all([Buffer.alloc(0), truncated, notStrings].map(sendRaw));
    expect(codes).toEqual(Array(3).fill(status.INVALID_ARGUMENT));
  });

  it('replaces a silent connection', async () => {
    // All calls to a healthy peer timed out forever: a middlebox had lost the state of the
    // connection, and the channel kept using it although nothing was received on it any more.
    const alpha = await createMesh('alpha');
    const beta = await createMesh('beta');
    beta.mesh.handle('ping', () => 'pong');
    const { proxy, address } = await createProxy(beta.address);
    await alpha.mesh.call(address, 'ping', null);
    proxy.freeze();
    const lost = getFailure(alpha.mesh.call(address, 'ping', null, { timeout: 500 }));
    await once(proxy, 'dropped');
    const closed = once(proxy, 'closed');
    alpha.clock.advance(500);
    expect((await lost).failure).toBe(MeshFailure.Timeout);
    await closed;
    expect(await alpha.mesh.call(address, 'ping', null)).toBe('pong');
    expect(proxy.acceptedConnections).toBe(2);
  });

  it('keeps the connection when only one handler is slow', async () => {
    const alpha = await createMesh('alpha');
    const beta = await createMesh('beta');
    beta.mesh.handle('ping', () => 'pong');
    const { proxy, address } = await createProxy(beta.address);
    const started = new Promise<void>((resolve) => {
      beta.mesh.handle('slow', () => {
        resolve();
        return new Promise(() => {});
      });
    });
    const slow = getFailure(alpha.mesh.call(address, 'slow', null, { timeout: 500 }));
    await started;
    await alpha.mesh.call(address, 'ping', null);
    alpha.clock.advance(500);
    expect((await slow).failure).toBe(MeshFailure.Timeout);
    await alpha.mesh.call(address, 'ping', null);
    expect(proxy.acceptedConnections).toBe(1);
  });

  it('detects a silent connection by pings while a call with a long timeout waits', async () => {
    // A call with a long timeout waited for all of it after its connection had become silent,
    // because TCP alone does not detect a peer that no longer responds.
    const alpha = await createMesh('alpha', { keepaliveInterval: 20, keepaliveTimeout: 500 });
    const beta = await createMesh('beta');
    beta.mesh.handle('ping', () => 'pong');
    beta.mesh.handle('slow', () => wait(SLOW_HANDLER_TIME, 'pong'));
    const { proxy, address } = await createProxy(beta.address);
    await alpha.mesh.call(address, 'ping', null);
    proxy.freeze();
    const lost = await getFailure(alpha.mesh.call(address, 'ping', null, { timeout: 60_000 }));
    expect(lost.failure).toBe(MeshFailure.Unreachable);
    expect(await alpha.mesh.call(address, 'ping', null)).toBe('pong');
    // Several pings are due while this call waits on the new connection.
    expect(await alpha.mesh.call(address, 'slow', null)).toBe('pong');
  });

  it('connects immediately to a peer that restarted at the same address', async () => {
    // A restarted daemon was unreachable for its peers for minutes: calls had failed while it was
    // down, and gRPC increases its backoff after each failed attempt to connect.
    const alpha = await createMesh('alpha');
    const [port] = (await reservePorts(1)) as [number];
    const beta = await createMesh('beta', {}, port);
    beta.mesh.dispose();
    await getFailure(alpha.mesh.call(beta.address, 'ping', null));
    await getFailure(alpha.mesh.call(beta.address, 'ping', null));
    const again = new Mesh({ self: 'beta', host: '127.0.0.1', port, clock: beta.clock });
    disposables.push(again);
    again.handle('ping', () => 'pong');
    await again.listen();
    expect(await alpha.mesh.call(beta.address, 'ping', null)).toBe('pong');
  });

  it('limits the number of channels and closes the least recently used one', async () => {
    const alpha = await createMesh('alpha', { maxChannels: 2 });
    const peers = await Promise.all(['a', 'b', 'c'].map((self) => createMesh(self)));
    const proxies = await Promise.all(peers.map(({ address }) => createProxy(address)));
    peers.forEach(({ mesh }) => mesh.handle('ping', () => 'pong'));
    const order = [0, 1, 0, 2, 0];
    await order.reduce<Promise<unknown>>(
      (before, index) => before.then(() => alpha.mesh.call(proxies[index]!.address, 'ping', null)),
      Promise.resolve(),
    );
    expect(alpha.mesh.channelCount).toBe(2);
    expect(proxies.map(({ proxy }) => proxy.acceptedConnections)).toEqual([1, 1, 1]);
    await alpha.mesh.call(proxies[1]!.address, 'ping', null);
    expect(proxies[1]!.proxy.acceptedConnections).toBe(2);
  });

  it('fails calls in flight when disposed, and rejects later ones', async () => {
    const alpha = await createMesh('alpha');
    const beta = await createMesh('beta');
    const started = new Promise<void>((resolve) => {
      beta.mesh.handle('slow', () => {
        resolve();
        return new Promise(() => {});
      });
    });
    const slow = getFailure(alpha.mesh.call(beta.address, 'slow', null));
    await started;
    alpha.mesh.dispose();
    expect((await slow).failure).toBe(MeshFailure.Disposed);
    const late = await getFailure(alpha.mesh.call(beta.address, 'slow', null));
    expect(late.failure).toBe(MeshFailure.Disposed);
  });
});
