import type { KeySource } from '@apricotrill/keys';
import type { Clock, Milliseconds } from '@apricotrill/utils';
import { KeyProvider } from '../KeyProvider/KeyProvider.js';
import { decodeResponse, encodeEnvelope } from '../codec.js';
import { MeshClient } from '../MeshClient/MeshClient.js';
import type { MeshOptions } from '../meshOptions.js';
import { defaultMeshOptions } from '../meshOptions.js';
import type { MeshHandler } from '../MeshServer/MeshServer.js';
import { MeshServer } from '../MeshServer/MeshServer.js';
import { TrafficCounters } from '../TrafficCounters/TrafficCounters.js';

/**
 * Constructor arguments of a mesh.
 *
 * @public
 */
export interface MeshSettings {
  /** This daemon's id, sent with every message. */
  self: string;
  /** The IP address to listen on. */
  host: string;
  /** The port to listen on; 0 lets the operating system choose one. */
  port: number;
  clock: Clock;
  /** The keys for mutual TLS; connections are unencrypted when absent. */
  keys?: KeySource;
  options?: Partial<MeshOptions>;
  /** Called with errors of sending a response and of accepting connections, which the mesh survives. */
  onFault?: (error: unknown) => void;
}

/**
 * Messaging between daemons over one unary gRPC method, whose messages contain a topic, the sender's
 * id and a CBOR body. Owns the listening socket and the channels to peers.
 *
 * @example
 * ```ts
 * const mesh = new Mesh({ self: 'daemon-1', host: '127.0.0.1', port: 7101, clock });
 * mesh.handle('ping', (message, { from }) => ({ from, message }));
 * await mesh.listen();
 * const response = await mesh.call('127.0.0.1:7102', 'ping', { count: 1 }, { timeout: 500 });
 * ```
 * @public
 */
export class Mesh {
  /** Sent and received bytes and messages by topic. */
  readonly traffic = new TrafficCounters();

  private readonly self: string;

  private readonly options: MeshOptions;

  private readonly client: MeshClient;

  private readonly server: MeshServer;

  private readonly provider: KeyProvider | undefined;

  constructor({ self, host, port, clock, keys, options, onFault }: MeshSettings) {
    this.self = self;
    this.options = { ...defaultMeshOptions, ...options };
    this.provider = keys && new KeyProvider(keys);
    this.client = new MeshClient(clock, this.options, this.provider);
    this.server = new MeshServer({
      host,
      port,
      options: this.options,
      traffic: this.traffic,
      provider: this.provider,
      onFault: onFault ?? (() => undefined),
    });
  }

  /** How many channels to peers are open. */
  get channelCount(): number {
    return this.client.channelCount;
  }

  /**
   * Makes one attempt to listen; after a failure, another one can be made.
   *
   * @returns the port, which is of use if the operating system chose it
   * @throws the error of the system, such as `EADDRINUSE`
   */
  listen(): Promise<number> {
    return this.server.listen();
  }

  /**
   * Registers the handler of a topic. If the handler throws, the caller gets a `MeshError` with
   * `MeshFailure.HandlerFailed` and the message of the error.
   */
  handle(topic: string, handler: MeshHandler): void {
    this.server.handle(topic, handler);
  }

  /**
   * Calls a peer's handler and waits for its response. The mesh never retries a call. The response
   * comes from another process and must be validated before use.
   *
   * @param address - IP address and port of the peer
   * @param timeout - maximum time until the response, including the time to connect
   * @throws MeshError when there was no response; its `failure` states the reason
   * @example
   * ```ts
   * const ack = await mesh.call(peer.address, 'gossip', message, { timeout: 500 });
   * ```
   */
  async call(
    address: string,
    topic: string,
    message: unknown,
    { timeout = this.options.callTimeout }: { timeout?: Milliseconds } = {},
  ): Promise<unknown> {
    const bytes = encodeEnvelope({ topic, from: this.self, body: message });
    this.traffic.countOut(topic, bytes.length);
    const response = await this.client.send(address, topic, bytes, timeout);
    this.traffic.countIn(topic, response.length);
    return decodeResponse(response);
  }

  /** Stops listening, closes every channel and fails the calls in flight. */
  dispose(): void {
    this.client.dispose();
    this.server.dispose();
    this.provider?.dispose();
  }
}
