import { once } from 'node:events';
import { Client, credentials, status } from '@grpc/grpc-js';
import { ManualClock } from '@apricotrill/utils';
import { MeshError, MeshFailure } from '../MeshError.js';
import { callMethod } from '../meshService.js';
import type { MeshOptions } from '../meshOptions.js';
import { FreezingRelay } from '../../test/FreezableProxy.js';
import { Mesh } from './Mesh.js';

const disposables: { dispose(): void }[] = [];

afterEach(() => disposables.splice(0).forEach((disposable) => disposable.dispose()));

async function createMesh(self: string, options: Partial<MeshOptions> = {}) {
  const clock = new ManualClock();
  const mesh = new Mesh({ self, host: '127.0.0.1', port: 0, clock, options });
  disposables.push(mesh);
  const address = `127.0.0.1:${await mesh.listen()}`;
  return { mesh, clock, address };
}

async function createRelay(address: string) {
  const relay = new FreezingRelay();
  disposables.push(relay);
  const port = await relay.listen(Number(address.split(':')[1]));
  return { relay, address: `127.0.0.1:${port}` };
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
  it('carries typed bodies with topic and sender, and counts their bytes by topic', async () => {
    const alpha = await createMesh('alpha');
    const beta = await createMesh('beta');
    beta.mesh.handle('double', (message, { from }) => ({ from, twice: Number(message) * 2 }));
    expect(await alpha.mesh.call(beta.address, 'double', 21)).toEqual({ from: 'alpha', twice: 42 });
    const sent = alpha.mesh.traffic.getTopic('double');
    const taken = beta.mesh.traffic.getTopic('double');
    expect(sent).toMatchObject({ messagesIn: 1, messagesOut: 1 });
    expect([sent.bytesOut, sent.bytesIn]).toEqual([taken.bytesIn, taken.bytesOut]);
    expect(sent.bytesOut).toBeGreaterThan('double'.length + 'alpha'.length);
  });

  it('tells refusals, handler failures and unreachable peers apart, with step and peer', async () => {
    const alpha = await createMesh('alpha', { messageBytes: 1000 });
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

  it('refuses bytes that are no envelope and goes on', async () => {
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
    // Symptom: every call to a healthy peer times out, for good.
    // Sequence: a call is answered; a middlebox forgets the connection; the next call gets nothing
    // back and times out; the one after that is sent.
    // Cause: the channel keeps using the connection that nothing comes back on.
    const alpha = await createMesh('alpha');
    const beta = await createMesh('beta');
    beta.mesh.handle('ping', () => 'pong');
    const { relay, address } = await createRelay(beta.address);
    await alpha.mesh.call(address, 'ping', null);
    relay.freeze();
    const lost = getFailure(alpha.mesh.call(address, 'ping', null, { timeout: 500 }));
    await once(relay, 'swallowed');
    const closed = once(relay, 'closed');
    alpha.clock.advance(500);
    expect((await lost).failure).toBe(MeshFailure.Timeout);
    await closed;
    expect(await alpha.mesh.call(address, 'ping', null)).toBe('pong');
    expect(relay.accepted).toBe(2);
  });

  it('keeps the connection when only one handler is slow', async () => {
    const alpha = await createMesh('alpha');
    const beta = await createMesh('beta');
    beta.mesh.handle('ping', () => 'pong');
    const { relay, address } = await createRelay(beta.address);
    const reached = new Promise<void>((resolve) => {
      beta.mesh.handle('slow', () => {
        resolve();
        return new Promise(() => {});
      });
    });
    const slow = getFailure(alpha.mesh.call(address, 'slow', null, { timeout: 500 }));
    await reached;
    await alpha.mesh.call(address, 'ping', null);
    alpha.clock.advance(500);
    expect((await slow).failure).toBe(MeshFailure.Timeout);
    await alpha.mesh.call(address, 'ping', null);
    expect(relay.accepted).toBe(1);
  });

  it('notices a silent connection by pings while a long call waits', async () => {
    // Symptom: a call with a long timeout hangs for all of it although the path is gone.
    // Sequence: the call is sent; the connection goes silent; nothing comes back.
    // Cause: TCP alone doesn't notice a peer that no longer answers.
    const alpha = await createMesh('alpha', { keepaliveInterval: 20, keepaliveTimeout: 20 });
    const beta = await createMesh('beta');
    beta.mesh.handle('ping', () => 'pong');
    const { relay, address } = await createRelay(beta.address);
    await alpha.mesh.call(address, 'ping', null);
    relay.freeze();
    const lost = await getFailure(alpha.mesh.call(address, 'ping', null, { timeout: 60_000 }));
    expect(lost.failure).toBe(MeshFailure.Unreachable);
    expect(await alpha.mesh.call(address, 'ping', null)).toBe('pong');
  });

  it('connects at once to a peer that came back at its address', async () => {
    // Symptom: a restarted daemon looks dead to its peers for minutes.
    // Sequence: calls fail while the peer is away; the peer comes back; the next call is sent.
    // Cause: gRPC waits longer after each failed attempt to connect.
    const alpha = await createMesh('alpha');
    const beta = await createMesh('beta');
    beta.mesh.dispose();
    await getFailure(alpha.mesh.call(beta.address, 'ping', null));
    await getFailure(alpha.mesh.call(beta.address, 'ping', null));
    const port = Number(beta.address.split(':')[1]);
    const again = new Mesh({ self: 'beta', host: '127.0.0.1', port, clock: beta.clock });
    disposables.push(again);
    again.handle('ping', () => 'pong');
    await again.listen();
    expect(await alpha.mesh.call(beta.address, 'ping', null)).toBe('pong');
  });

  it('keeps no more channels than allowed, and closes the least recently used', async () => {
    const alpha = await createMesh('alpha', { channels: 2 });
    const peers = await Promise.all(['a', 'b', 'c'].map((self) => createMesh(self)));
    const relays = await Promise.all(peers.map(({ address }) => createRelay(address)));
    peers.forEach(({ mesh }) => mesh.handle('ping', () => 'pong'));
    const order = [0, 1, 0, 2, 0];
    await order.reduce<Promise<unknown>>(
      (before, index) => before.then(() => alpha.mesh.call(relays[index]!.address, 'ping', null)),
      Promise.resolve(),
    );
    expect(alpha.mesh.channelCount).toBe(2);
    expect(relays.map(({ relay }) => relay.accepted)).toEqual([1, 1, 1]);
    await alpha.mesh.call(relays[1]!.address, 'ping', null);
    expect(relays[1]!.relay.accepted).toBe(2);
  });

  it('ends calls in flight when disposed, and takes no more', async () => {
    const alpha = await createMesh('alpha');
    const beta = await createMesh('beta');
    const reached = new Promise<void>((resolve) => {
      beta.mesh.handle('slow', () => {
        resolve();
        return new Promise(() => {});
      });
    });
    const slow = getFailure(alpha.mesh.call(beta.address, 'slow', null));
    await reached;
    alpha.mesh.dispose();
    expect((await slow).failure).toBe(MeshFailure.Disposed);
    const late = await getFailure(alpha.mesh.call(beta.address, 'slow', null));
    expect(late.failure).toBe(MeshFailure.Disposed);
  });
});
