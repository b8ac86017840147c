import { ReadGate, withResetOnAbort } from '@apricotrill/utils';
import type { Socket } from 'node:net';
import { Client, buildConnector } from 'undici';
import type { Dispatcher } from 'undici';
import { defaultRouterOptions } from '../options.js';

/**
 * Options of a request on a {@link ReplicaConnection}.
 *
 * @internal
 */
export interface ReplicaRequestOptions extends Dispatcher.DispatchOptions {
  /** Called before the request is sent, with the connection that will carry it. */
  onAssigned?: (connection: ReplicaConnection) => void;
}

/** The state of the current socket, which is recorded before the HTTP client acts on it. */
interface SocketState {
  /** Why the end of the socket is not the end of a response; undefined while it is open. */
  fault: string | undefined;
  gate: ReadGate | undefined;
}

const connect = withResetOnAbort(buildConnector({ timeout: defaultRouterOptions.connectTimeout }));

/**
 * Records whether the socket was reset. The HTTP client takes a reset for the end of a response without
 * a length or chunks. If a reset is processed together with the last bytes, the socket itself reports a
 * normal end; it has no remote address then, while one that was closed by its peer still has. A peer that
 * closes the connection before it has taken the whole request has not answered it.
 */
function recordEnd(socket: Socket, state: SocketState): void {
  socket.once('error', (error) => {
    Object.assign(state, { fault: String(error) });
  });
  socket.once('end', () => {
    if (socket.remoteAddress === undefined) {
      Object.assign(state, { fault: 'the connection was reset' });
    } else if (socket.writableLength > 0) {
      Object.assign(state, { fault: 'the connection was closed before the request was sent' });
    }
  });
}

/**
 * A connection to a replica, which carries one request at a time.
 *
 * @internal
 */
export class ReplicaConnection extends Client {
  private readonly state: SocketState;

  constructor(origin: string | URL, options: Client.Options) {
    const state: SocketState = { fault: undefined, gate: undefined };
    super(origin, {
      ...options,
      connect: (target, callback) => {
        connect(target, (...[error, socket]) => {
          if (error !== null) {
            callback(error, null);
            return;
          }
          Object.assign(state, { fault: undefined, gate: new ReadGate(socket) });
          recordEnd(socket, state);
          callback(null, socket);
        });
      },
    });
    this.state = state;
  }

  /** Returns why the end of the connection does not prove the end of a response, if it does not. */
  getEndFault(): string | undefined {
    return this.state.fault;
  }

  /** Stops reading; what has been read before is still passed on. */
  pause(): void {
    this.state.gate?.close();
  }

  resume(): void {
    this.state.gate?.open();
  }

  override dispatch(options: ReplicaRequestOptions, handler: Dispatcher.DispatchHandler): boolean {
    options.onAssigned?.(this);
    return super.dispatch(options, handler);
  }
}
