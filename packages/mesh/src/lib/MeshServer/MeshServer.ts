import { listenOn } from '@apricotrill/lifecycle';
import type { ConnectionInjector, sendUnaryData, ServerUnaryCall } from '@grpc/grpc-js';
import { Server, status } from '@grpc/grpc-js';
import { createServer } from 'node:net';
import type { Envelope } from '../codec.js';
import { decodeEnvelope, encodeResponse } from '../codec.js';
import { getStatusDetails } from '../getStatusDetails.js';
import { getServerCredentials } from '../KeyProvider/KeyProvider.js';
import type { KeyProvider } from '../KeyProvider/KeyProvider.js';
import type { MeshOptions } from '../meshOptions.js';
import { meshService } from '../meshService.js';
import type { TrafficCounters } from '../TrafficCounters/TrafficCounters.js';

/**
 * Information about a message that its handler receives.
 *
 * @public
 */
export interface MeshContext {
  /** The sender's id as stated by the sender. */
  from: string;
}

/**
 * Handles the messages of one topic and returns the response. A message comes from another process
 * and must be validated before use.
 *
 * @public
 */
export type MeshHandler = (message: unknown, context: MeshContext) => unknown;

interface MeshServerSettings {
  host: string;
  port: number;
  options: MeshOptions;
  traffic: TrafficCounters;
  provider?: KeyProvider;
  /** Called with errors of sending a response and of accepting connections. */
  onFault: (error: unknown) => void;
}

/**
 * The server side of the mesh: calls the handler of each message and returns its response.
 *
 * @internal
 */
export class MeshServer {
  private readonly handlers = new Map<string, MeshHandler>();

  private readonly server: Server;

  /**
   * Accepts the connections and passes them to gRPC. A server of gRPC that failed to bind an address returns the
   * same error to each later attempt, and does not handle errors of accepting connections.
   */
  private readonly listener = createServer({ noDelay: true }, (socket) =>
    this.injector?.injectConnection(socket),
  );

  /** Created with the first attempt to listen: it needs the keys, which are loaded before. */
  private injector: ConnectionInjector | undefined;

  constructor(private readonly settings: MeshServerSettings) {
    const { maxMessageBytes, maxConcurrentCalls } = settings.options;
    this.server = new Server({
      'grpc.max_receive_message_length': maxMessageBytes,
      'grpc.max_send_message_length': maxMessageBytes,
      'grpc.max_concurrent_streams': maxConcurrentCalls,
      'grpc.enable_channelz': 0,
    });
    this.server.addService(meshService, {
      call: (call: ServerUnaryCall<Buffer, Buffer>, callback: sendUnaryData<Buffer>) => {
        this.handleCall(call.request, callback).catch(settings.onFault);
      },
    });
    this.listener.on('error', (error) => {
      // Errors of an attempt to listen are returned to its caller.
      if (this.listener.listening) {
        settings.onFault(error);
      }
    });
  }

  handle(topic: string, handler: MeshHandler): void {
    this.handlers.set(topic, handler);
  }

  /**
   * Makes one attempt to listen; after a failure, another one can be made.
   *
   * @throws the error of the system
   */
  listen(): Promise<number> {
    const { host, port, provider } = this.settings;
    this.injector ??= this.server.createConnectionInjector(getServerCredentials(provider));
    return listenOn(this.listener, host, port);
  }

  /** Closes the socket and all connections immediately. */
  dispose(): void {
    this.listener.close();
    this.server.forceShutdown();
  }

  private async handleCall(bytes: Buffer, callback: sendUnaryData<Buffer>): Promise<void> {
    const envelope = MeshServer.parseEnvelope(bytes);
    if (envelope === undefined) {
      callback({ code: status.INVALID_ARGUMENT, details: 'the message is not a valid envelope' });
      return;
    }
    const { topic, from, body } = envelope;
    const handler = this.handlers.get(topic);
    if (handler === undefined) {
      callback({
        code: status.UNIMPLEMENTED,
        details: getStatusDetails(`no handler for topic ${topic}`),
      });
      return;
    }
    this.settings.traffic.countIn(topic, bytes.length);
    try {
      const response = encodeResponse(await handler(body, { from }));
      this.settings.traffic.countOut(topic, response.length);
      callback(null, response);
    } catch (error) {
      callback({
        code: status.UNKNOWN,
        details: getStatusDetails(error instanceof Error ? error.message : String(error)),
      });
    }
  }

  /** Returns undefined for bytes that are not an envelope: they must not end the process. */
  private static parseEnvelope(bytes: Buffer): Envelope | undefined {
    try {
      return decodeEnvelope(bytes);
    } catch {
      return undefined;
    }
  }
}
