import type { sendUnaryData, ServerUnaryCall } from '@grpc/grpc-js';
import { Server, status } from '@grpc/grpc-js';
import type { Envelope } from '../codec.js';
import { decodeEnvelope, encodeResponse } from '../codec.js';
import { getServerCredentials } from '../KeyProvider/KeyProvider.js';
import type { KeyProvider } from '../KeyProvider/KeyProvider.js';
import { MeshError, MeshFailure } from '../MeshError.js';
import type { MeshOptions } from '../meshOptions.js';
import { meshService } from '../meshService.js';
import type { TrafficCounters } from '../TrafficCounters/TrafficCounters.js';

/**
 * What a handler learns beside the message.
 *
 * @public
 */
export interface MeshContext {
  /** The id the sender gave itself. */
  from: string;
}

/**
 * Answers one topic's messages. A message comes from another process: check it before use.
 *
 * @public
 */
export type MeshHandler = (message: unknown, context: MeshContext) => unknown;

interface ServerSettings {
  host: string;
  port: number;
  options: MeshOptions;
  traffic: TrafficCounters;
  provider?: KeyProvider;
}

/**
 * The listening end of the mesh: finds the handler of each message and sends its answer back.
 *
 * @internal
 */
export class MeshServer {
  private readonly handlers = new Map<string, MeshHandler>();

  private readonly server: Server;

  constructor(private readonly settings: ServerSettings) {
    const { messageBytes, concurrentCalls } = settings.options;
    this.server = new Server({
      'grpc.max_receive_message_length': messageBytes,
      'grpc.max_send_message_length': messageBytes,
      'grpc.max_concurrent_streams': concurrentCalls,
      'grpc.enable_channelz': 0,
    });
    this.server.addService(meshService, {
      call: (call: ServerUnaryCall<Buffer, Buffer>, done: sendUnaryData<Buffer>) => {
        this.answer(call.request, done);
      },
    });
  }

  handle(topic: string, handler: MeshHandler): void {
    this.handlers.set(topic, handler);
  }

  listen(): Promise<number> {
    const { host, port } = this.settings;
    const address = host.includes(':') ? `[${host}]:${port}` : `${host}:${port}`;
    return new Promise((resolve, reject) => {
      this.server.bindAsync(
        address,
        getServerCredentials(this.settings.provider),
        (error, bound) => {
          if (error === null) {
            resolve(bound);
            return;
          }
          const context = { step: 'mesh-listen', peer: address, cause: error };
          reject(new MeshError(MeshFailure.Unreachable, error.message, context));
        },
      );
    });
  }

  /** Closes the socket and every connection at once. */
  dispose(): void {
    this.server.forceShutdown();
  }

  private async answer(bytes: Buffer, done: sendUnaryData<Buffer>): Promise<void> {
    const envelope = MeshServer.read(bytes);
    if (envelope === undefined) {
      done({ code: status.INVALID_ARGUMENT, details: 'the message is no envelope' });
      return;
    }
    const { topic, from, body } = envelope;
    const handler = this.handlers.get(topic);
    if (handler === undefined) {
      done({ code: status.UNIMPLEMENTED, details: `no handler for topic ${topic}` });
      return;
    }
    this.settings.traffic.countIn(topic, bytes.length);
    try {
      const answer = encodeResponse(await handler(body, { from }));
      this.settings.traffic.countOut(topic, answer.length);
      done(null, answer);
    } catch (error) {
      done({
        code: status.UNKNOWN,
        details: error instanceof Error ? error.message : String(error),
      });
    }
  }

  /** Bytes that are no envelope are refused; they must not end the process. */
  private static read(bytes: Buffer): Envelope | undefined {
    try {
      return decodeEnvelope(bytes);
    } catch {
      return undefined;
    }
  }
}
