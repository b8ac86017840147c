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
 * What a mesh is made of.
 *
 * @public
 */
export interface MeshSettings {
  /** This daemon's id, told to every peer it calls. */
  self: string;
  /** The IP number to listen at. */
  host: string;
  /** The port to listen at; 0 lets the machine choose. */
  port: number;
  clock: Clock;
  /** The keys for TLS, both ways; plain connections when absent. */
  keys?: KeySource;
  options?: Partial<MeshOptions>;
}

/**
 * Messages between daemons: one unary gRPC method that carries a topic, the sender's id and a
 * CBOR body. Owns the listening socket and the channels to peers.
 *
 * @example
 * ```ts
 * const mesh = new Mesh({ self: 'daemon-1', host: '127.0.0.1', port: 7101, clock });
 * mesh.handle('ping', (message, { from }) => ({ from, message }));
 * await mesh.listen();
 * const answer = await mesh.call('127.0.0.1:7102', 'ping', { count: 1 }, { timeout: 500 });
 * ```
 * @public
 */
export class Mesh {
  /** Bytes and messages by topic. */
  readonly traffic = new TrafficCounters();

  private readonly self: string;

  private readonly options: MeshOptions;

  private readonly client: MeshClient;

  private readonly server: MeshServer;

  private readonly provider: KeyProvider | undefined;

  constructor({ self, host, port, clock, keys, options }: MeshSettings) {
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
    });
  }

  /** How many channels to peers are open. */
  get channelCount(): number {
    return this.client.channelCount;
  }

  /**
   * Starts to listen.
   *
   * @returns the port, for when the machine chose it
   * @throws MeshError when the address is taken
   */
  listen(): Promise<number> {
    return this.server.listen();
  }

  /**
   * Answers a topic's messages. What the handler throws reaches the caller as
   * `MeshFailure.HandlerFailed`, with its message.
   */
  handle(topic: string, handler: MeshHandler): void {
    this.server.handle(topic, handler);
  }

  /**
   * Calls a peer's handler and waits for its answer. The mesh repeats no call. The answer comes
   * from another process: check it before use.
   *
   * @param address - IP number and port of the peer
   * @param timeout - how long the answer may take, connecting included
   * @throws MeshError when no answer came; its `failure` tells why
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
    const answer = await this.client.send(address, topic, bytes, timeout);
    this.traffic.countIn(topic, answer.length);
    return decodeResponse(answer);
  }

  /** Stops listening, closes every channel and fails the calls in flight. */
  dispose(): void {
    this.client.dispose();
    this.server.dispose();
    this.provider?.dispose();
  }
}
