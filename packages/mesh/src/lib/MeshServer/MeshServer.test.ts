import { Client, credentials, status } from '@grpc/grpc-js';
import { reservePorts } from '@apricotrill/standins';
import { ManualClock } from '@apricotrill/utils';
import { once } from 'node:events';
import { createServer } from 'node:net';
import { Mesh } from '../Mesh/Mesh.js';
import { callMethod } from '../meshService.js';

const disposables: { dispose(): void }[] = [];

afterEach(() => disposables.splice(0).forEach((disposable) => disposable.dispose()));

function createMesh(port = 0): Mesh {
  const clock = new ManualClock();
  const mesh = new Mesh({ self: 'beta', host: '127.0.0.1', port, clock });
  disposables.push(mesh);
  return mesh;
}

/** Encodes the head of a CBOR text string with a 32-bit length, followed by its bytes. */
function getText(bytes: Buffer): Buffer {
  const head = Buffer.from([0x7a, 0, 0, 0, 0]);
  head.writeUInt32BE(bytes.length, 1);
  return Buffer.concat([head, bytes]);
}

/** Encodes an envelope with no body. */
function getEnvelope(topic: Buffer): Buffer {
  return Buffer.concat([
    Buffer.from([0x83]),
    getText(topic),
    getText(Buffer.from('a')),
    Buffer.from([0xf6]),
  ]);
}

/** Sends raw bytes to a mesh. @returns the status of the response; `OK` without an error */
function sendRaw(port: number, bytes: Buffer): Promise<status> {
  const client = new Client(`ipv4:127.0.0.1:${port}`, credentials.createInsecure());
  disposables.push({ dispose: () => client.close() });
  const { path, requestSerialize, responseDeserialize } = callMethod;
  return new Promise((resolve) => {
    client.makeUnaryRequest(path, requestSerialize, responseDeserialize, bytes, (error) =>
      resolve(error?.code ?? status.OK),
    );
  });
}

describe('MeshServer', () => {
  // Guards against a call without a response: text of an error that exceeds the limit of HTTP/2 headers.
  it('answers an unknown topic of any length', async () => {
    const port = await createMesh().listen();
    const topic = Buffer.alloc(1_000_000, 'x');
    expect(await sendRaw(port, getEnvelope(topic))).toBe(status.UNIMPLEMENTED);
  });

  // Guards against the end of the process: the text of a handler's error contains what a peer sent.
  it('answers with the error of a handler whose text cannot be encoded', async () => {
    const mesh = createMesh();
    mesh.handle('topic', () => {
      throw new Error('no such shard: \ud800');
    });
    const port = await mesh.listen();
    expect(await sendRaw(port, getEnvelope(Buffer.from('topic')))).toBe(status.UNKNOWN);
  });

  // Guards against a mesh that can't listen any more after its port was taken once.
  it('listens at a port that was taken at the first attempt', async () => {
    const [port] = (await reservePorts(1)) as [number];
    const holder = createServer().listen(port, '127.0.0.1');
    await once(holder, 'listening');
    const mesh = createMesh(port);
    mesh.handle('ping', () => 'pong');
    await expect(mesh.listen()).rejects.toMatchObject({ code: 'EADDRINUSE' });
    holder.close();
    await once(holder, 'close');
    expect(await mesh.listen()).toBe(port);
    expect(await createMesh().call(`127.0.0.1:${port}`, 'ping', null)).toBe('pong');
  });
});
