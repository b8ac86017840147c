import type { IncomingMessage, RequestListener, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

/**
 * Limits on requests that are sent before the responses to earlier ones are received.
 *
 * @public
 */
export interface RequestSequenceLimits {
  /** Requests of a connection that may wait for the responses to those before them. */
  maxWaiting: number;
  /** Requests that may wait on all connections of a server together. */
  maxTotalWaiting: number;
}

interface Exchange {
  request: IncomingMessage;
  response: ServerResponse;
  listener: RequestListener;
}

interface Sequence {
  /** Requests whose heads were parsed, and whose responses have not been sent. */
  openCount: number;
  isServing: boolean;
  waiting: Exchange[];
}

/**
 * Passes the requests of each connection on one after another. Those that wait are unknown to their handler
 * until then, and are dropped with their connection.
 */
export class RequestSequences {
  private readonly sequences = new WeakMap<Socket, Sequence>();

  private totalWaiting = 0;

  constructor(private readonly limits: RequestSequenceLimits) {}

  /** Counts a request whose head is parsed. @returns whether the connection may have it */
  tryOpen(socket: Socket): boolean {
    const { maxWaiting, maxTotalWaiting } = this.limits;
    const sequence = this.get(socket);
    sequence.openCount += 1;
    const waiting = sequence.openCount - 1;
    return waiting === 0 || (waiting <= maxWaiting && this.totalWaiting < maxTotalWaiting);
  }

  /** Calls the listener once the responses to earlier requests of the connection have been sent. */
  add(request: IncomingMessage, response: ServerResponse, listener: RequestListener): void {
    const { socket } = request;
    const sequence = this.get(socket);
    if (sequence.isServing) {
      sequence.waiting.push({ request, response, listener });
      this.totalWaiting += 1;
    } else {
      this.serve(socket, sequence, { request, response, listener });
    }
  }

  private get(socket: Socket): Sequence {
    const existing = this.sequences.get(socket);
    if (existing !== undefined) {
      return existing;
    }
    const sequence: Sequence = { openCount: 0, isServing: false, waiting: [] };
    this.sequences.set(socket, sequence);
    socket.once('close', () => this.drop(sequence));
    return sequence;
  }

  private serve(
    socket: Socket,
    sequence: Sequence,
    { request, response, listener }: Exchange,
  ): void {
    Object.assign(sequence, { isServing: true });
    response.once('close', () => {
      Object.assign(sequence, { openCount: sequence.openCount - 1 });
      // Other listeners for the end of the response come first.
      process.nextTick(() => this.serveNext(socket, sequence));
    });
    listener(request, response);
  }

  private serveNext(socket: Socket, sequence: Sequence): void {
    Object.assign(sequence, { isServing: false });
    if (!socket.writable) {
      this.drop(sequence);
      return;
    }
    const next = sequence.waiting.shift();
    if (next !== undefined) {
      this.totalWaiting -= 1;
      this.serve(socket, sequence, next);
    }
  }

  private drop({ waiting }: Sequence): void {
    this.totalWaiting -= waiting.length;
    waiting.splice(0);
  }
}
